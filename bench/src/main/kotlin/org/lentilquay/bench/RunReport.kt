/*
 * The report of one run of a scenario. Times are milliseconds unless the name says otherwise.
 */
package org.lentilquay.bench

import kotlinx.serialization.Serializable
import org.HdrHistogram.Histogram

private const val LONGEST_MICROS = 600_000_000L
private const val DIGITS = 3
private const val MICROS_PER_MILLI = 1_000.0
private const val MEDIAN = 50.0
private const val P95 = 95.0
private const val P99 = 99.0
private const val LABEL_WIDTH = 46

/** A drained domain should get no new work after this time (docs/design.md, section 1.6). */
private const val DRAIN_BOUND_SECONDS = 4.0

private val refusals = setOf(
    "rate_limited",
    "overloaded",
    "no_capacity",
    "configuration_stale",
    "platform_unavailable",
    "shutting_down",
    "load_failed",
    "no_ready_vm",
)

@Serializable
data class Percentiles(val count: Long, val p50: Double, val p95: Double, val p99: Double, val maximum: Double)

@Serializable
data class TeamFigures(val team: String, val requests: Int, val firstToken: Percentiles, val refused: Int)

@Serializable
data class SecondFigures(val second: Int, val requests: Int, val firstTokenP95: Double?, val refused: Int)

@Serializable
data class EventFigures(val name: String, val seconds: Double)

@Serializable
data class LoadFigures(
    /** Requests that waited for a load, of those that had a whole answer, by the daemons' metrics. */
    val stalledRequests: Long,
    val stalledShare: Double,
    /** The daemons' `lentilquay_load_wait_seconds`, mean. */
    val stallMeanMillis: Double,
    /** Loads, unloads and the least loads count from empty slots, with the requests that filled them. */
    val loads: Long,
    val unloads: Long,
    val leastLoads: Int,
    val ratio: Double,
)

@Serializable
data class DrainFigures(
    val engines: List<String>,
    /** From the answer to the confirmation until an engine of the domain last accepted work; 0 if none did. */
    val lastNewWorkSeconds: Double,
    val acceptedAfterBound: Long,
)

@Serializable
data class RunReport(
    val scenario: String,
    val seed: Long,
    val seconds: Double,
    val loadAverageAtStart: Double,
    val loadAverageAtEnd: Double,
    val requests: Int,
    val answered: Int,
    val errors: Map<String, Int>,
    val refusedInsideRate: Int,
    val insideRate: Int,
    val firstToken: Percentiles,
    val tokenGap: Percentiles,
    val teams: List<TeamFigures>,
    val worstTeamToMedian: Double,
    val batchEfficiency: Double,
    val loads: LoadFigures,
    val orders: Map<String, Long>,
    val tableReadsPerSecond: Double,
    val tableWritesPerSecond: Double,
    val drain: DrainFigures?,
    val events: List<EventFigures>,
    val timeline: List<SecondFigures>,
)

internal class RunSetting(
    val scenario: Scenario,
    val workload: Workload,
    val seed: Long,
    val loadAverageAtStart: Double,
)

internal fun reportOf(setting: RunSetting, record: RunRecord): RunReport {
    val limits = TeamLimits(setting.workload)
    val inside = insideRate(record.trace, limits.rates, limits.bursts)
    val results = record.results
    val teams = results.groupBy { it.request.team }.toSortedMap().map { (team, own) ->
        TeamFigures("team-$team", own.size, firstTokens(own), own.count { it.isRefused })
    }
    val p95 = teams.map { it.firstToken.p95 }.sorted()
    val platform = difference(record.before.platform, record.after.platform)
    val size = setting.scenario.fleet
    return RunReport(
        scenario = setting.scenario.title,
        seed = setting.seed,
        seconds = record.seconds,
        loadAverageAtStart = setting.loadAverageAtStart,
        loadAverageAtEnd = loadAverage(),
        requests = results.size,
        answered = results.count { it.error == null },
        errors = results.mapNotNull { it.error }.groupingBy { it }.eachCount().toSortedMap(),
        refusedInsideRate = results.count { it.isRefused && it.request.number in inside },
        insideRate = inside.size,
        firstToken = firstTokens(results),
        tokenGap = percentiles(record.gaps),
        teams = teams,
        worstTeamToMedian = p95.last() / p95[p95.size / 2],
        batchEfficiency = record.samples.map { it.running.sum() }.average() / (size.engines * size.inFlight),
        loads = loadFigures(size, record),
        orders = difference(record.before.engines, record.after.engines).filterKeys { !it.startsWith("maximum") },
        tableReadsPerSecond = platformReads(platform) / record.seconds,
        tableWritesPerSecond = platformWrites(platform) / record.seconds,
        drain = drainFigures(record),
        events = record.events.map { EventFigures(it.name, it.seconds) },
        timeline = timeline(results),
    )
}

private fun loadFigures(size: FleetSize, record: RunRecord): LoadFigures {
    val metrics = { name: String -> (record.after.metrics[name] ?: 0.0) - (record.before.metrics[name] ?: 0.0) }
    val stalled = metrics("lentilquay_load_wait_seconds_count")
    val answered = record.results.filter { it.error == null }
    val engines = difference(record.beforeWarmUp.engines, record.after.engines)
    val loads = engines["orders_load"] ?: 0
    // Slots hold adapters when the trace begins, so loads are counted from the time when they were empty.
    val served = (record.warmUp.filter { it.error == null } + answered).map { it.request.adapter }
    val least = leastLoads(served, size.engines * size.slots)
    return LoadFigures(
        stalledRequests = stalled.toLong(),
        stalledShare = stalled / answered.size.coerceAtLeast(1),
        stallMeanMillis = metrics("lentilquay_load_wait_seconds_sum") * MICROS_PER_MILLI / stalled.coerceAtLeast(1.0),
        loads = loads,
        unloads = engines["orders_unload"] ?: 0,
        leastLoads = least,
        ratio = loads.toDouble() / least.coerceAtLeast(1),
    )
}

private fun drainFigures(record: RunRecord): DrainFigures? {
    val (confirmed, returned) = record.events.map { it.seconds }.takeIf { it.size == 2 } ?: return null
    val accepted = record.samples.filter { it.seconds in confirmed..returned }
        .map { sample -> sample.seconds to record.drainedEngines.sumOf { sample.accepted[it] } }
    val last = accepted.zipWithNext().lastOrNull { (before, after) -> after.second > before.second }?.second?.first
    val atBound = accepted.lastOrNull { it.first <= confirmed + DRAIN_BOUND_SECONDS }?.second ?: 0
    return DrainFigures(
        engines = record.drainedEngines.map { "engine-${it + 1}" },
        lastNewWorkSeconds = last?.minus(confirmed) ?: 0.0,
        acceptedAfterBound = (accepted.lastOrNull()?.second ?: atBound) - atBound,
    )
}

private fun timeline(results: List<RequestResult>): List<SecondFigures> =
    results.groupBy { (it.request.atMillis / MICROS_PER_MILLI).toInt() }.toSortedMap().map { (second, own) ->
        val p95 = firstTokens(own).takeIf { it.count > 0 }?.p95
        SecondFigures(second, own.size, p95, own.count { it.isRefused })
    }

private val RequestResult.isRefused: Boolean get() = error in refusals

private fun firstTokens(results: List<RequestResult>): Percentiles {
    val histogram = Histogram(LONGEST_MICROS, DIGITS)
    results.mapNotNull { it.firstTokenMillis }.forEach { histogram.recordValue((it * MICROS_PER_MILLI).toLong()) }
    return percentiles(histogram)
}

private fun percentiles(micros: Histogram): Percentiles {
    val at = { percent: Double -> micros.getValueAtPercentile(percent) / MICROS_PER_MILLI }
    return Percentiles(micros.totalCount, at(MEDIAN), at(P95), at(P99), micros.maxValue / MICROS_PER_MILLI)
}

private fun difference(before: Map<String, Long>, after: Map<String, Long>): Map<String, Long> =
    after.mapValues { (name, value) -> value - (before[name] ?: 0) }.toSortedMap()

/** The report as lines of label and value. */
internal fun RunReport.text(): String = buildString {
    fun line(label: String, value: Any) = appendLine(label.padEnd(LABEL_WIDTH) + value)
    fun Percentiles.short() = "p50 ${number(p50)}  p95 ${number(p95)}  p99 ${number(p99)}  max ${number(maximum)}"
    line("scenario", "$scenario, seed $seed, ${number(seconds)} s")
    line("load average at start and end", "${number(loadAverageAtStart)} ${number(loadAverageAtEnd)}")
    line("requests, with a whole answer", "$requests, $answered")
    line("errors", if (errors.isEmpty()) "none" else errors)
    line("refused inside the team's rate", "$refusedInsideRate of $insideRate")
    line("first token, ms", firstToken.short())
    line("time between tokens, ms", tokenGap.short())
    teams.forEach {
        line("  ${it.team}: first token, ms", "${it.firstToken.short()}  n ${it.requests}  refused ${it.refused}")
    }
    line("worst team's p95 first token / median team's", number(worstTeamToMedian))
    line("batch efficiency (mean running / maximum)", number(batchEfficiency))
    line("requests that waited for a load", "${loads.stalledRequests}, share ${number(loads.stalledShare)}")
    line("  their lentilquay_load_wait_seconds, mean ms", number(loads.stallMeanMillis))
    line("loads, least loads (Belady), ratio", "${loads.loads}, ${loads.leastLoads}, ${number(loads.ratio)}")
    line("engine counters", orders)
    line("platform reads, writes a second", "${number(tableReadsPerSecond)}, ${number(tableWritesPerSecond)}")
    events.forEach { line("event: ${it.name}", "at ${number(it.seconds)} s") }
    drain?.let {
        line("drained domain: last new work after", "${number(it.lastNewWorkSeconds)} s on ${it.engines}")
        line("drained domain: accepted after 4 s", it.acceptedAfterBound)
    }
}
