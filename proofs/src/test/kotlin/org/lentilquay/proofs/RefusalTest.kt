package org.lentilquay.proofs

import io.kotest.core.spec.style.FunSpec
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.EngineOptions
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.ConfigurationChange.SetDomainState
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/**
 * Guards against a refusal with `not_run` for a request that a backend server ran, which a caller would repeat. This
 * can happen when an answer is lost and no other server can take the retry.
 */
class RefusalTest : FunSpec({
    test("each refusal has its error code, and no request that is refused with not_run ran") {
        val small = EngineOptions(
            maximumInFlight = 2,
            queueLimit = 2,
            coldInFlight = 1,
            coldMillis = 500,
            firstTokenMillis = 20,
            tokenMillis = 20.0,
            loadMillis = 100,
        )
        val options = FleetOptions(
            engines = listOf(small),
            vans = Team(TeamId("vans"), tokensPerSecond = 5_000, burstTokens = 20_000),
            maximumWaitMillis = 1_000,
        )
        session("refusals", options) { fleet ->
            fleet.awaitServing("stove")
            fleet.awaitBookings()
            val vm = fleet.vms[1]
            fleet.vms[0].apply(
                ConfigurationChange.PutRoute(
                    Route(
                        RouteId("private"),
                        RouteTarget.AdapterTarget("stove-adapter"),
                        teams = setOf(TeamId("parts")),
                    ),
                ),
            )
            await("the route is everywhere", IN_FORCE_MILLIS) { fleet.vms.all { it.revision() == 2L } }
            fun checkRefusal(label: String, request: CallerRequest) =
                note("$label: " + add(request, fleet.caller.send(vm, request)))

            checkRefusal("no key", CallerRequest("stove", "no key", key = null))
            checkRefusal("unknown key", CallerRequest("stove", "unknown key", key = "key-text-of-nobody"))
            checkRefusal("route of another team", CallerRequest("private", "private"))
            checkRefusal("unknown route", CallerRequest("nothing", "unknown route"))
            checkRefusal("unknown version", CallerRequest("stove@9", "unknown version"))
            checkRefusal("malformed body", CallerRequest("stove", "malformed", body = "{\"model\":"))
            checkRefusal("key in the body", CallerRequest("stove", "my key is $KEY"))
            checkRefusal("key in another header", CallerRequest("stove", "header", headers = mapOf("X-Note" to KEY)))
            checkRefusal("more than the burst", CallerRequest("stove", "burst", tokens = 25_000))
            note("no idempotency key: " + add("none", fleet.caller.callService(vm, "bookings/deposits", null, "none")))
            note(
                "key in the query: " +
                    add("query", fleet.caller.callService(vm, "bookings/deposits?k=$KEY", "k", "query")),
            )
            note("first body under a key: " + fleet.caller.callService(vm, "bookings/deposits", "reused", "body-1"))
            val reused = fleet.caller.callService(vm, "bookings/deposits", "reused", "body-2")
            note("other body under the key: " + add("body-2", reused))
            note("runs", listOf("none", "query", "body-1", "body-2").map { fleet.runCount(it) })
            loseEngineAnswers(fleet)
            sendDuringDisturbances(fleet)
        }
    }
})

/** The engine runs requests whose answers are lost; in the second case, no server is available for the retry. */
private fun SessionRecord.loseEngineAnswers(fleet: Fleet) {
    val (engine, vm) = fleet.engines[0] to fleet.vms[1]
    fun begin(prompt: String) = fleet.caller.start(vm, CallerRequest("stove", prompt))
    fun PendingRequest.outcome() = add(request, await()).toString() + ", ran ${fleet.runsFor(request).isNotEmpty()}"
    engine.control(EngineControl(loseAnswers = 4))
    note("each answer is lost: " + begin("lost").outcome())
    engine.control(EngineControl(loseAnswers = 0))
    fleet.awaitServing("stove")
    engine.control(EngineControl(loseAnswers = 1, delayMillis = 800))
    val last = begin("lost without another place")
    Thread.sleep(200)
    vm.apply(SetDomainState(DomainId("east"), DomainState.DRAINED))
    note("an answer is lost and no place is left: " + last.outcome())
    engine.control(EngineControl(loseAnswers = 0, delayMillis = 0))
    vm.apply(SetDomainState(DomainId("east"), DomainState.SERVING))
    fleet.awaitServing("stove")
}

/** Sends more requests than the engine can hold while it restarts, loads fail, the platform is out, and a VM stops. */
private fun SessionRecord.sendDuringDisturbances(fleet: Fleet) {
    val engine = fleet.engines[0]
    val disturbances = listOf(
        { engine.control(EngineControl(restart = true)) },
        { engine.control(EngineControl(failLoads = 2, restart = true)) },
        { fleet.platform.control(PlatformControl(outage = true)) },
        { engine.control(EngineControl(restart = true)) },
        { fleet.platform.control(PlatformControl(outage = false)) },
        { fleet.vms[1].terminate() },
    )
    val pending = disturbances.flatMapIndexed { turn, disturbance ->
        val sent = List(24) { number ->
            val route = if (number % 3 == 0) "lamp" else "stove"
            val request = CallerRequest(route, "load $turn $number", tokens = 10, stream = number % 4 < 2)
            fleet.caller.start(fleet.vms[number % 2], request)
        }
        Thread.sleep(300)
        disturbance()
        Thread.sleep(700)
        sent
    }
    val answers = pending.map { it.request to add(it.request, it.await()) }
    note("requests under disturbance: ${answers.size}")
    note("some are answered: ${answers.any { (request, answer) -> answer.isCorrectFor(request) }}")
    // Requests with an even number were sent to the VM that keeps running.
    val faulty = answers.filterIndexed { index, _ -> index % 2 == 0 }
        .count { (request, answer) -> answer.code == null && !answer.isCorrectFor(request) || answer.code == "cut" }
    note("answers that are wrong or cut without a reason while their VM stays up: $faulty")
}
