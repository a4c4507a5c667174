package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.RunStage

/** Guards against answers of another adapter, version or request, against answers in part, and against lost work. */
class RightAnswerTest : FunSpec({
    fun SessionRecord.allRight(
        fleet: Fleet,
        what: String,
        asks: List<Ask>,
        vms: List<Vm> = fleet.vms,
        disturb: (List<Pending>) -> Unit,
    ) {
        val pending = asks.mapIndexed { index, ask -> fleet.caller.begin(vms[index % vms.size], ask) }
        disturb(pending)
        val wrong = pending.filterNot { add(it.ask, it.await()).isRightFor(it.ask) }
        val seen = wrong.map { it.await().run { "${it.ask.prompt}: $this $text" } }
        withClue("$what: $seen") { wrong.size shouldBe 0 }
        note("$what: ${pending.size} right and whole answers")
    }

    fun asks(what: String, count: Int, tokens: Int = 40) = List(count) { number ->
        val version = 1 + number % 2
        Ask("stove@$version", "$what $number", "stove-adapter@$version", tokens, stream = number % 3 != 0)
    }

    test("an engine restarts empty and cold while streams run") {
        val options = quickEngine.copy(tokenMillis = 20.0, coldMillis = 300)
        session("engine-restarts", FleetOptions(engines = List(3) { options })) { fleet ->
            fleet.awaitServing("stove")
            repeat(2) { turn ->
                val asks = asks("restart $turn", 12, tokens = 150)
                allRight(fleet, "engine restarts empty, turn ${turn + 1}", asks) { pending ->
                    await("streams run", TAKEOVER_MILLIS) {
                        pending.filter { it.ask.stream && !it.answer.isDone }.all { it.parts.get() > 10 }
                    }
                    fleet.engines.maxBy { engine -> engine.runs().runs.count { !it.stage.isOver } }
                        .control(EngineControl(restart = true))
                }
                Thread.sleep(options.coldMillis + IN_FORCE_MILLIS)
            }
        }
    }

    test("the owner of an engine is killed while the engine restarts empty under streams") {
        val options = quickEngine.copy(tokenMillis = 20.0, coldMillis = 300)
        session("owner-and-engine", FleetOptions(vms = 3, engines = List(3) { options })) { fleet ->
            fleet.awaitServing("stove")
            val busy = fleet.engines.maxBy { it.runs().runs.size }
            val owner = fleet.awaitOwner("engine-${fleet.engines.indexOf(busy) + 1}")
            val asks = asks("pair", 12, tokens = 150)
            allRight(fleet, "owner killed and engine restarted", asks, fleet.vms - owner) { pending ->
                await("streams run", TAKEOVER_MILLIS) { pending.filter { it.ask.stream }.all { it.parts.get() > 10 } }
                owner.kill()
                busy.control(EngineControl(restart = true))
            }
            fleet.counted("fallen_over_cold") shouldBe 0
            note("engines that fell over in the cold start: 0")
        }
    }

    test("engines err, and callers are slow or leave") {
        val options = quickEngine.copy(tokenMillis = 20.0, resumeMillis = 20_000)
        session("right-answers", FleetOptions(engines = listOf(options, options))) { fleet ->
            fleet.awaitServing("stove")
            allRight(fleet, "versions", asks("version", 12)) {}
            // One engine at a time errs, so that each request can be answered by the other one.
            fleet.engines.forEachIndexed { index, engine ->
                engine.control(EngineControl(wrongModel = 3))
                allRight(fleet, "engine ${index + 1} answers for a wrong model", asks("model $index", 12)) {}
                engine.control(EngineControl(wrongModel = 0, wrongRequestId = 3))
                allRight(fleet, "engine ${index + 1} answers for a wrong request", asks("request $index", 12)) {}
                engine.control(EngineControl(wrongRequestId = 0, strayChunks = 3))
                allRight(fleet, "engine ${index + 1} mixes up chunks of two answers", asks("chunks $index", 12)) {}
                engine.control(EngineControl(strayChunks = 0))
            }
            val slow = Ask("stove", "slow caller", tokens = 200)
            val slowly = fleet.caller.begin(fleet.vms[0], slow, pauseMillis = 30).await()
            note("slow caller: right ${slowly.isRightFor(slow)}")
            val left = fleet.caller.begin(fleet.vms[0], Ask("stove", "caller leaves", tokens = 2_000))
            await("the stream runs", 5_000) { left.parts.get() > 5 }
            left.leave()
            // Within the resume time of the engine, only an order of the system ends the run.
            await("the engine's work is cancelled", IN_FORCE_MILLIS) {
                fleet.runsOf(left.ask).all { it.stage == RunStage.CANCELLED }
            }
            note("caller leaves: the engine's work is cancelled")
        }
    }
})
