/*
 * Compares the reports of several runs: one column for each group of runs that differ only in the seed. A cell
 * holds the value of a single run, or the median, minimum and maximum of several.
 */
package org.lentilquay.bench

private const val LABEL_WIDTH = 46
private const val COLUMN_GAP = 3
private const val PERCENT = 100.0
private const val NO_VALUE = "-"

/** A report and the [name] of its file. */
internal class NamedReport(val name: String, val report: RunReport)

/** Runs of one scenario with the same parameters but for the seed. */
internal class ReportGroup(val title: String, val reports: List<RunReport>)

/**
 * Groups runs that differ only in the seed. If a seed occurs twice, then the runs must differ in something that the
 * reports do not record, and each is a group of its own.
 */
internal fun groupReports(reports: List<NamedReport>): List<ReportGroup> =
    reports.groupBy { with(it.report.run) { listOf(scenario, traceSeconds, requestsPerSecond, placement, label) } }
        .values
        .flatMap { similar ->
            if (similar.distinctBy { it.report.run.seed }.size == similar.size) {
                listOf(ReportGroup(groupTitle(similar.map { it.report.run }), similar.map { it.report }))
            } else {
                similar.map { ReportGroup("${groupTitle(listOf(it.report.run))}, ${it.name}", listOf(it.report)) }
            }
        }

private fun groupTitle(runs: List<RunDetails>): String {
    val loads = runs.flatMap { listOf(it.loadAverageAtStart, it.loadAverageAtEnd) }
    return with(runs.first()) {
        val name = listOf(scenario, placement, label).filter(String::isNotEmpty).joinToString(" ")
        val seeds = runs.map { it.seed }.sorted()
        "$name, $traceSeconds s at ${number(requestsPerSecond)}/s, seeds $seeds, " +
            "load average ${number(loads.min())} to ${number(loads.max())}"
    }
}

/** The measures of [groups] as a fixed-width table; rows without a value are omitted. */
internal fun comparisonTable(groups: List<ReportGroup>): String = buildString {
    val names = groups.indices.map { ('A' + it).toString() }
    names.zip(groups) { name, group -> appendLine("$name: ${group.title}") }
    appendLine("Cells hold the value of one run, or: median (least to greatest). Times are milliseconds.")
    val rows = allMeasures(groups.flatMap { it.reports }).map { (label, measure) ->
        label to groups.map { group -> cell(group.reports.mapNotNull(measure)) }
    }.filter { (_, cells) -> cells.any { it != NO_VALUE } }
    val widths = groups.indices.map { column -> rows.maxOf { it.second[column].length } + COLUMN_GAP }
    (listOf("" to names) + rows).forEach { (label, cells) ->
        appendLine(label.padEnd(LABEL_WIDTH) + cells.zip(widths, String::padStart).joinToString(""))
    }
}

private fun cell(values: List<Double>): String {
    val sorted = values.sorted()
    val middle = sorted.size / 2
    return when (sorted.size) {
        0 -> NO_VALUE
        1 -> number(sorted.single())
        else -> {
            val median = if (sorted.size % 2 == 1) sorted[middle] else (sorted[middle - 1] + sorted[middle]) / 2
            "${number(median)} (${number(sorted.first())} to ${number(sorted.last())})"
        }
    }
}

private typealias Measure = Pair<String, (RunReport) -> Double?>

private fun allMeasures(reports: List<RunReport>): List<Measure> =
    stallMeasures + batchMeasures + teamMeasures + refusalMeasures(reports) + phaseMeasures(reports) +
        latencyMeasures + costMeasures

private val stallMeasures = listOf<Measure>(
    "load stalls: requests that waited, %" to { it.loads.stalledShare * PERCENT },
    "load stalls: mean wait" to { it.loads.stallMeanMillis },
    "load stalls: p95 of the wait at most" to { it.loads.stallP95AtMostMillis },
    "loads over the lower bound" to { it.loads.ratio },
)

private val batchMeasures = listOf<Measure>(
    "batch efficiency: mean running / maximum" to { it.batchEfficiency },
    "batch efficiency: tokens a step" to { it.tokensPerStep },
)

private val teamMeasures = listOf<Measure>(
    "worst team: p95 first token / median team's" to { it.worstTeamToMedian },
    "worst team: answered inside the rate, %" to { it.leastAnsweredShareOfTeam?.times(PERCENT) },
)

private fun refusalMeasures(reports: List<RunReport>): List<Measure> {
    val refused: Measure = "refused inside the rate, %" to { percent(it.refusedInsideRate.values.sum(), it.insideRate) }
    val broken: Measure = "broken inside the rate, %" to { percent(it.brokenInsideRate.values.sum(), it.insideRate) }
    val codes = reports.flatMap { it.refusedInsideRate.keys + it.brokenInsideRate.keys }.distinct().sorted()
    val wait: Measure = "expected wait of overloaded refusals, p50" to { it.refusedWait.takeIf { it.count > 0 }?.p50 }
    return listOf(refused, broken, wait) + codes.map { code ->
        "  $code" to { (it.refusedInsideRate[code] ?: it.brokenInsideRate[code] ?: 0).toDouble() }
    }
}

private fun phaseMeasures(reports: List<RunReport>): List<Measure> =
    reports.filter { it.phases.size > 1 }.flatMap { it.phases }.map { it.name }.distinct().flatMap { name ->
        fun figure(read: (PhaseStatistics) -> Double?) = { report: RunReport ->
            report.phases.takeIf { it.size > 1 }?.find { it.name == name }?.let(read)
        }
        listOf<Measure>(
            "$name: answered, %" to figure { percent(it.answered, it.requests) },
            "  first token p95" to figure { it.firstToken.p95 },
            "  seconds until the last failure" to figure { it.lastFailureSeconds },
        )
    } + listOf<Measure>(
        "domain away: seconds until its last new work" to { it.domain?.lastNewWorkSeconds },
        "domain back: seconds until its first work" to { it.domain?.firstWorkAfterReturnSeconds },
    )

private val latencyMeasures = listOf<Measure>(
    "requests" to { it.requests.toDouble() },
    "answered, %" to { percent(it.answered, it.requests) },
    "first token p50" to { it.firstToken.p50 },
    "first token p95" to { it.firstToken.p95 },
    "first token p99" to { it.firstToken.p99 },
    "first token p95, short requests" to { it.firstTokenOfShort.p95 },
    "first token p95, long requests" to { it.firstTokenOfLong.p95 },
    "time between tokens p50" to { it.tokenGap.p50 },
    "time between tokens p95" to { it.tokenGap.p95 },
    "time between tokens p99" to { it.tokenGap.p99 },
)

private val costMeasures = listOf<Measure>(
    "orders to engines: loads" to { it.orders["orders_load"]?.toDouble() },
    "orders to engines: unloads" to { it.orders["orders_unload"]?.toDouble() },
    "orders to engines: claims" to { it.orders["orders_claim"]?.toDouble() },
    "table reads a second" to { it.tableReadsPerSecond },
    "table writes a second" to { it.tableWritesPerSecond },
)

private fun percent(part: Int, whole: Int): Double? = if (whole > 0) PERCENT * part / whole else null
