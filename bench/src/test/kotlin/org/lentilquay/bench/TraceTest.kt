package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private const val SECONDS = 400

class TraceTest : FunSpec({
    // Guards against a team over its rate that reduces the requests of other teams, or sends fewer than configured.
    test("a team over its rate sends five times its rate while the others send their mean use") {
        val workload = Scenario.NOUR_LOUD_TEAM.workload(rate = 10.0)
        val trace = generateTrace(workload, SECONDS, seed = 1)
        val limits = TeamLimits(workload)
        val tokens = (0..4).map { team -> trace.filter { it.team == team }.sumOf { it.estimatedTokens } / SECONDS }
        tokens[0] / limits.rates[0] shouldBe (5.0 plusOrMinus 0.25)
        tokens[1] / limits.rates[1] shouldBe (1 / 1.5 plusOrMinus 0.07)
        val withinRate = requestsWithinRate(trace, limits.rates, limits.bursts)
        val admittedTokens =
            trace.filter { it.team == 0 && it.number in withinRate }.sumOf { it.estimatedTokens } / SECONDS
        admittedTokens / limits.rates[0] shouldBe (1.0 plusOrMinus 0.05)
    }

    // Guards against a peak that changes arrivals outside of it, or that does not reach its factor.
    test("a peak doubles arrivals in the middle of the trace and leaves both ends at the base rate") {
        val trace = generateTrace(Scenario.NOUR_BEDTIME.workload(rate = 20.0), SECONDS, seed = 1)
        val perSecond = { from: Int, until: Int ->
            trace.count { it.atMillis in from * 1_000L until until * 1_000L } / (until - from).toDouble()
        }
        perSecond(0, 100) shouldBe (20.0 plusOrMinus 1.5)
        perSecond(180, 220) shouldBe (40.0 plusOrMinus 3.5)
        perSecond(300, 400) shouldBe (20.0 plusOrMinus 1.5)
    }

    // Guards against a shift that leaves the popular adapters popular, or that takes place at another time.
    test("a popularity shift makes another adapter the most popular at half of the trace") {
        val trace = generateTrace(Scenario.EMBERLINE_SHIFT.workload(rate = 20.0), SECONDS, seed = 1)
        val (before, after) = trace.partition { it.atMillis < SECONDS * 500L }
        val mostPopular = { requests: List<TraceRequest> ->
            requests.groupingBy { it.adapter }.eachCount().maxBy { it.value }.key
        }
        mostPopular(before) shouldBe 1
        mostPopular(after) shouldBe 1_501
    }

    // Guards against a warm-up with the peak, the shift or the team over its rate of the scenario.
    test("the steady workload of a scenario has the base rate and the teams of its deployment") {
        Scenario.entries.forEach { scenario ->
            val steady = scenario.workload(rate = null).steady(rateFraction = 0.5)
            steady.arrivalWeights shouldContainExactly steady.teamFractions
            steady.requestsPerSecond shouldBe scenario.deployment.workload.requestsPerSecond / 2
        }
    }

    // Guards against a scenario that is identical to the steady one by mistake.
    test("every scenario differs from the steady one of its deployment") {
        Scenario.entries.filterNot { it.title.endsWith("-steady") }.forEach { scenario ->
            val isUndisturbed = scenario.disturbance == Disturbance.NONE
            if (isUndisturbed) scenario.workload(rate = null) shouldNotBe scenario.deployment.workload
        }
    }
})
