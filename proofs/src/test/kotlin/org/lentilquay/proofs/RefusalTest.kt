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

/** Guards against a refusal that says "not run" for a request that a backend server ran. */
class RefusalTest : FunSpec({
    test("each refusal has its code, and none that says not_run ran") {
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
            patienceMillis = 1_000,
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
            fun refuse(what: String, ask: Ask) = note("$what: " + add(ask, fleet.caller.ask(vm, ask)))
            refuse("no key", Ask("stove", "no key", key = null))
            refuse("unknown key", Ask("stove", "unknown key", key = "key-text-of-nobody"))
            refuse("route of another team", Ask("private", "private"))
            refuse("unknown route", Ask("nothing", "unknown route"))
            refuse("unknown version", Ask("stove@9", "unknown version"))
            refuse("malformed body", Ask("stove", "malformed", body = "{\"model\":"))
            refuse("key in the body", Ask("stove", "my key is $KEY"))
            refuse("key in another header", Ask("stove", "header", headers = mapOf("X-Note" to KEY)))
            refuse("more than the burst", Ask("stove", "burst", tokens = 25_000))
            note("no idempotency key: " + add("none", fleet.caller.call(vm, "bookings/deposits", null, "none")))
            note("key in the query: " + add("query", fleet.caller.call(vm, "bookings/deposits?k=$KEY", "k", "query")))
            note("first body under a key: " + fleet.caller.call(vm, "bookings/deposits", "reused", "body-1"))
            val reused = fleet.caller.call(vm, "bookings/deposits", "reused", "body-2")
            note("other body under the key: " + add("body-2", reused))
            note("runs", listOf("none", "query", "body-1", "body-2").map { fleet.timesRun(it) })
            loseAnswers(fleet)
            disturb(fleet)
        }
    }
})

/** The engine runs requests and their answers are lost; once, no further place is left after that. */
private fun SessionRecord.loseAnswers(fleet: Fleet) {
    val (engine, vm) = fleet.engines[0] to fleet.vms[1]
    fun begin(prompt: String) = fleet.caller.begin(vm, Ask("stove", prompt))
    fun Pending.outcome() = add(ask, await()).toString() + ", ran ${fleet.runsOf(ask).isNotEmpty()}"
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

/** Sends more than the engine holds while it restarts, its loads fail, the platform is out, and a VM stops. */
private fun SessionRecord.disturb(fleet: Fleet) {
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
            val ask = Ask(route, "load $turn $number", tokens = 10, stream = number % 4 < 2)
            fleet.caller.begin(fleet.vms[number % 2], ask)
        }
        Thread.sleep(300)
        disturbance()
        Thread.sleep(700)
        sent
    }
    val answers = pending.map { it.ask to add(it.ask, it.await()) }
    note("requests under disturbance: ${answers.size}")
    note("some are answered: ${answers.any { (ask, answer) -> answer.isRightFor(ask) }}")
    // Requests with an even number went to the VM that is not stopped.
    val faulty = answers.filterIndexed { index, _ -> index % 2 == 0 }
        .count { (ask, answer) -> answer.code == null && !answer.isRightFor(ask) || answer.code == "cut" }
    note("answers that are wrong or cut without a reason while their VM stays up: $faulty")
}
