/*
 * Attributes crashes of backend servers to the prompt parts that caused them. All requests on a crashed server are
 * suspect, so the parts of sound requests are seen in crashes as well. Three rules tell them apart: a part of a request
 * that was answered after a crash did not cause it; the part in most crashes explains these, and they do not count
 * against any other part; parts that occur only together are quarantined together, which means that a request is
 * refused only if it has all of them. So a common first part is not quarantined in place of a guilty one that always
 * comes with it.
 */
package org.lentilquay.coordination.suspects

import org.lentilquay.state.ServerId

/** Crashes after which a part is quarantined. The platform allows five, and three more requests after them. */
internal const val QUARANTINE_PART_CRASHES: Int = 3

/** A server that crashes again and again is itself the likely cause, so the crashes must be on several. */
private const val QUARANTINE_SERVERS = 2

/** The number of crashes from which requests with the part must soon be kept away from all servers. */
private const val URGENT_CRASHES = 5

/**
 * Time from the third, or the fifth, crash to the quarantine. Parts of sound requests are cleared in this time, because
 * first events arrive within half a second and clear their parts half a second later. The platform's limit is 3 s after
 * the fifth crash, and a notice of a crash takes up to 0.9 s.
 */
private const val SETTLE_MILLIS = 1_500L
private const val URGENT_SETTLE_MILLIS = 1_000L

/** Time from the fifth crash after which parts that tie are all quarantined. */
private const val TIE_SETTLE_MILLIS = 2_000L

/** One crash, with the parts of each request that was lost in it. Parts that were cleared since are left out. */
internal class AttributedCrash(val server: ServerId, val at: Long, val requests: List<Set<String>>) {
    fun holds(parts: Set<String>): Boolean = requests.any { it.containsAll(parts) }
}

/** The parts that occur only together, and the crashes that they explain, in the order of time. */
internal class PartAttribution(val parts: Set<String>, val crashes: List<AttributedCrash>) {
    val servers: Set<ServerId> get() = crashes.mapTo(LinkedHashSet()) { it.server }

    val isEnough: Boolean get() = crashes.size >= QUARANTINE_PART_CRASHES && servers.size >= QUARANTINE_SERVERS

    fun isSettled(now: Long): Boolean = now - crashes[QUARANTINE_PART_CRASHES - 1].at >= SETTLE_MILLIS ||
        isUrgentAfter(URGENT_SETTLE_MILLIS, now)

    fun isTieSettled(now: Long): Boolean = isUrgentAfter(TIE_SETTLE_MILLIS, now)

    private fun isUrgentAfter(millis: Long, now: Long) =
        crashes.size >= URGENT_CRASHES && now - crashes[URGENT_CRASHES - 1].at >= millis
}

/**
 * Returns the sets of parts that explain [crashes]. Sets in [established], which were found before, are kept as long as
 * their crashes are enough, and may become smaller; otherwise later crashes for other reasons would release them.
 */
internal fun attributeCrashes(
    crashes: List<AttributedCrash>,
    established: List<Set<String>>,
    now: Long,
): List<PartAttribution> {
    val found = ArrayList<PartAttribution>()
    var remaining = crashes.sortedBy { it.at }
    val byCrashes = established.sortedByDescending { parts -> remaining.count { it.holds(parts) } }
    byCrashes.forEach { parts ->
        val kept = narrowed(parts, remaining) ?: return@forEach
        found += kept
        remaining = remaining - kept.crashes.toSet()
    }
    while (true) {
        val next = mostFrequent(remaining, now)
        if (next.isEmpty()) return found
        found += next
        remaining = remaining - next.flatMap { it.crashes }.toSet()
    }
}

/** The attribution to [established] or to those of its parts that occur more often; null if its crashes are too few. */
private fun narrowed(established: Set<String>, crashes: List<AttributedCrash>): PartAttribution? {
    val options = candidates(crashes).filter { established.containsAll(it.parts) }
    options.firstOrNull { it.parts == established }?.let { return it }
    val most = options.maxOfOrNull { it.crashes.size }
    options.singleOrNull { it.crashes.size == most }?.let { return it }
    val together = crashes.filter { it.holds(established) }
    return PartAttribution(established, together).takeIf { it.isEnough }
}

/** The settled candidates with the most crashes; several only if they tie and there is no time left to tell. */
private fun mostFrequent(crashes: List<AttributedCrash>, now: Long): List<PartAttribution> {
    val candidates = candidates(crashes)
    val most = candidates.maxOfOrNull { it.crashes.size } ?: return emptyList()
    val top = candidates.filter { it.crashes.size == most }
    // A part that also occurs alone explains no more than the parts that come with it in each of the crashes.
    val specific = top.filter { one -> top.none { it !== one && it.parts.containsAll(one.parts) } }
    return specific.filter { one ->
        val isTied = specific.any { it !== one && it.crashes.any(one.crashes::contains) }
        if (isTied) one.isTieSettled(now) else one.isSettled(now)
    }
}

/** For each part with enough crashes, the parts that come with it in all requests that were lost with it. */
private fun candidates(crashes: List<AttributedCrash>): List<PartAttribution> {
    val byPart = HashMap<String, MutableList<AttributedCrash>>()
    crashes.forEach { crash ->
        crash.requests.flatMapTo(HashSet()) { it }.forEach { byPart.getOrPut(it) { ArrayList() } += crash }
    }
    return byPart.mapNotNull { (part, itsCrashes) ->
        if (itsCrashes.size < QUARANTINE_PART_CRASHES) return@mapNotNull null
        val requests = itsCrashes.flatMap { it.requests }.filter { part in it }
        val together = requests.reduce { common, request -> common intersect request }
        PartAttribution(together, itsCrashes).takeIf { it.isEnough }
    }.distinctBy { it.parts }
}
