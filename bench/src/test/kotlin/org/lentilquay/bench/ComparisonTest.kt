package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldContainInOrder
import io.kotest.matchers.string.shouldNotContain

private val times = Percentiles(1, 1.0, 2.0, 3.0, 4.0)
private val phase = PhaseStatistics("domain lost", 10.0, 20.0, 10, 9, 1, 0, times, 4.0)

private fun report(scenario: String, seed: Long, inside: Int = 100, refused: Int = 0, isLost: Boolean = false) =
    RunReport(
        run = RunDetails(scenario, "Emberline", "home-first", "", seed, 30, 8.0, 31.0, 1.5, 2.5, "not emulated"),
        requests = 100,
        answered = 100 - refused,
        errors = emptyMap(),
        insideRate = inside,
        refusedInsideRate = if (refused > 0) mapOf("overloaded" to refused) else emptyMap(),
        brokenInsideRate = emptyMap(),
        refusedWait = times,
        firstToken = times,
        firstTokenOfShort = times,
        firstTokenOfLong = times,
        tokenGap = times,
        teams = emptyList(),
        worstTeamToMedian = null,
        leastAnsweredShareOfTeam = null,
        batchEfficiency = 0.1,
        tokensPerStep = 1.2,
        loads = LoadStatistics(10, 0.1, 500.0, null, null, 20, 5, 10, 2.0),
        orders = emptyMap(),
        tableReadsPerSecond = 1.0,
        tableWritesPerSecond = 2.0,
        platformReadsPerSecond = 1.0,
        platformWritesPerSecond = 2.0,
        phases = if (isLost) listOf(phase.copy(name = "from the start"), phase) else listOf(phase),
        domain = null,
        events = if (isLost) listOf(EventEntry("domain lost", 10.0), EventEntry("back", 20.0)) else emptyList(),
        timeline = listOf(SecondStatistics(0, 1, 2.0, 0, 0), SecondStatistics(30, 1, null, 1, 1)),
    )

class ComparisonTest : FunSpec({
    // Guards against a median over runs that differ in more than the seed, such as the version.
    test("runs are grouped only if nothing but their seeds differs") {
        fun sizes(vararg reports: RunReport) =
            groupReports(reports.map { NamedReport("file", it) }).map { it.reports.size }
        val first = report("steady", seed = 1)
        sizes(first, report("steady", seed = 2), report("steady", seed = 3)) shouldBe listOf(3)
        sizes(first, report("lost", seed = 2)) shouldBe listOf(1, 1)
        sizes(first, report("steady", seed = 1)) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(label = "new"))) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(placement = "random"))) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(requestsPerSecond = 9.0))) shouldBe listOf(1, 1)
    }

    // Guards against a wrong median, range or percentage, and against an error code that is not listed.
    test("cells show the median, minimum and maximum of several runs") {
        val reports = listOf(1 to 4, 2 to 0, 3 to 12, 4 to 2).map { (seed, refused) ->
            NamedReport("file", report("steady", seed.toLong(), inside = 50, refused = refused))
        }
        val lines = comparisonTable(groupReports(reports)).lines()
        lines.first() shouldContain "seeds [1, 2, 3, 4], load average 1.50 to 2.50"
        lines.single { it.startsWith("refused inside the rate") } shouldContain "6 (0 to 24)"
        lines.single { it.startsWith("  overloaded") } shouldContain "3 (0 to 12)"
        lines.none { it.startsWith("worst team: p95") } shouldBe true
    }

    // Guards against a chart that does not show a failure.
    test("the chart marks the events and the duration of a failure") {
        val chart = chartOf(report("lost", seed = 1, isLost = true))
        chart.shouldContainInOrder("mistyrose", "broken requests", "domain lost, 10 s", "back, 20 s", "</svg>")
        chartOf(report("steady", seed = 1)) shouldNotContain "mistyrose"
    }
})
