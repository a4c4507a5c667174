package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldContainInOrder
import io.kotest.matchers.string.shouldNotContain

private val times = Percentiles(1, 1.0, 2.0, 3.0, 4.0)
private val phase = PhaseFigures("domain lost", 10.0, 20.0, 10, 9, 1, 0, times, 4.0)

private fun report(scenario: String, seed: Long, inside: Int = 100, refused: Int = 0, isLost: Boolean = false) =
    RunReport(
        run = RunFigures(scenario, "Emberline", "home-first", "", seed, 30, 8.0, 31.0, 1.5, 2.5, "not emulated"),
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
        loads = LoadFigures(10, 0.1, 500.0, null, null, 20, 5, 10, 2.0),
        orders = emptyMap(),
        tableReadsPerSecond = 1.0,
        tableWritesPerSecond = 2.0,
        platformReadsPerSecond = 1.0,
        platformWritesPerSecond = 2.0,
        phases = if (isLost) listOf(phase.copy(name = "from the start"), phase) else listOf(phase),
        domain = null,
        events = if (isLost) listOf(EventFigures("domain lost", 10.0), EventFigures("back", 20.0)) else emptyList(),
        timeline = listOf(SecondFigures(0, 1, 2.0, 0, 0), SecondFigures(30, 1, null, 1, 1)),
    )

class ComparisonTest : FunSpec({
    // Guards against a median over runs that differ in more than the seed, and against one over two versions.
    test("runs are grouped if only their seeds differ") {
        fun sizes(vararg reports: RunReport) =
            groupsOf(reports.map { NamedReport("file", it) }).map { it.reports.size }
        val first = report("steady", seed = 1)
        sizes(first, report("steady", seed = 2), report("steady", seed = 3)) shouldBe listOf(3)
        sizes(first, report("lost", seed = 2)) shouldBe listOf(1, 1)
        sizes(first, report("steady", seed = 1)) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(label = "new"))) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(placement = "random"))) shouldBe listOf(1, 1)
        sizes(first, first.copy(run = first.run.copy(requestsPerSecond = 9.0))) shouldBe listOf(1, 1)
    }

    // Guards against a spread or a share that is worked out wrongly, and against a code that is not listed.
    test("cells show median and spread") {
        val reports = listOf(1 to 4, 2 to 0, 3 to 12, 4 to 2).map { (seed, refused) ->
            NamedReport("file", report("steady", seed.toLong(), inside = 50, refused = refused))
        }
        val lines = comparison(groupsOf(reports)).lines()
        lines.first() shouldContain "seeds [1, 2, 3, 4], load average 1.50 to 2.50"
        lines.single { it.startsWith("refused inside the rate") } shouldContain "6 (0 to 24)"
        lines.single { it.startsWith("  overloaded") } shouldContain "3 (0 to 12)"
        lines.none { it.startsWith("worst team: p95") } shouldBe true
    }

    // Guards against a chart on which a failure cannot be seen.
    test("the chart marks failures") {
        val chart = chartOf(report("lost", seed = 1, isLost = true))
        chart.shouldContainInOrder("mistyrose", "broken requests", "domain lost, 10 s", "back, 20 s", "</svg>")
        chartOf(report("steady", seed = 1)) shouldNotContain "mistyrose"
    }
})
