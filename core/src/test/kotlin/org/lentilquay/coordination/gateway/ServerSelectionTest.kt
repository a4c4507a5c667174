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

private class World(operator: OperatorState, servers: List<RegisteredServer>, vararg engines: EngineRecord) {
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

/** Guards against work for servers that must not have it, and against needless loads and uneven load. */
class ServerSelectionTest : FunSpec({
    test("drained domains, leaving servers, other services and excluded servers get nothing") {
        val servers = listOf(
            server("drained", domain = WEST),
            server("leaving", isDraining = true),
            server("other", service = DESK),
            server("excluded"),
            server("open"),
        )
        val world = World(operator(drained = setOf(WEST)), servers, engine("excluded"), engine("open"))
        repeat(20) { world.choose(excluded = setOf("excluded")).sentTo() shouldBe "open" }
        world.choose(excluded = setOf("excluded", "open")).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    // Pattern: a fleet of many VMs fills an engine of few places before its next report.
    test("a place is claimed where the fleet has as many VMs as the engine places, and its controller answers") {
        val servers = listOf(server("e1"), server("e2"))
        fun fleet(size: Int) = (1..size).associate { vm(it) to if (it == 1) member(engine("e1", "a1@1")) else member() }
        val world = World(operator(), servers)
        world.selection.membersChanged(fleet(7), emptySet(), 0)
        world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe null
        world.selection.membersChanged(fleet(8), emptySet(), 0)
        world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe vm(1)
        world.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().needsReservation shouldBe true
        world.selection.memberUnreachable(vm(1), 0)
        world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().reservationController shouldBe null
    }

    test("a load is asked of a VM that answers, while the controller of the first choice does not") {
        val servers = listOf(server("e1"), server("e2"))
        val members = mapOf(vm(2) to member(engine("e1")), vm(3) to member(engine("e2")))
        val world = World(operator(), servers)
        world.selection.membersChanged(members, emptySet(), 0)
        val home = world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        world.selection.memberUnreachable(home.controller, 0)
        val other = world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        other.controller shouldBe (members.keys - home.controller).single()
        world.choose(adapter(1), now = 2_000).shouldBeInstanceOf<ServerChoice.Load>() shouldBe home

        world.selection.membersChanged(members, setOf(home.controller), 2_000)
        world.choose(adapter(1), now = 2_000) shouldBe other
        world.selection.memberUnreachable(other.controller, 2_000)
        world.choose(adapter(1), now = 2_000).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    test("a request goes to the engine that holds its adapter, in the announced version") {
        val versions = mapOf(adapter(2) to 2L)
        val world = World(
            operator(versions = versions),
            listOf(server("e1"), server("e2")),
            engine("e1", "a1@1", "a2@1"),
            engine("e2"),
        )
        world.choose(adapter(1)).sentTo() shouldBe "e1"
        world.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().version shouldBe 2
    }

    test("lost controllers: an engine without one serves the adapters that it registered, and others elsewhere") {
        val registered = server("e1").copy(adapters = mapOf(adapter(1) to 1L))
        val world = World(operator(), listOf(registered, server("e2")), engine("e2"))
        world.choose(adapter(1)).sentTo() shouldBe "e1"
        world.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Load>().server.id.text shouldBe "e2"
        val alone = World(operator(), listOf(registered))
        alone.choose(adapter(1)).sentTo() shouldBe "e1"
        alone.choose(adapter(2)).shouldBeInstanceOf<ServerChoice.Unavailable>()
    }

    test("an adapter that is nowhere is loaded on the same engine each time") {
        val servers = List(6) { server("e$it") }
        val engines = List(6) { engine("e$it") }.toTypedArray()
        val homes = List(100) { number ->
            val world = World(operator(), servers, *engines)
            val home = world.choose(adapter(number)).shouldBeInstanceOf<ServerChoice.Load>()
            World(operator(), servers.reversed(), *engines).choose(adapter(number)) shouldBe home
            home.server.id
        }
        homes.groupingBy { it }.eachCount().values.max() shouldBeLessThanOrEqual 34
    }

    test("hot adapter: a second engine loads it when the holder is busy, and both are used then") {
        val servers = List(3) { server("e$it") }
        val busy = World(operator(), servers, engine("e0", "a1@1", running = 7), engine("e1"), engine("e2"))
        val load = busy.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        (load.server.id.text == "e0") shouldBe false
        val first = engine("e0", "a1@1", running = 3)
        val second = engine("e1", "a1@1", running = 1)
        val both = World(operator(), servers, first, second, engine("e2"))
        both.choose(adapter(1)).sentTo() shouldBe "e1"
    }

    test("long prompts: requests of this VM avoid the engine that still reads one") {
        val world = World(operator(), listOf(server("e1"), server("e2")), engine("e1", "a1@1"), engine("e2", "a1@1"))
        world.health.started(ServerId("e1"), overdueAt = 10_000, work = 30.0)
        repeat(5) {
            val server = world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Send>().server.id
            world.health.started(server, 10_000, work = 1.0)
            server.text shouldBe "e2"
        }
    }

    test("a server that said that it lacks the adapter is not used for it until newer reports") {
        val world = World(operator(), listOf(server("e1")), engine("e1", "a1@1"))
        world.selection.recordAdapter(adapter(1), ServerId("e1"), null, 0)
        world.choose(adapter(1)).shouldBeInstanceOf<ServerChoice.Load>()
        world.choose(adapter(1), now = 3_000).sentTo() shouldBe "e1"
    }

    test("plain services: failing servers are avoided while there are others") {
        val world = World(operator(), List(3) { server("d$it", service = DESK) })
        world.health.ended(ServerId("d0"), world.health.started(ServerId("d0"), 100), ServerOutcome.LOST, 0)
        repeat(20) { (world.choose(service = DESK).sentTo() == "d0") shouldBe false }
        world.choose(service = DESK, excluded = setOf("d1", "d2")).sentTo() shouldBe "d0"
    }

    test("cold servers get no more than their part, and warm ones take the rest") {
        val servers = listOf(server("cold", coldMillis = 3_000), server("warm"))
        val world = World(operator(), servers, engine("cold"), engine("warm"))
        val used = List(100) { world.choose(now = it * 10L).sentTo() }.groupingBy { it }.eachCount()
        (used["cold"] ?: 0) shouldBeLessThanOrEqual 30
    }
})
