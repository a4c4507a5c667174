/*
 * Request statistics of the phases before, between and after the events of a run, and the work that the engines of a
 * failure domain accepted after it was drained or lost.
 */
package org.lentilquay.bench

private const val MILLIS_PER_SECOND = 1_000.0

/** A drained or lost domain must get no new work after this time (docs/design.md, section 1.6). */
private const val DEPARTURE_BOUND_SECONDS = 4.0

/** The phases between the events of [record]; [withinRate] are the numbers of requests within their team's rate. */
internal fun phaseStatistics(record: RunRecord, withinRate: Set<Int>): List<PhaseStatistics> {
    val starts = listOf(RunEvent("from the start", 0.0)) + record.events
    val ends = record.events.map { it.seconds } + maxOf(record.seconds, record.events.maxOfOrNull { it.seconds } ?: 0.0)
    return starts.zip(ends).map { (event, until) -> phase(event, until, record.results, withinRate) }
}

private fun phase(event: RunEvent, until: Double, results: List<RequestResult>, withinRate: Set<Int>): PhaseStatistics {
    val phaseResults = results.filter {
        val at = it.request.atMillis / MILLIS_PER_SECOND
        at >= event.seconds && at < until
    }
    val failed = phaseResults.filter { it.isBroken || it.isRefused && it.request.number in withinRate }
    return PhaseStatistics(
        name = event.name,
        fromSeconds = event.seconds,
        untilSeconds = until,
        requests = phaseResults.size,
        answered = phaseResults.count { it.error == null },
        refusedInsideRate = phaseResults.count { it.isRefused && it.request.number in withinRate },
        broken = phaseResults.count { it.isBroken },
        firstToken = firstTokens(phaseResults),
        lastFailureSeconds = failed.maxOfOrNull { it.request.atMillis / MILLIS_PER_SECOND - event.seconds },
    )
}

/** Null if no domain was drained or lost, or if it did not return. */
internal fun domainStatistics(record: RunRecord): DomainStatistics? {
    if (record.affectedEngines.isEmpty() || record.events.size < 2) return null
    val (removedAt, backAt) = record.events.map { it.seconds }
    val accepted = record.samples.map { sample ->
        sample.seconds to record.affectedEngines.sumOf { sample.accepted[it] }
    }
    val whileAway = accepted.filter { it.first in removedAt..backAt }
    val atBound = whileAway.lastOrNull { it.first <= removedAt + DEPARTURE_BOUND_SECONDS }?.second ?: 0
    return DomainStatistics(
        engines = record.affectedEngines.map { "engine-${it + 1}" },
        lastNewWorkSeconds = increases(whileAway).lastOrNull()?.minus(removedAt) ?: 0.0,
        acceptedAfterBound = (whileAway.lastOrNull()?.second ?: atBound) - atBound,
        firstWorkAfterReturnSeconds = increases(accepted.filter { it.first >= backAt }).firstOrNull()?.minus(backAt),
    )
}

/** The times of the samples whose count is higher than that of the sample before. */
private fun increases(counts: List<Pair<Double, Long>>): List<Double> =
    counts.zipWithNext().filter { (before, after) -> after.second > before.second }.map { it.second.first }
