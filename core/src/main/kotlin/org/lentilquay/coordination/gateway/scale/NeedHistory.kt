/*
 * The need of a service over the last two boot times, and whether it rises. Single-threaded use.
 */
package org.lentilquay.coordination.gateway.scale

import org.lentilquay.state.DomainId

/** Parts of a boot time whose peaks are compared, without and with requests that wait for room. */
private const val CALM_PARTS = 2
private const val WAITING_PARTS = 4
private const val COMPARED_PARTS = 3

/** What was seen and concluded at one time. */
internal class NeedSample(
    val at: Long,
    /** The requests that the service had. */
    val need: Double,
    /** Requests a second from callers in each failure domain. */
    val arrivals: Map<DomainId, Double>,
) {
    /** The servers that each failure domain should have had by this sample alone. */
    var targets: Map<DomainId, Int> = emptyMap()
}

internal class NeedHistory {
    private val samples = ArrayDeque<NeedSample>()
    val lastAt: Long? get() = samples.lastOrNull()?.at

    fun add(sample: NeedSample, bootMillis: Long) {
        samples.addLast(sample)
        while (samples.first().at < sample.at - 2 * bootMillis) samples.removeFirst()
    }

    /**
     * The need one boot time after [now]. It is extrapolated only if the highest need of half a boot time has risen
     * twice in a row, by the smaller rise: a step rises once, and a wave with a period of up to a boot time never rises
     * twice, because one of two successive halves contains its peak. While requests already wait for room, a rise in
     * two quarters is enough; the second half of the rise would come too late for them.
     */
    fun forecast(now: Long, bootMillis: Long, areWaiting: Boolean): Double {
        val parts = if (areWaiting) WAITING_PARTS else CALM_PARTS
        val part = bootMillis / parts
        val (latest, middle, oldest) = List(COMPARED_PARTS) { peak(now - (it + 1) * part, now - it * part) }
        if (latest == null) return 0.0
        if (middle == null || oldest == null) return latest
        return latest + parts * minOf(latest - middle, middle - oldest).coerceAtLeast(0.0)
    }

    /** The highest need after [from] and up to [to]; null if none is known. */
    private fun peak(from: Long, to: Long): Double? =
        samples.filter { it.at > from && it.at <= to }.maxOfOrNull { it.need }

    /** The mean demand of callers in [domain] after [from]. */
    fun meanArrivals(domain: DomainId, from: Long): Double =
        samples.filter { it.at > from }.map { it.arrivals[domain] ?: 0.0 }.average().takeIf { it.isFinite() } ?: 0.0

    /** The highest number of servers that [domain] should have had within two boot times. */
    fun highestTarget(domain: DomainId): Int = samples.maxOfOrNull { it.targets[domain] ?: 0 } ?: 0
}
