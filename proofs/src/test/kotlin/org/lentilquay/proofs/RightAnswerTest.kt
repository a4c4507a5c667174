package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.RunStage

/**
 * Guards against answers of another adapter, version or request, against truncated answers, and against requests that
 * are lost. They come about when an engine restarts under a stream, mixes up runs, or loses its owner.
 */
class RightAnswerTest : FunSpec({
    fun SessionRecord.checkAllCorrect(
        fleet: Fleet,
        label: String,
        requests: List<CallerRequest>,
        vms: List<Vm> = fleet.vms,
        disturb: (List<PendingRequest>) -> Unit,
    ) {
        val pending = requests.mapIndexed { index, request -> fleet.caller.start(vms[index % vms.size], request) }
        disturb(pending)
        val wrong = pending.filterNot { add(it.request, it.await()).isCorrectFor(it.request) }
        val failures = wrong.map { it.await().run { "${it.request.prompt}: $this $text" } }
        withClue("$label: $failures") { wrong.size shouldBe 0 }
        note("$label: ${pending.size} right and whole answers")
    }

    fun requests(prefix: String, count: Int, tokens: Int = 40) = List(count) { number ->
        val version = 1 + number % 2
        CallerRequest("stove@$version", "$prefix $number", "stove-adapter@$version", tokens, stream = number % 3 != 0)
    }

    test("answers are complete when an engine restarts empty and cold while streams run") {
        val engineOptions = fastEngine.copy(tokenMillis = 20.0, coldMillis = 300)
        session("engine-restarts", FleetOptions(engines = List(3) { engineOptions })) { fleet ->
            fleet.awaitServing("stove")
            repeat(2) { turn ->
                val requests = requests("restart $turn", 12, tokens = 150)
                checkAllCorrect(fleet, "engine restarts empty, turn ${turn + 1}", requests) { pending ->
                    await("streams run", TAKEOVER_TIMEOUT_MILLIS) {
                        pending.filter { it.request.stream && !it.response.isDone }.all { it.chunks.get() > 10 }
                    }
                    fleet.engines.maxBy { engine -> engine.runs().runs.count { !it.stage.isOver } }
                        .control(EngineControl(restart = true))
                }
                Thread.sleep(engineOptions.coldMillis + IN_FORCE_MILLIS)
            }
        }
    }

    test("answers are complete when the owner of an engine is killed while that engine restarts empty") {
        val engineOptions = fastEngine.copy(tokenMillis = 20.0, coldMillis = 300)
        session("owner-and-engine", FleetOptions(vms = 3, engines = List(3) { engineOptions })) { fleet ->
            fleet.awaitServing("stove")
            val busy = fleet.engines.maxBy { it.runs().runs.size }
            val owner = fleet.awaitOwner("engine-${fleet.engines.indexOf(busy) + 1}")
            val requests = requests("pair", 12, tokens = 150)
            checkAllCorrect(fleet, "owner killed and engine restarted", requests, fleet.vms - owner) { pending ->
                await("streams run", TAKEOVER_TIMEOUT_MILLIS) {
                    pending.filter { it.request.stream }.all { it.chunks.get() > 10 }
                }
                owner.kill()
                busy.control(EngineControl(restart = true))
            }
            fleet.counterTotal("fallen_over_cold") shouldBe 0
            note("engines that fell over in the cold start: 0")
        }
    }

    test("answers are correct with faulty engines and slow callers, and a disconnect cancels the run") {
        val engineOptions = fastEngine.copy(tokenMillis = 20.0, resumeMillis = 20_000)
        session("right-answers", FleetOptions(engines = listOf(engineOptions, engineOptions))) { fleet ->
            fleet.awaitServing("stove")
            checkAllCorrect(fleet, "versions", requests("version", 12)) {}
            // Only one engine at a time is faulty, so that the other one can answer each request.
            fleet.engines.forEachIndexed { index, engine ->
                engine.control(EngineControl(wrongModel = 3))
                checkAllCorrect(fleet, "engine ${index + 1} answers for a wrong model", requests("model $index", 12)) {}
                engine.control(EngineControl(wrongModel = 0, wrongRequestId = 3))
                checkAllCorrect(
                    fleet,
                    "engine ${index + 1} answers for a wrong request",
                    requests("request $index", 12),
                ) {}
                engine.control(EngineControl(wrongRequestId = 0, strayChunks = 3))
                checkAllCorrect(
                    fleet,
                    "engine ${index + 1} mixes up chunks of two answers",
                    requests("chunks $index", 12),
                ) {}
                engine.control(EngineControl(strayChunks = 0))
            }
            val slow = CallerRequest("stove", "slow caller", tokens = 200)
            val slowly = fleet.caller.start(fleet.vms[0], slow, pauseMillis = 30).await()
            note("slow caller: right ${slowly.isCorrectFor(slow)}")
            val left = fleet.caller.start(fleet.vms[0], CallerRequest("stove", "caller leaves", tokens = 2_000))
            await("the stream runs", 5_000) { left.chunks.get() > 5 }
            left.disconnect()
            // The engine keeps the run for a resume during this time, so that only a cancel order can end it.
            await("the engine's work is cancelled", IN_FORCE_MILLIS) {
                fleet.runsFor(left.request).all { it.stage == RunStage.CANCELLED }
            }
            note("caller leaves: the engine's work is cancelled")
        }
    }
})
