package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.ListedVm
import org.lentilquay.protocol.ListedVmKind
import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.standins.EngineControl
import org.lentilquay.standins.ModelEngine
import org.lentilquay.state.ConfigurationChange.SetDomainState
import org.lentilquay.state.ConfigurationChange.WithdrawKey
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.KeyId
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** Sends streams of varied length to [vms] in turn until it is closed. */
private class BackgroundLoad(
    private val fleet: Fleet,
    private val vms: List<Vm>,
    private val routes: List<String> = listOf("stove", "lamp"),
) : AutoCloseable {
    val pending = ConcurrentLinkedQueue<PendingRequest>()
    private val isOver = AtomicBoolean()
    private val number = AtomicInteger()
    private val sender = thread(isDaemon = true) {
        while (!isOver.get()) {
            val next = number.getAndIncrement()
            val request = CallerRequest(routes[next % routes.size], "load $next", tokens = 5 + next % 40)
            pending += fleet.caller.start(vms[next % vms.size], request)
            Thread.sleep(25)
        }
    }

    override fun close() {
        isOver.set(true)
        sender.join()
    }
}

private val ModelEngine.accepted: Long get() = runs().counters["accepted"] ?: 0

/**
 * Guards against new requests for servers that are drained, leaving or full during a cold start, and against requests
 * that are lost when a server or VM stops.
 */
class PlacesTest : FunSpec({
    fun SessionRecord.finish(load: BackgroundLoad) {
        load.close()
        val answers = load.pending.map { it.request to add(it.request, it.await()) }
        val wrong = answers.filter { (request, answer) -> !answer.isCorrectFor(request) }
        withClue(wrong.groupingBy { it.second.toString() }.eachCount()) { wrong.size shouldBe 0 }
        note("requests that were not answered right and whole: 0")
    }

    /** Waits until [engine] has accepted nothing for 1 s, which must begin within [IN_FORCE_MILLIS]. */
    fun awaitNoNewWork(engine: ModelEngine) {
        var last = engine.accepted
        var since = System.nanoTime()
        await("no new work for the engine", IN_FORCE_MILLIS + 1_000) {
            if (engine.accepted != last) {
                last = engine.accepted
                since = System.nanoTime()
            }
            System.nanoTime() - since > 1_000_000_000
        }
    }

    test("engines that restart cold get no more than their cold limit, and no request is lost") {
        val engine = fastEngine.copy(coldMillis = 3_000, coldInFlight = 3)
        session("cold-start", FleetOptions(engines = List(3) { engine })) { fleet ->
            fleet.awaitServing("stove", "lamp")
            val load = BackgroundLoad(fleet, fleet.vms)
            repeat(4) { turn ->
                Thread.sleep(1_500)
                fleet.engines[turn % 3].control(EngineControl(restart = true))
            }
            Thread.sleep(3_500)
            val maximumInFlight = fleet.engines.maxOf { it.runs().counters["in_flight_while_cold"] ?: 0 }
            maximumInFlight shouldBeLessThanOrEqualTo 3
            fleet.counterTotal("fallen_over_cold") shouldBe 0
            note("most requests in flight on a cold engine: at most the cold limit; fallen over: 0")
            finish(load)
        }
    }

    test("a drained failure domain and a leaving backend server get no new requests under load") {
        session("drain-and-leave") { fleet ->
            fleet.awaitServing("stove", "lamp")
            val load = BackgroundLoad(fleet, fleet.vms)
            val (east, west) = fleet.engines
            fleet.vms[1].apply(SetDomainState(DomainId("east"), DomainState.DRAINED))
            awaitNoNewWork(east)
            note("new work in the drained domain after 4 s: 0")
            fleet.vms[1].apply(SetDomainState(DomainId("east"), DomainState.SERVING))
            val before = east.accepted
            await("the domain gets work again", TAKEOVER_TIMEOUT_MILLIS) { east.accepted > before }
            note("work in the returned domain: true")
            west.control(EngineControl(leaving = true))
            awaitNoNewWork(west)
            note("new work on the leaving server after 4 s: 0")
            finish(load)
        }
    }

    test("a planned stop of a VM completes its open streams") {
        session("planned-stop", FleetOptions(vms = 3)) { fleet ->
            fleet.awaitServing("stove", "lamp")
            val load = BackgroundLoad(fleet, fleet.vms.drop(1))
            val stopped = fleet.vms[0]
            val streams = List(8) { fleet.caller.start(stopped, CallerRequest("stove", "stop $it", tokens = 400)) }
            await("all streams run", 5_000) { streams.all { it.chunks.get() > 0 } }
            stopped.terminate()
            await("the load balancer sees the VM as not ready", IN_FORCE_MILLIS) { !stopped.isReady }
            val broken = streams.map { it.request to it.await() }
                .filterNot { (request, answer) -> answer.isCorrectFor(request) }
            withClue(broken.map { it.second.toString() }) { broken.size shouldBe 0 }
            note("streams of the stopping VM that were whole: 8 of 8")
            stopped.hasExited(TAKEOVER_TIMEOUT_MILLIS) shouldBe true
            note("the process has exited")
            finish(load)
        }
    }

    test("a request that crashes engines is quarantined, also when it is retried through another VM") {
        val engine = fastEngine.copy(downMillis = 200)
        session("crashing-request", FleetOptions(engines = List(4) { engine })) { fleet ->
            fleet.awaitServing("stove")
            val crash = CallerRequest("stove", "[crash-engine] now", tokens = 20)
            val answers = List(4) { fleet.caller.send(fleet.vms[it % 2], crash) }
            fleet.counterTotal("crashes") shouldBeLessThanOrEqualTo 2
            note("engines crashed by one request that was sent four times: at most 2")
            note("last answer: ${answers.last()}")
            await("other requests are served", TAKEOVER_TIMEOUT_MILLIS) {
                val request = CallerRequest("stove", "after ${System.nanoTime()}")
                add(request, fleet.caller.send(fleet.vms[0], request)).isCorrectFor(request)
            }
        }
    }

    test("a slow platform with a stale VM list delays neither requests nor a withdrawal beyond the bound") {
        session("slow-platform", FleetOptions(vms = 3)) { fleet ->
            fleet.awaitServing("stove", "lamp")
            fleet.awaitBookings()
            val load = BackgroundLoad(fleet, fleet.vms)
            fleet.platform.control(
                PlatformControl(delayMillis = 400, listLagMillis = 10_000, staleReadsMillis = 1_000),
            )
            val deposits = List(8) { "deposit-$it" }
            note(
                "deposits",
                deposits.mapIndexed { turn, reference ->
                    Thread.sleep(500)
                    val vm = fleet.vms[turn % 3]
                    add(reference, fleet.caller.callService(vm, "bookings/deposits", "key-$reference", reference))
                },
            )
            note("runs of each deposit", deposits.map { fleet.runCount(it) })
            fleet.vms[1].apply(WithdrawKey(KeyId("parts-1")))
            awaitRejected(fleet, PARTS_KEY)
            fleet.awaitInForce(2)
            note("a withdrawal is in force within 4 s: true")
            finish(load)
        }
    }

    test("servers that leave by the VM list or by their report get no new requests until they return") {
        val routes = List(8) { "route-$it" }
        val options = FleetOptions(engines = List(3) { fastEngine }, adapters = routes.associateWith { "base" })
        session("leaving-servers", options) { fleet ->
            fleet.awaitServing(*routes.toTypedArray())
            fleet.awaitBookings()
            val load = BackgroundLoad(fleet, fleet.vms, routes)
            val (listed, reporting) = fleet.engines
            fun setListed(server: String, port: Int, state: ListedVmState) =
                fleet.platform.register(ListedVm(server, "127.0.0.1:$port", "east", ListedVmKind.BACKEND, state))

            fun awaitNewWork(engine: ModelEngine) = engine.accepted.let { before ->
                await("the engine gets work", TAKEOVER_TIMEOUT_MILLIS) { engine.accepted > before }
            }
            listOf(listed, reporting).forEach(::awaitNewWork)
            setListed("engine-1", listed.port, ListedVmState.LEAVING)
            setListed("bookings-1", fleet.service.port, ListedVmState.LEAVING)
            reporting.control(EngineControl(leaving = true))
            Thread.sleep(IN_FORCE_MILLIS)
            val before = listOf(listed, reporting).map { it.accepted }
            val calls = fleet.vms.map { vm ->
                add("leaving", fleet.caller.callService(vm, "bookings/deposits", "leaving", "leaving"))
            }
            note("calls to a plain service that the list shows as leaving", calls)
            Thread.sleep(2_000)
            listOf(listed, reporting).map { it.accepted } shouldBe before
            note("new work on leaving engines after 4 s: 0")
            setListed("engine-1", listed.port, ListedVmState.LIVE)
            reporting.control(EngineControl(leaving = false))
            listOf(listed, reporting).forEach(::awaitNewWork)
            note("work once they stay: true")
            finish(load)
        }
    }
})
