package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer

private class Fixture(operator: OperatorState, servers: List<RegisteredServer>, vararg engines: EngineRecord) {
    val health = ServerHealth()
    val selection = ServerSelection(vm(1), EAST, health, ColdStartLimit(vm(1)))

    init {
        selection.operatorChanged(operator, 0)
        selection.serversChanged(servers.associateBy { it.id }, 0)
        selection.membersChanged(mapOf(vm(1) to member(*engines)), emptySet(), 0)
    }

    fun choose(
        adapter: AdapterName? = null,
        excluded: Set<String> = emptySet(),
        now: Long = 0,
        service: String = MODELS,
    ): ServerChoice {
        val model = if (service == MODELS) "base" else null
        return selection.choose(
            ServerRequirements(service, model, adapter, excluded.mapTo(HashSet()) { ServerId(it) }),
            now,
        )
    }
}

private fun ServerChoice.sentTo(): String = shouldBeInstanceOf<ServerChoice.Send>().server.id.text

/** Guards against requests to servers that must not get any, unnecessary adapter loads, and uneven load. */
class ServerSelectionTest : FunSpec({
    test("servers that are drained, leaving, excluded or of another service get no requests") {
        val servers = listOf(
            server("drained", domain = WEST),
            server("leaving", isDraining = true),
            server("other", service = DESK),
            server("excluded"),
            server("open"),
        )
        val fixture = Fixture(operator(drained = setOf(WEST)), servers, engine("excluded"), engine("open"))
        repeat(20) { fixture.choose(excluded = setOf("excluded")).sentTo() shouldBe "open" }
        fixture.choose(excluded = setOf("excluded", "open")).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    // Guards against a large fleet that fills an engine with few batch slots before its load shows in a member record.
    test("a batch slot is reserved if there are at least as many VMs as slots, and the controller is reachable") {
        val servers = listOf(server("e1"), server("e2"))
        fun fleet(size: Int) = (1..size).associate { vm(it) to if (it == 1) member(engine("e1", "a1@1")) else member() }
        val fixture = Fixture(operator(), servers)
        fixture.selection.membersChanged(fleet(7), emptySet(), 0)
        fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe null
        fixture.selection.membersChanged(fleet(8), emptySet(), 0)
        fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe vm(1)
        fixture.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().needsReservation shouldBe true
        fixture.selection.memberUnreachable(vm(1), 0)
        fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe null
    }

    test("while the controller of the preferred engine is unreachable, another engine loads the adapter") {
        val servers = listOf(server("e1"), server("e2"))
        val members = mapOf(vm(2) to member(engine("e1")), vm(3) to member(engine("e2")))
        val fixture = Fixture(operator(), servers)
        fixture.selection.membersChanged(members, emptySet(), 0)
        val preferred = fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        fixture.selection.memberUnreachable(preferred.controller, 0)
        val other = fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        other.controller shouldBe (members.keys - preferred.controller).single()
        fixture.choose(adapter(1), now = 2_000).shouldBeInstanceOf<ServerChoice.Load>() shouldBe preferred

        fixture.selection.membersChanged(members, setOf(preferred.controller), 2_000)
        fixture.choose(adapter(1), now = 2_000) shouldBe other
        fixture.selection.memberUnreachable(other.controller, 2_000)
        fixture.choose(adapter(1), now = 2_000).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    test("a request goes to an engine that holds the announced version of its adapter") {
        val versions = mapOf(adapter(2) to 2L)
        val fixture = Fixture(
            operator(versions = versions),
            listOf(server("e1"), server("e2")),
            engine("e1", "a1@1", "a2@1"),
            engine("e2"),
        )
        fixture.choose(adapter(1)).sentTo() shouldBe "e1"
        fixture.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().version shouldBe 2
    }

    test("an engine without a controller serves its registered adapters, and other engines load the rest") {
        val registered = server("e1").copy(adapters = mapOf(adapter(1) to 1L))
        val fixture = Fixture(operator(), listOf(registered, server("e2")), engine("e2"))
        fixture.choose(adapter(1)).sentTo() shouldBe "e1"
        fixture.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().server.id.text shouldBe "e2"
        val alone = Fixture(operator(), listOf(registered))
        alone.choose(adapter(1)).sentTo() shouldBe "e1"
        alone.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    test("an adapter that no engine holds is always loaded on the same engine, and adapters spread over the engines") {
        val servers = List(6) { server("e$it") }
        val engines = List(6) { engine("e$it") }.toTypedArray()
        val preferredServers = List(100) { number ->
            val fixture = Fixture(operator(), servers, *engines)
            val preferred = fixture.choose(adapter(number)).shouldBeInstanceOf<ServerChoice.Load>()
            Fixture(operator(), servers.reversed(), *engines).choose(adapter(number)) shouldBe preferred
            preferred.server.id
        }
        preferredServers.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqual 34
    }

    test("when the engine with an adapter is busy, a second one loads it, and then both serve it") {
        val servers = List(3) { server("e$it") }
        val busy = Fixture(operator(), servers, engine("e0", "a1@1", running = 7), engine("e1"), engine("e2"))
        val load = busy.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        (load.server.id.text == "e0") shouldBe false
        val first = engine("e0", "a1@1", running = 3)
        val second = engine("e1", "a1@1", running = 1)
        val both = Fixture(operator(), servers, first, second, engine("e2"))
        both.choose(adapter(1)).sentTo() shouldBe "e1"
    }

    test("requests avoid an engine that is still processing a long prompt of this VM") {
        val fixture =
            Fixture(operator(), listOf(server("e1"), server("e2")), engine("e1", "a1@1"), engine("e2", "a1@1"))
        fixture.health.started(ServerId("e1"), overdueAt = 10_000, work = 30.0)
        repeat(5) {
            val server = fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().server.id
            fixture.health.started(server, 10_000, work = 1.0)
            server.text shouldBe "e2"
        }
    }

    test("an engine that did not hold the adapter gets no requests for it until its state is newer") {
        val fixture = Fixture(operator(), listOf(server("e1")), engine("e1", "a1@1"))
        fixture.selection.recordAdapter(adapter(1), ServerId("e1"), null, 0)
        fixture.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        fixture.choose(adapter(1), now = 3_000).sentTo() shouldBe "e1"
    }

    test("a failing server of a plain service is used only when there is no other") {
        val fixture = Fixture(operator(), List(3) { server("d$it", service = DESK) })
        fixture.health.ended(ServerId("d0"), fixture.health.started(ServerId("d0"), 100), ServerOutcome.LOST, 0)
        repeat(20) { (fixture.choose(service = DESK).sentTo() == "d0") shouldBe false }
        fixture.choose(service = DESK, excluded = setOf("d1", "d2")).sentTo() shouldBe "d0"
    }

    test("a cold server gets requests only within its rate, and a warm one takes the rest") {
        val servers = listOf(server("cold", coldMillis = 3_000), server("warm"))
        val fixture = Fixture(operator(), servers, engine("cold"), engine("warm"))
        val used = List(100) { fixture.choose(now = it * 10L).sentTo() }.groupingBy { it }.eachCount()
        (used["cold"] ?: 0) shouldBeLessThanOrEqual 30
    }
})
