/*
 * Formats the report of a run as lines of label and value.
 */
package org.lentilquay.bench

private const val LABEL_WIDTH = 48

internal fun RunReport.text(): String = buildString {
    fun line(label: String, value: Any) = appendLine(label.padEnd(LABEL_WIDTH) + value)
    with(run) {
        line("scenario", "$scenario ($deployment), placement $placement $label")
        line("seed, length, base rate", "$seed, $traceSeconds s, ${number(requestsPerSecond)} a second")
        line("load average at start and end", "${number(loadAverageAtStart)} ${number(loadAverageAtEnd)}")
        line("delays between domains", delays)
    }
    requestLines(::line)
    teamLines(::line)
    loadLines(::line)
    phaseLines(::line)
}

private fun RunReport.requestLines(line: (String, Any) -> Unit) {
    line("requests, with a whole answer", "$requests, $answered")
    line("errors", errors.ifEmpty { "none" })
    line("refused inside the team's rate", "${refusedInsideRate.values.sum()} of $insideRate $refusedInsideRate")
    line("broken inside the team's rate", "${brokenInsideRate.values.sum()} of $insideRate $brokenInsideRate")
    if (refusedWait.count > 0) line("wait that overloaded refusals expected, ms", refusedWait.text())
    line("first token, ms", firstToken.text())
    line("  of short requests", firstTokenOfShort.text())
    line("  of long requests", firstTokenOfLong.text())
    line("time between tokens, ms", tokenGap.text())
}

private fun RunReport.teamLines(line: (String, Any) -> Unit) {
    teams.forEach {
        val rate = if (it.isOverRate) {
            "over its rate: answered ${it.answered}, inside ${it.insideRate}"
        } else {
            "inside the rate answered ${it.answeredInsideRate} of ${it.insideRate}"
        }
        line("  ${it.team}: first token, ms", "${it.firstToken.text()}  n ${it.requests}  $rate")
    }
    line("worst team's p95 first token / median team's", worstTeamToMedian?.let(::number) ?: "none")
    line("least share answered inside the rate of a team", leastAnsweredShareOfTeam?.let(::number) ?: "none")
}

private fun RunReport.loadLines(line: (String, Any) -> Unit) {
    line("batch efficiency (mean running / maximum)", number(batchEfficiency))
    line("tokens a step of an engine", number(tokensPerStep))
    line("requests that waited for a load", "${loads.stalledRequests}, share ${number(loads.stalledShare)}")
    val p50 = loads.stallP50AtMostMillis?.let(::number)
    val p95 = loads.stallP95AtMostMillis?.let(::number)
    line("  their wait, ms", "mean ${number(loads.stallMeanMillis)}  p50 at most $p50  p95 at most $p95")
    line("loads, minimum loads (Belady), ratio", "${loads.loads}, ${loads.leastLoads}, ${number(loads.ratio)}")
    line("engine counters", orders)
    line("table reads, writes a second", "${number(tableReadsPerSecond)}, ${number(tableWritesPerSecond)}")
    line("platform reads, writes a second", "${number(platformReadsPerSecond)}, ${number(platformWritesPerSecond)}")
}

private fun RunReport.phaseLines(line: (String, Any) -> Unit) {
    phases.takeIf { it.size > 1 }?.forEach {
        line("phase: ${it.name}, ${number(it.fromSeconds)} to ${number(it.untilSeconds)} s", "")
        val ends = "${it.answered} of ${it.requests}, ${it.refusedInsideRate}, ${it.broken}"
        line("  answered, refused inside the rate, broken", ends)
        line("  first token, ms", it.firstToken.text())
        line("  last failure after", seconds(it.lastFailureSeconds))
    }
    domain?.let {
        line("domain that left: last new work after", "${seconds(it.lastNewWorkSeconds)} on ${it.engines}")
        line("domain that left: accepted after 4 s", it.acceptedAfterBound)
        line("domain back: first work after", seconds(it.firstWorkAfterReturnSeconds))
    }
}

private fun seconds(time: Double?): String = time?.let { "${number(it)} s" } ?: "none"

internal fun Percentiles.text(): String =
    "p50 ${number(p50)}  p95 ${number(p95)}  p99 ${number(p99)}  max ${number(maximum)}"
