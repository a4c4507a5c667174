/*
 * Builds the report of a run from its record.
 */
package org.lentilquay.bench

import org.lentilquay.daemon.settings.PlacementOrder

private const val MILLIS_PER_SECOND = 1_000.0
private const val MEDIAN = 0.5
private const val P95 = 0.95

/** Prefix of engine counters that are maxima, whose differences and sums are meaningless. */
private const val MAXIMUM_PREFIX = "in_flight"

/** A team with at least this fraction of its requests over its rate is excluded from the comparison of teams. */
private const val OVER_RATE_FRACTION = 0.05

internal class RunParameters(
    val scenario: Scenario,
    val workload: Workload,
    val seconds: Int,
    val seed: Long,
    val placement: PlacementOrder,
    val label: String,
    val loadAverageAtStart: Double,
)

internal fun buildReport(parameters: RunParameters, record: RunRecord): RunReport {
    val limits = TeamLimits(parameters.workload)
    val withinRate = requestsWithinRate(record.trace, limits.rates, limits.bursts)
    val results = record.results
    val teams = teamStatistics(results, withinRate)
    val teamsWithinRate = teams.filterNot { it.isOverRate }
    val resultsWithinRate = teamsWithinRate.map { it.team }.toSet().let { names ->
        results.filter { teamName(it.request.team) in names && it.request.number in withinRate }
    }
    val p95 = teamsWithinRate.filter { it.firstToken.count > 0 }.map { it.firstToken.p95 }.sorted()
    val platform = difference(record.before.platform, record.after.platform)
    val engines = difference(record.before.engines, record.after.engines).filterKeys { !it.startsWith(MAXIMUM_PREFIX) }
    val size = parameters.scenario.fleet
    return RunReport(
        run = runDetails(parameters, record),
        requests = results.size,
        answered = results.count { it.error == null },
        errors = errorCounts(results) { true },
        insideRate = resultsWithinRate.size,
        refusedInsideRate = errorCounts(resultsWithinRate) { it.isRefused },
        brokenInsideRate = errorCounts(resultsWithinRate) { it.isBroken },
        refusedWait = refusedWaits(results),
        firstToken = firstTokens(results),
        firstTokenOfShort = firstTokens(results.filterNot { it.request.isLong }),
        firstTokenOfLong = firstTokens(results.filter { it.request.isLong }),
        tokenGap = percentiles(record.tokenGaps),
        teams = teams,
        worstTeamToMedian = if (p95.isEmpty()) null else p95.last() / p95[p95.size / 2],
        leastAnsweredShareOfTeam = teamsWithinRate.filter { it.insideRate > 0 }
            .minOfOrNull { it.answeredInsideRate.toDouble() / it.insideRate },
        batchEfficiency = record.samples.map { it.running.sum() }.average() / (size.engines * size.inFlight),
        tokensPerStep = (engines["tokens"] ?: 0).toDouble() / (engines["steps"] ?: 0).coerceAtLeast(1),
        loads = loadStatistics(size, record),
        orders = engines,
        tableReadsPerSecond = tableReads(platform) / record.seconds,
        tableWritesPerSecond = tableWrites(platform) / record.seconds,
        platformReadsPerSecond = platformReads(platform) / record.seconds,
        platformWritesPerSecond = platformWrites(platform) / record.seconds,
        phases = phaseStatistics(record, withinRate),
        domain = domainStatistics(record),
        events = record.events.map { EventEntry(it.name, it.seconds) },
        timeline = timeline(results),
    )
}

private fun runDetails(parameters: RunParameters, record: RunRecord): RunDetails = RunDetails(
    scenario = parameters.scenario.title,
    deployment = parameters.scenario.deployment.title,
    placement = parameters.placement.label,
    label = parameters.label,
    seed = parameters.seed,
    traceSeconds = parameters.seconds,
    requestsPerSecond = parameters.workload.requestsPerSecond,
    elapsedSeconds = record.seconds,
    loadAverageAtStart = parameters.loadAverageAtStart,
    loadAverageAtEnd = loadAverage(),
    delays = "not emulated; in the deployment: ${parameters.scenario.deployment.delays}",
)

private fun teamName(team: Int) = "team-$team"

private fun teamStatistics(results: List<RequestResult>, withinRate: Set<Int>): List<TeamStatistics> =
    results.groupBy { it.request.team }.toSortedMap().map { (team, own) ->
        val teamResultsWithinRate = own.filter { it.request.number in withinRate }
        TeamStatistics(
            team = teamName(team),
            requests = own.size,
            answered = own.count { it.error == null },
            firstToken = firstTokens(own),
            refused = own.count { it.isRefused },
            insideRate = teamResultsWithinRate.size,
            answeredInsideRate = teamResultsWithinRate.count { it.error == null },
            isOverRate = own.size - teamResultsWithinRate.size >= own.size * OVER_RATE_FRACTION,
        )
    }

private fun errorCounts(results: List<RequestResult>, isCounted: (RequestResult) -> Boolean): Map<String, Int> =
    results.filter(isCounted).mapNotNull { it.error }.groupingBy { it }.eachCount().toSortedMap()

private fun loadStatistics(size: FleetSize, record: RunRecord): LoadStatistics {
    val metrics = record.after.metrics.mapValues { (name, value) -> value - (record.before.metrics[name] ?: 0.0) }
    val stalled = metrics["lentilquay_load_wait_seconds_count"] ?: 0.0
    val answered = record.results.filter { it.error == null }
    val engines = difference(record.beforeWarmUp.engines, record.after.engines)
    val loads = engines["orders_load"] ?: 0
    // Adapter slots are filled when the trace begins, so loads are counted from before the warm-up.
    val served = (record.warmUp.filter { it.error == null } + answered).map { it.request.adapter }
    val minimum = minimumLoads(served, size.engines * size.slots)
    return LoadStatistics(
        stalledRequests = stalled.toLong(),
        stalledShare = stalled / answered.size.coerceAtLeast(1),
        stallMeanMillis = (metrics["lentilquay_load_wait_seconds_sum"] ?: 0.0) * MILLIS_PER_SECOND /
            stalled.coerceAtLeast(1.0),
        stallP50AtMostMillis = bucketBound(metrics, "lentilquay_load_wait_seconds", MEDIAN),
        stallP95AtMostMillis = bucketBound(metrics, "lentilquay_load_wait_seconds", P95),
        loads = loads,
        unloads = engines["orders_unload"] ?: 0,
        leastLoads = minimum,
        ratio = loads.toDouble() / minimum.coerceAtLeast(1),
    )
}

/**
 * The upper bound in milliseconds of the first bucket of histogram [name], whose values are seconds, that contains
 * [fraction] of the values. Null if the histogram is empty or if only the unbounded bucket contains as many.
 */
internal fun bucketBound(metrics: Map<String, Double>, name: String, fraction: Double): Double? {
    val count = metrics["${name}_count"]?.takeIf { it > 0 } ?: return null
    val prefix = "${name}_bucket{le=\""
    return metrics.filterKeys { it.startsWith(prefix) }
        .mapKeys { it.key.removePrefix(prefix).substringBefore('"').toDoubleOrNull() ?: Double.POSITIVE_INFINITY }
        .filter { it.value >= fraction * count && it.key.isFinite() }
        .minOfOrNull { it.key * MILLIS_PER_SECOND }
}

private fun timeline(results: List<RequestResult>): List<SecondStatistics> =
    results.groupBy { (it.request.atMillis / MILLIS_PER_SECOND).toInt() }.toSortedMap().map { (second, own) ->
        val p95 = firstTokens(own).takeIf { it.count > 0 }?.p95
        SecondStatistics(second, own.size, p95, own.count { it.isRefused }, own.count { it.isBroken })
    }

private fun difference(before: Map<String, Long>, after: Map<String, Long>): Map<String, Long> =
    after.mapValues { (name, value) -> value - (before[name] ?: 0) }.toSortedMap()
