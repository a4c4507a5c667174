package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

private const val SECONDS = 400

class TraceTest : FunSpec({
    // Guards against a loud team that takes its requests from the other teams, or that sends less than stated.
    test("a loud team sends five times its rate and the others as before") {
        val workload = Scenario.NOUR_LOUD_TEAM.workload(rate = 10.0)
        val trace = traceOf(workload, SECONDS, seed = 1)
        val limits = TeamLimits(workload)
        val tokens = (0..4).map { team -> trace.filter { it.team == team }.sumOf { it.estimatedTokens } / SECONDS }
        tokens[0] / limits.rates[0] shouldBe (5.0 plusOrMinus 0.25)
        tokens[1] / limits.rates[1] shouldBe (1 / 1.5 plusOrMinus 0.07)
        val inside = insideRate(trace, limits.rates, limits.bursts)
        val loudInside = trace.filter { it.team == 0 && it.number in inside }.sumOf { it.estimatedTokens } / SECONDS
        loudInside / limits.rates[0] shouldBe (1.0 plusOrMinus 0.05)
    }

    // Guards against a peak that changes the arrivals outside of it, or that does not reach its height.
    test("arrivals at bedtime are twice as many in the middle and as usual at both ends") {
        val trace = traceOf(Scenario.NOUR_BEDTIME.workload(rate = 20.0), SECONDS, seed = 1)
        val perSecond = { from: Int, until: Int ->
            trace.count { it.atMillis in from * 1_000L until until * 1_000L } / (until - from).toDouble()
        }
        perSecond(0, 100) shouldBe (20.0 plusOrMinus 1.5)
        perSecond(180, 220) shouldBe (40.0 plusOrMinus 3.5)
        perSecond(300, 400) shouldBe (20.0 plusOrMinus 1.5)
    }

    // Guards against a shift that leaves popular adapters popular, or that comes at another time.
    test("other adapters are popular after a shift") {
        val trace = traceOf(Scenario.EMBERLINE_SHIFT.workload(rate = 20.0), SECONDS, seed = 1)
        val (before, after) = trace.partition { it.atMillis < SECONDS * 500L }
        val popular = { requests: List<TraceRequest> ->
            requests.groupingBy { it.adapter }.eachCount().maxBy { it.value }.key
        }
        popular(before) shouldBe 1
        popular(after) shouldBe 1_501
    }

    // Guards against a warm-up that carries the special requests of the scenario.
    test("the usual requests of a scenario are those of its deployment") {
        Scenario.entries.forEach { scenario ->
            val usual = scenario.workload(rate = null).usual(part = 0.5)
            usual.arrivalShares shouldContainExactly usual.teamShares
            usual.requestsPerSecond shouldBe scenario.deployment.workload.requestsPerSecond / 2
        }
    }

    // Guards against scenarios that silently equal the steady one.
    test("every scenario differs from the steady one of its deployment") {
        Scenario.entries.filterNot { it.title.endsWith("-steady") }.forEach { scenario ->
            val isCalm = scenario.disturbance == Disturbance.NONE
            if (isCalm) scenario.workload(rate = null) shouldNotBe scenario.deployment.workload
        }
    }
})
