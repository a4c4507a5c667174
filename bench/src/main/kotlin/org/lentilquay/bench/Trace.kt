/*
 * Generates the requests of a scenario from a seed before the run, so that runs with the same seed send the same
 * requests. Arrivals are a Poisson process, adapters follow Zipf's law, teams their fractions. The load is open-loop:
 * arrival times do not depend on answers. Times are milliseconds from the start of the trace.
 *
 * "Fraction" of the trace means a point in time from 0 at its start to 1 at its end.
 */
package org.lentilquay.bench

import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sin
import kotlin.random.Random

private const val BYTES_PER_TOKEN = 3
private const val MILLIS_PER_SECOND = 1_000.0

/** The arrival peak lies between these fractions of the trace; the popularity shifts at [SHIFT_FRACTION]. */
internal const val PEAK_START_FRACTION = 0.25
internal const val PEAK_END_FRACTION = 0.75
internal const val SHIFT_FRACTION = 0.5

@Suppress("MagicNumber")
private val twoLargeTeams = listOf(0.35, 0.35, 0.1, 0.1, 0.1)

/** The distribution of the requests that a scenario sends. */
data class Workload(
    val requestsPerSecond: Double = 8.0,
    val adapters: Int = 3_000,
    val zipfExponent: Double = 1.0,
    /** The fraction of the requests that each team sends; the first two teams are the large ones. */
    val teamFractions: List<Double> = twoLargeTeams,
    val longFraction: Double = 0.1,
    val shortTokens: Int = 32,
    val longTokens: Int = 400,
    val shortPromptBytes: Int = 45,
    val longPromptBytes: Int = 600,
    /** Ratio of each team's rate to its mean use; a team at its mean use exceeds the rate only by chance. */
    val rateHeadroom: Double = 3.0,
    /** The index of the team that sends [overRateFactor] times its rate, or null. */
    val overRateTeam: Int? = null,
    val overRateFactor: Double = 1.0,
    /** Ratio of the arrival rate in the middle of the trace to the base rate. */
    val peakFactor: Double = 1.0,
    /** Whether other adapters become popular at [SHIFT_FRACTION] of the trace. */
    val popularityShifts: Boolean = false,
) {
    /** The weight of each team in the arrivals; the sum is 1 if no team is over its rate. */
    val arrivalWeights: List<Double> get() = teamFractions.mapIndexed { team, fraction ->
        if (team == overRateTeam) fraction * rateHeadroom * overRateFactor else fraction
    }

    /** The workload of the same teams without peak, shift or team over its rate, at [rateFraction] of the rate. */
    fun steady(rateFraction: Double): Workload = copy(
        requestsPerSecond = requestsPerSecond * rateFraction,
        overRateTeam = null,
        peakFactor = 1.0,
        popularityShifts = false,
    )
}

/** One request of a trace. */
data class TraceRequest(
    val number: Int,
    val atMillis: Long,
    /** Counted from 1, which is the most popular before a shift. */
    val adapter: Int,
    val team: Int,
    val isLong: Boolean,
    val maximumTokens: Int,
    val promptBytes: Int,
    /** A random number that selects one of the VMs that are ready when the request is sent. */
    val vmSelector: Int,
) {
    /** The tokens that admission charges before the request runs (docs/design.md, section 4.4). */
    val estimatedTokens: Int get() = (promptBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN + maximumTokens
}

/** Generates the requests of [seconds] seconds. */
fun generateTrace(workload: Workload, seconds: Int, seed: Long): List<TraceRequest> {
    val random = Random(seed)
    val end = seconds * MILLIS_PER_SECOND
    val sampler = RequestSampler(workload, random)
    val peakRate = workload.requestsPerSecond * workload.arrivalWeights.sum() * workload.peakFactor
    val requests = ArrayList<TraceRequest>()
    var at = 0.0
    while (true) {
        at += -ln(1.0 - random.nextDouble()) / peakRate * MILLIS_PER_SECOND
        if (at >= end) return requests
        // Thinning: candidates arrive at the peak rate and are kept with the ratio of the current rate to it.
        val isKept =
            workload.peakFactor == 1.0 || random.nextDouble() * workload.peakFactor < workload.rateFactorAt(at / end)
        if (isKept) requests += sampler.request(requests.size, at.toLong(), at / end)
    }
}

/** Ratio of the arrival rate at [fraction] of the trace to the base rate: a squared sine between 1 and the peak. */
private fun Workload.rateFactorAt(fraction: Double): Double {
    if (fraction !in PEAK_START_FRACTION..PEAK_END_FRACTION) return 1.0
    val height = sin(PI * (fraction - PEAK_START_FRACTION) / (PEAK_END_FRACTION - PEAK_START_FRACTION))
    return 1 + (peakFactor - 1) * height * height
}

private class RequestSampler(private val workload: Workload, private val random: Random) {
    private val adapterDistribution =
        cumulative((1..workload.adapters).map { it.toDouble().pow(-workload.zipfExponent) })
    private val teamDistribution = cumulative(workload.arrivalWeights)

    fun request(number: Int, atMillis: Long, fraction: Double): TraceRequest {
        val isLong = random.nextDouble() < workload.longFraction
        return TraceRequest(
            number = number,
            atMillis = atMillis,
            adapter = adapterAt(sampleIndex(adapterDistribution, random), fraction),
            team = sampleIndex(teamDistribution, random),
            isLong = isLong,
            maximumTokens = if (isLong) workload.longTokens else workload.shortTokens,
            promptBytes = if (isLong) workload.longPromptBytes else workload.shortPromptBytes,
            vmSelector = random.nextInt(Int.MAX_VALUE),
        )
    }

    /** The adapter with popularity [rank], from 0. A shift swaps the popular half of the adapters with the other. */
    private fun adapterAt(rank: Int, fraction: Double): Int {
        val isShifted = workload.popularityShifts && fraction >= SHIFT_FRACTION
        return (rank + if (isShifted) workload.adapters / 2 else 0) % workload.adapters + 1
    }
}

/** The cumulative distribution of [weights]. */
private fun cumulative(weights: List<Double>): DoubleArray {
    val sum = weights.sum()
    var total = 0.0
    return DoubleArray(weights.size) { index ->
        total += weights[index] / sum
        total
    }
}

private fun sampleIndex(cumulative: DoubleArray, random: Random): Int {
    val index = cumulative.binarySearch(random.nextDouble())
    return (if (index >= 0) index else -index - 1).coerceAtMost(cumulative.lastIndex)
}

/**
 * The numbers of the requests of [trace] that are within their team's rate, by one token bucket for each team that is
 * full at the start. A request over the rate takes no tokens. [rates] are tokens a second, [bursts] tokens, by team.
 */
fun requestsWithinRate(trace: List<TraceRequest>, rates: List<Double>, bursts: List<Double>): Set<Int> {
    val available = bursts.toDoubleArray()
    val updatedAtMillis = LongArray(rates.size)
    return trace.filter { request ->
        val team = request.team
        val generated = (request.atMillis - updatedAtMillis[team]) * rates[team] / MILLIS_PER_SECOND
        available[team] = minOf(bursts[team], available[team] + generated)
        updatedAtMillis[team] = request.atMillis
        val isWithinRate = available[team] >= request.estimatedTokens
        if (isWithinRate) available[team] -= request.estimatedTokens
        isWithinRate
    }.mapTo(HashSet()) { it.number }
}
