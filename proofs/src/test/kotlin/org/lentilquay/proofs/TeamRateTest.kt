package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.standins.promptTokens
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.util.concurrent.ConcurrentLinkedQueue

private const val LOAD_MILLIS = 9_000L
private const val OVER_RATE_TOKENS_PER_SECOND = 600L
private const val OVER_RATE_BURST_TOKENS = 1_200L

/** The estimate of each request is 2 prompt and 28 answer tokens, so that 100 a second are five times the rate. */
private const val OVER_RATE_INTERVAL_MILLIS = 10L

/** A quarter of the rate of the other team; the three VMs that stay up hold three fifths of its quota seats. */
private const val INSIDE_RATE_INTERVAL_MILLIS = 250L

/**
 * Guards against a team that exceeds its rate by sending to several VMs, and against refusals of a team inside its rate
 * at the same time.
 */
class TeamRateTest : FunSpec({
    test("a team at five times its rate stays within it while VMs fail and the platform is out") {
        val options = FleetOptions(
            // With one VM killed and one paused, the others are a strict majority and serve without the table service.
            vms = 5,
            engines = listOf(fastEngine.copy(tokenMillis = 2.0), fastEngine.copy(tokenMillis = 2.0)),
            vans = Team(TeamId("vans"), OVER_RATE_TOKENS_PER_SECOND, OVER_RATE_BURST_TOKENS),
            parts = Team(TeamId("parts"), tokensPerSecond = 400, burstTokens = 1_600),
        )
        session("team-rate", options) { fleet ->
            fleet.awaitServing("stove")
            fleet.awaitServing("lamp", key = PARTS_KEY)
            val (killed, paused) = fleet.vms
            val remaining = fleet.vms.drop(2)
            // The token buckets fill up, so that the whole burst is available when the load starts.
            Thread.sleep(OVER_RATE_BURST_TOKENS / OVER_RATE_TOKENS_PER_SECOND * 1_000)
            val pending = ConcurrentLinkedQueue<PendingRequest>()
            val started = System.nanoTime()
            fun elapsedMillis() = (System.nanoTime() - started) / 1_000_000
            val disturbances = ArrayDeque(
                listOf(
                    1_000L to { fleet.platform.control(PlatformControl(outage = true)) },
                    2_000L to { killed.kill() },
                    3_000L to { paused.pause() },
                    7_000L to { paused.resume() },
                    7_500L to { fleet.platform.control(PlatformControl(outage = false)) },
                ),
            )
            var overRateCount = 0
            var insideRateCount = 0
            while (elapsedMillis() < LOAD_MILLIS) {
                if (disturbances.isNotEmpty() && elapsedMillis() >= disturbances.first().first) {
                    disturbances.removeFirst().second()
                }
                while (overRateCount * OVER_RATE_INTERVAL_MILLIS < elapsedMillis()) {
                    val request = CallerRequest("stove", "l${overRateCount++}", tokens = 27, stream = false)
                    pending += fleet.caller.start(fleet.vms[overRateCount % fleet.vms.size], request)
                }
                while (insideRateCount * INSIDE_RATE_INTERVAL_MILLIS < elapsedMillis()) {
                    val request =
                        CallerRequest("lamp", "c${insideRateCount++}", tokens = 22, key = PARTS_KEY, stream = false)
                    pending += fleet.caller.start(remaining[insideRateCount % remaining.size], request)
                }
                Thread.sleep(2)
            }
            val allowedTokens = OVER_RATE_BURST_TOKENS + OVER_RATE_TOKENS_PER_SECOND * elapsedMillis() / 1_000
            val responses = pending.associate { it.request to add(it.request, it.await()) }
            val insideRateResponses = responses.filterKeys { it.route == "lamp" }
            val failed = insideRateResponses.filter { (request, answer) -> !answer.isCorrectFor(request) }
            withClue(failed.map { (request, answer) -> "${request.prompt}: $answer ${answer.text}" }) {
                insideRateResponses.count { (request, answer) -> !answer.isCorrectFor(request) } shouldBe 0
            }
            note("requests of the team inside its rate that were not answered: 0")
            val overRateRuns = fleet.runs().filter { it.model == "stove-adapter@1" && it.requestId.isNotEmpty() }
            val tokens = overRateRuns.sumOf { it.tokens + promptTokens("user: l0") }
            withClue("$tokens tokens ran in ${overRateRuns.size} runs, $allowedTokens allowed") {
                tokens.toLong() shouldBeLessThanOrEqualTo allowedTokens
                // Without a lower bound, a fleet that refuses everything would pass.
                (tokens * 5 > allowedTokens) shouldBe true
            }
            note("tokens of the team over its rate: at most rate x time + burst")
            val isLimited = responses.any { (request, answer) ->
                request.route == "stove" && answer.code == "rate_limited"
            }
            note("the team over its rate was told so: $isLimited")
        }
    }
})
