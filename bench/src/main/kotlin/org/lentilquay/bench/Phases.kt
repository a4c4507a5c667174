/*
 * Service before, between and after the events of a run, and what the engines of a domain did while it was away.
 */
package org.lentilquay.bench

private const val MILLIS_PER_SECOND = 1_000.0

/** A domain that left should get no new work after this time (docs/design.md, section 1.6). */
private const val LEAVE_BOUND_SECONDS = 4.0

/** The phases between the events of [record]; [inside] are the requests inside their team's rate. */
internal fun phases(record: RunRecord, inside: Set<Int>): List<PhaseFigures> {
    val starts = listOf(Event("from the start", 0.0)) + record.events
    val ends = record.events.map { it.seconds } + maxOf(record.seconds, record.events.maxOfOrNull { it.seconds } ?: 0.0)
    return starts.zip(ends).map { (event, until) -> phase(event, until, record.results, inside) }
}

private fun phase(event: Event, until: Double, results: List<RequestResult>, inside: Set<Int>): PhaseFigures {
    val own = results.filter {
        val at = it.request.atMillis / MILLIS_PER_SECOND
        at >= event.seconds && at < until
    }
    val failed = own.filter { it.isBroken || it.isRefused && it.request.number in inside }
    return PhaseFigures(
        name = event.name,
        fromSeconds = event.seconds,
        untilSeconds = until,
        requests = own.size,
        answered = own.count { it.error == null },
        refusedInsideRate = own.count { it.isRefused && it.request.number in inside },
        broken = own.count { it.isBroken },
        firstToken = firstTokens(own),
        lastFailureSeconds = failed.maxOfOrNull { it.request.atMillis / MILLIS_PER_SECOND - event.seconds },
    )
}

/** Null if no domain left, or if it did not return. */
internal fun domainFigures(record: RunRecord): DomainFigures? {
    if (record.leavingEngines.isEmpty() || record.events.size < 2) return null
    val (left, returned) = record.events.map { it.seconds }
    val accepted = record.samples.map { sample ->
        sample.seconds to record.leavingEngines.sumOf { sample.accepted[it] }
    }
    val away = accepted.filter { it.first in left..returned }
    val atBound = away.lastOrNull { it.first <= left + LEAVE_BOUND_SECONDS }?.second ?: 0
    return DomainFigures(
        engines = record.leavingEngines.map { "engine-${it + 1}" },
        lastNewWorkSeconds = rises(away).lastOrNull()?.minus(left) ?: 0.0,
        acceptedAfterBound = (away.lastOrNull()?.second ?: atBound) - atBound,
        firstWorkAfterReturnSeconds = rises(accepted.filter { it.first >= returned }).firstOrNull()?.minus(returned),
    )
}

/** The times at which the count was higher than at the reading before. */
private fun rises(counts: List<Pair<Double, Long>>): List<Double> =
    counts.zipWithNext().filter { (before, after) -> after.second > before.second }.map { it.second.first }
