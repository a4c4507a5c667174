/*
 * Works out the report of a run from its record.
 */
package org.lentilquay.bench

import org.lentilquay.daemon.settings.PlacementOrder

private const val MILLIS_PER_SECOND = 1_000.0
private const val MEDIAN = 0.5
private const val P95 = 0.95

/** Counters of engines that hold a maximum, so that a difference or a sum of them means nothing. */
private const val MAXIMUM_PREFIX = "in_flight"

/** A team that sends at least this share of its requests over its rate does not count as the worst-served one. */
private const val OVER_RATE_SHARE = 0.05

internal class RunSetting(
    val scenario: Scenario,
    val workload: Workload,
    val seconds: Int,
    val seed: Long,
    val placement: PlacementOrder,
    val label: String,
    val loadAverageAtStart: Double,
)

internal fun reportOf(setting: RunSetting, record: RunRecord): RunReport {
    val limits = TeamLimits(setting.workload)
    val inside = insideRate(record.trace, limits.rates, limits.bursts)
    val results = record.results
    val teams = teamFigures(results, inside)
    val keeping = teams.filterNot { it.isOverRate }
    val resultsInside = keeping.map { it.team }.toSet().let { names ->
        results.filter { teamName(it.request.team) in names && it.request.number in inside }
    }
    val p95 = keeping.filter { it.firstToken.count > 0 }.map { it.firstToken.p95 }.sorted()
    val platform = difference(record.before.platform, record.after.platform)
    val engines = difference(record.before.engines, record.after.engines).filterKeys { !it.startsWith(MAXIMUM_PREFIX) }
    val size = setting.scenario.fleet
    return RunReport(
        run = runFigures(setting, record),
        requests = results.size,
        answered = results.count { it.error == null },
        errors = errorCounts(results) { true },
        insideRate = resultsInside.size,
        refusedInsideRate = errorCounts(resultsInside) { it.isRefused },
        brokenInsideRate = errorCounts(resultsInside) { it.isBroken },
        refusedWait = refusedWaits(results),
        firstToken = firstTokens(results),
        firstTokenOfShort = firstTokens(results.filterNot { it.request.isLong }),
        firstTokenOfLong = firstTokens(results.filter { it.request.isLong }),
        tokenGap = percentiles(record.gaps),
        teams = teams,
        worstTeamToMedian = if (p95.isEmpty()) null else p95.last() / p95[p95.size / 2],
        leastAnsweredShareOfTeam = keeping.filter { it.insideRate > 0 }
            .minOfOrNull { it.answeredInsideRate.toDouble() / it.insideRate },
        batchEfficiency = record.samples.map { it.running.sum() }.average() / (size.engines * size.inFlight),
        tokensPerStep = (engines["tokens"] ?: 0).toDouble() / (engines["steps"] ?: 0).coerceAtLeast(1),
        loads = loadFigures(size, record),
        orders = engines,
        tableReadsPerSecond = tableReads(platform) / record.seconds,
        tableWritesPerSecond = tableWrites(platform) / record.seconds,
        platformReadsPerSecond = platformReads(platform) / record.seconds,
        platformWritesPerSecond = platformWrites(platform) / record.seconds,
        phases = phases(record, inside),
        domain = domainFigures(record),
        events = record.events.map { EventFigures(it.name, it.seconds) },
        timeline = timeline(results),
    )
}

private fun runFigures(setting: RunSetting, record: RunRecord): RunFigures = RunFigures(
    scenario = setting.scenario.title,
    deployment = setting.scenario.deployment.title,
    placement = setting.placement.label,
    label = setting.label,
    seed = setting.seed,
    traceSeconds = setting.seconds,
    requestsPerSecond = setting.workload.requestsPerSecond,
    elapsedSeconds = record.seconds,
    loadAverageAtStart = setting.loadAverageAtStart,
    loadAverageAtEnd = loadAverage(),
    delays = "not emulated; in the deployment: ${setting.scenario.deployment.delays}",
)

private fun teamName(team: Int) = "team-$team"

private fun teamFigures(results: List<RequestResult>, inside: Set<Int>): List<TeamFigures> =
    results.groupBy { it.request.team }.toSortedMap().map { (team, own) ->
        val ownInside = own.filter { it.request.number in inside }
        TeamFigures(
            team = teamName(team),
            requests = own.size,
            answered = own.count { it.error == null },
            firstToken = firstTokens(own),
            refused = own.count { it.isRefused },
            insideRate = ownInside.size,
            answeredInsideRate = ownInside.count { it.error == null },
            isOverRate = own.size - ownInside.size >= own.size * OVER_RATE_SHARE,
        )
    }

private fun errorCounts(results: List<RequestResult>, counts: (RequestResult) -> Boolean): Map<String, Int> =
    results.filter(counts).mapNotNull { it.error }.groupingBy { it }.eachCount().toSortedMap()

private fun loadFigures(size: FleetSize, record: RunRecord): LoadFigures {
    val metrics = record.after.metrics.mapValues { (name, value) -> value - (record.before.metrics[name] ?: 0.0) }
    val stalled = metrics["lentilquay_load_wait_seconds_count"] ?: 0.0
    val answered = record.results.filter { it.error == null }
    val engines = difference(record.beforeWarmUp.engines, record.after.engines)
    val loads = engines["orders_load"] ?: 0
    // Slots hold adapters when the trace begins, so loads are counted from the time when they were empty.
    val served = (record.warmUp.filter { it.error == null } + answered).map { it.request.adapter }
    val least = leastLoads(served, size.engines * size.slots)
    return LoadFigures(
        stalledRequests = stalled.toLong(),
        stalledShare = stalled / answered.size.coerceAtLeast(1),
        stallMeanMillis = (metrics["lentilquay_load_wait_seconds_sum"] ?: 0.0) * MILLIS_PER_SECOND /
            stalled.coerceAtLeast(1.0),
        stallP50AtMostMillis = bucketBound(metrics, "lentilquay_load_wait_seconds", MEDIAN),
        stallP95AtMostMillis = bucketBound(metrics, "lentilquay_load_wait_seconds", P95),
        loads = loads,
        unloads = engines["orders_unload"] ?: 0,
        leastLoads = least,
        ratio = loads.toDouble() / least.coerceAtLeast(1),
    )
}

/**
 * The bound, in milliseconds, of the least bucket of the histogram [name], which counts seconds, that holds [part] of
 * the values; null if it has no value or if only the bucket without a bound does.
 */
internal fun bucketBound(metrics: Map<String, Double>, name: String, part: Double): Double? {
    val count = metrics["${name}_count"]?.takeIf { it > 0 } ?: return null
    val prefix = "${name}_bucket{le=\""
    return metrics.filterKeys { it.startsWith(prefix) }
        .mapKeys { it.key.removePrefix(prefix).substringBefore('"').toDoubleOrNull() ?: Double.POSITIVE_INFINITY }
        .filter { it.value >= part * count && it.key.isFinite() }
        .minOfOrNull { it.key * MILLIS_PER_SECOND }
}

private fun timeline(results: List<RequestResult>): List<SecondFigures> =
    results.groupBy { (it.request.atMillis / MILLIS_PER_SECOND).toInt() }.toSortedMap().map { (second, own) ->
        val p95 = firstTokens(own).takeIf { it.count > 0 }?.p95
        SecondFigures(second, own.size, p95, own.count { it.isRefused }, own.count { it.isBroken })
    }

private fun difference(before: Map<String, Long>, after: Map<String, Long>): Map<String, Long> =
    after.mapValues { (name, value) -> value - (before[name] ?: 0) }.toSortedMap()
