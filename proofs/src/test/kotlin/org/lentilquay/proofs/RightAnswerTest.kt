package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.RunStage

/** Guards against answers of another adapter, version or request, against answers in part, and against lost work. */
class RightAnswerTest : FunSpec({
    fun SessionRecord.allRight(fleet: Fleet, what: String, asks: List<Ask>, disturb: (List<Pending>) -> Unit) {
        val pending = asks.mapIndexed { index, ask -> fleet.caller.begin(fleet.vms[index % fleet.vms.size], ask) }
        disturb(pending)
        val wrong = pending.filterNot { add(it.ask, it.await()).isRightFor(it.ask) }
        withClue("$what: " + wrong.map { "${it.ask.prompt}: ${it.await()}" }) { wrong.size shouldBe 0 }
        note("$what: ${pending.size} right and whole answers")
    }

    fun asks(what: String, count: Int, tokens: Int = 40) = List(count) { number ->
        val version = 1 + number % 2
        Ask("stove@$version", "$what $number", "stove-adapter@$version", tokens, stream = number % 3 != 0)
    }

    test("engines err, restart empty and cold, and callers are slow or leave") {
        val engine = quickEngine.copy(tokenMillis = 20.0, resumeMillis = 20_000, coldMillis = 300)
        session("right-answers", FleetOptions(engines = listOf(engine, engine))) { fleet ->
            fleet.awaitServing("stove")
            allRight(fleet, "versions", asks("version", 12)) {}
            fleet.engines.forEach { it.control(EngineControl(wrongModel = 3)) }
            allRight(fleet, "engines answer for a wrong model", asks("model", 12)) {}
            fleet.engines.forEach { it.control(EngineControl(wrongModel = 0, wrongRequestId = 3)) }
            allRight(fleet, "engines answer for a wrong request", asks("request", 12)) {}
            fleet.engines.forEach { it.control(EngineControl(wrongRequestId = 0)) }
            allRight(fleet, "engines restart empty, one after the other", asks("restart", 12, tokens = 150)) { pending ->
                fleet.engines.forEach { busy ->
                    await("streams run", TAKEOVER_MILLIS) {
                        pending.filter { it.ask.stream && !it.answer.isDone }.all { it.parts.get() > 10 }
                    }
                    busy.control(EngineControl(restart = true))
                    Thread.sleep(500)
                }
            }
            val slow = Ask("stove", "slow caller", tokens = 200)
            note("slow caller: right ${fleet.caller.begin(fleet.vms[0], slow, pauseMillis = 30).await().isRightFor(slow)}")
            val left = fleet.caller.begin(fleet.vms[0], Ask("stove", "caller leaves", tokens = 2_000))
            await("the stream runs", 5_000) { left.parts.get() > 5 }
            left.leave()
            // Within the resume time of the engine, only an order of the system ends the run.
            await("the engine's work is cancelled", IN_FORCE_MILLIS) { fleet.runsOf(left.ask).all { it.stage == RunStage.CANCELLED } }
            note("caller leaves: the engine's work is cancelled")
        }
    }
})
