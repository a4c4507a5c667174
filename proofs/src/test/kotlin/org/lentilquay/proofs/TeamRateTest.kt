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
private const val LOUD_RATE = 600L
private const val LOUD_BURST = 1_200L

/** Each loud request has 2 prompt tokens and 28 answer tokens by the estimate: 100 a second are five times the rate. */
private const val LOUD_INTERVAL_MILLIS = 10L

/** A quarter of the calm team's rate: the three VMs that stay up hold three fifths of the seats. */
private const val CALM_INTERVAL_MILLIS = 250L

/** Guards against a team that gets more than its rate by using several VMs, and against refusals of a calm team. */
class TeamRateTest : FunSpec({
    test("five times the rate while a VM is killed, another is stopped, and the table is out") {
        val options = FleetOptions(
            // With one VM killed and one stopped, the rest is a strict majority and serves without the table.
            vms = 5,
            engines = listOf(quickEngine.copy(tokenMillis = 2.0), quickEngine.copy(tokenMillis = 2.0)),
            vans = Team(TeamId("vans"), LOUD_RATE, LOUD_BURST),
            parts = Team(TeamId("parts"), tokensPerSecond = 400, burstTokens = 1_600),
        )
        session("team-rate", options) { fleet ->
            fleet.awaitServing("stove")
            fleet.awaitServing("lamp", key = PARTS_KEY)
            val (killed, stopped) = fleet.vms
            val steady = fleet.vms.drop(2)
            // The buckets fill up, so that the whole burst is there at the start of the load.
            Thread.sleep(LOUD_BURST / LOUD_RATE * 1_000)
            val pending = ConcurrentLinkedQueue<Pending>()
            val started = System.nanoTime()
            fun elapsed() = (System.nanoTime() - started) / 1_000_000
            val steps = ArrayDeque(
                listOf(
                    1_000L to { fleet.platform.control(PlatformControl(outage = true)) },
                    2_000L to { killed.kill() },
                    3_000L to { stopped.pause() },
                    7_000L to { stopped.resume() },
                    7_500L to { fleet.platform.control(PlatformControl(outage = false)) },
                ),
            )
            var loud = 0
            var calm = 0
            while (elapsed() < LOAD_MILLIS) {
                if (steps.isNotEmpty() && elapsed() >= steps.first().first) steps.removeFirst().second()
                while (loud * LOUD_INTERVAL_MILLIS < elapsed()) {
                    val ask = Ask("stove", "l${loud++}", tokens = 27, stream = false)
                    pending += fleet.caller.begin(fleet.vms[loud % fleet.vms.size], ask)
                }
                while (calm * CALM_INTERVAL_MILLIS < elapsed()) {
                    val ask = Ask("lamp", "c${calm++}", tokens = 22, key = PARTS_KEY, stream = false)
                    pending += fleet.caller.begin(steady[calm % steady.size], ask)
                }
                Thread.sleep(2)
            }
            val allowed = LOUD_BURST + LOUD_RATE * elapsed() / 1_000
            val asked = pending.associate { it.ask to add(it.ask, it.await()) }
            val calmAnswers = asked.filterKeys { it.route == "lamp" }
            val failed = calmAnswers.filter { (ask, answer) -> !answer.isRightFor(ask) }
            withClue(failed.map { (ask, answer) -> "${ask.prompt}: $answer ${answer.text}" }) {
                calmAnswers.count { (ask, answer) -> !answer.isRightFor(ask) } shouldBe 0
            }
            note("requests of the team inside its rate that were not answered: 0")
            val loudRuns = fleet.runs().filter { it.model == "stove-adapter@1" && it.requestId.isNotEmpty() }
            val tokens = loudRuns.sumOf { it.tokens + promptTokens("user: l0") }
            withClue("$tokens tokens ran in ${loudRuns.size} runs, $allowed allowed") {
                tokens.toLong() shouldBeLessThanOrEqualTo allowed
                // A fleet that lets nothing through would pass the bound above.
                (tokens * 5 > allowed) shouldBe true
            }
            note("tokens of the team over its rate: at most rate x time + burst")
            val isLimited = asked.any { (ask, answer) -> ask.route == "stove" && answer.code == "rate_limited" }
            note("the team over its rate was told so: $isLimited")
        }
    }
})
