/*
 * Load of teams on a fleet of 79 VMs, where nearly every request needs tokens from another VM.
 */
package org.lentilquay.coordination.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThan
import io.kotest.matchers.doubles.shouldBeLessThanOrEqual
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

private const val VMS = 79

/** A team whose rate an operator has lowered to 28 % of its burst. */
private val lowered = Team(TeamId("lowered"), tokensPerSecond = 28_852, burstTokens = 103_867)

private val small = Team(TeamId("small"), tokensPerSecond = 4_000, burstTokens = 4_000)

class LargeFleetQuotaTest : FunSpec({
    // Guards against transfers that are too small for any request and expire at their receivers: a team at twice its
    // rate on emberline-tt-grown was limited to half of its rate.
    test("a team at twice its rate is admitted at its rate, and half of the refusals come within 100 ms") {
        for (seed in 1..3) {
            val simulation = simulateLoad(lowered, VMS, loadRatio = 2.0, seed)
            val admitted = simulation.admissions.sumOf { it.tokens }
            val due = lowered.tokensPerSecond * SIMULATED_SECONDS + lowered.burstTokens
            val requests = simulation.waits.size + simulation.refused
            withClue("seed $seed: ${simulation.figures()}, $admitted of $due tokens") {
                admitted shouldBeGreaterThan due * 9 / 10
                simulation.refusedAfter.percentile(50) shouldBeLessThan 100L
                // 100 ms of queue at the holder, and the time in which a seat generates the tokens of the request.
                simulation.waits.percentile(90) shouldBeLessThan 350L
                simulation.transferRequests shouldBeLessThan requests * 6
                simulation.worstExcess() shouldBeLessThanOrEqual 0.0
            }
        }
    }

    // Guards against concurrent requests that each collect parts of their tokens and are all refused.
    test("a team at twice its rate whose seats hold hardly one request is admitted at nine tenths of its rate") {
        for (seed in 1..3) {
            val simulation = simulateLoad(small, VMS, loadRatio = 2.0, seed)
            val admitted = simulation.admissions.sumOf { it.tokens }
            val due = small.tokensPerSecond * SIMULATED_SECONDS + small.burstTokens
            withClue("seed $seed: ${simulation.figures()}, $admitted of $due tokens") {
                admitted shouldBeGreaterThan due * 9 / 10
                simulation.worstExcess() shouldBeLessThanOrEqual 0.0
            }
        }
    }

    // Guards against requests that wait although their team has tokens, and against a message to every seat holder per
    // request. At low load on emberline-tt-grown, half of the requests waited for 51 ms.
    test("at half of a team's rate, 90 % of the requests wait less than 20 ms and less than 1 % are refused") {
        for (seed in 1..3) {
            val simulation = simulateLoad(lowered, VMS, loadRatio = 0.5, seed)
            val requests = simulation.waits.size + simulation.refused
            withClue("seed $seed: ${simulation.figures()}") {
                simulation.waits.percentile(90) shouldBeLessThan 20L
                simulation.refused shouldBeLessThan requests / 100
                simulation.transferRequests shouldBeLessThan requests * 3 / 2
            }
        }
    }
})
