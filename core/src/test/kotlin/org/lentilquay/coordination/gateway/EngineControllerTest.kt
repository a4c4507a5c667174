package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.gateway.AdapterName
import kotlin.random.Random

private fun report(
    accepted: Long,
    vararg adapters: Pair<AdapterName, Long>,
    startedAt: Long = 1,
    models: Set<String> = setOf("base"),
    coming: Set<AdapterName> = emptySet(),
) = EngineReport(startedAt, accepted, false, models, adapters.toMap(), coming, 0, 0)

private fun controller(vararg adapters: Pair<AdapterName, Long>, slots: Int = 2) =
    EngineController(profile(slots)).apply { applyReport(report(0, *adapters), 0, 0) }

private fun EngineController.carryOut(outcome: OrderOutcome, now: Long): EngineOrder? =
    nextOrder(now)?.also { orderEnded(it, outcome, now) }

/** Guards against loads beyond the adapter slots, unloads of adapters in use, and requests that wait without end. */
class EngineControllerTest : FunSpec({
    test("no order is sent before the first report") {
        val controller = EngineController(profile())
        controller.requestAdapter(adapter(1), 0, 0) shouldBe AdapterAvailability.Waiting
        controller.nextOrder(0) shouldBe null
    }

    test("a requested adapter is loaded, and ready after the load time") {
        val controller = controller()
        controller.requestAdapter(adapter(1), 0, 10) shouldBe AdapterAvailability.Waiting
        controller.carryOut(OrderOutcome.ACCEPTED, 10) shouldBe EngineOrder.LoadAdapter(adapter(1))
        val readyAt = controller.requestAdapter(adapter(1), 0, 11)
            .shouldBeInstanceOf<AdapterAvailability.Loading>().readyAt
        controller.requestAdapter(adapter(1), 0, readyAt) shouldBe AdapterAvailability.Ready(1)
        controller.expectedOrders shouldBe 1
    }

    test("an empty engine loads its base model before any adapter") {
        val controller = EngineController(profile()).apply { applyReport(report(0, models = emptySet()), 0, 0) }
        controller.requestAdapter(adapter(1), 0, 0)
        controller.nextOrder(0) shouldBe null
        controller.assignModel("base")
        controller.nextOrder(0) shouldBe EngineOrder.LoadModel("base")
    }

    test("the least recently used adapter is evicted") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.useEnded("r1", adapter(1), 5_000)
        controller.useEnded("r2", adapter(2), 5_100)
        controller.requestAdapter(adapter(3), 0, 6_000)
        controller.nextOrder(6_000) shouldBe EngineOrder.UnloadAdapter(adapter(1))
    }

    test("when requests use every adapter, three adapters wait for a slot and further ones are refused") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.useStarted("r1", adapter(1), until = 20_000, now = 0)
        controller.useStarted("r2", adapter(2), until = 20_000, now = 0)
        (3..6).map { controller.requestAdapter(adapter(it), 0, 6_000) } shouldBe
            List(3) { AdapterAvailability.Waiting } + AdapterAvailability.Full
        controller.nextOrder(6_000) shouldBe null
        controller.useEnded("r2", adapter(2), 6_000)
        controller.requestAdapter(adapter(7), 0, 7_000) shouldBe AdapterAvailability.Waiting
        controller.nextOrder(7_000) shouldBe EngineOrder.UnloadAdapter(adapter(2))
    }

    // Guards against an overfull batch when many VMs send requests for an adapter between two reports of its engine.
    test("batch slots are granted up to the batch size, and again when requests have ended") {
        val controller = controller(adapter(1) to 1)
        fun reserve(number: Int, now: Long, mayQueue: Boolean = false) =
            controller.reserve("r$number", adapter(1), until = 20_000, now, mayQueue)
        (1..9).map { reserve(it, 1_000) } shouldBe List(8) { ReservationResult.GRANTED } + ReservationResult.BATCH_FULL
        controller.requestAdapter(adapter(1), 0, 1_000, mayQueue = false) shouldBe AdapterAvailability.Full
        (10..14).map { reserve(it, 1_000, mayQueue = true) } shouldBe
            List(4) { ReservationResult.GRANTED } + ReservationResult.BATCH_FULL
        (1..5).forEach { controller.useEnded("r$it", adapter(1), 1_100) }
        reserve(15, 1_100) shouldBe ReservationResult.GRANTED
        reserve(16, 1_100) shouldBe ReservationResult.BATCH_FULL
    }

    test("requests of a crashed VM count until a report shows that they have ended") {
        val controller = controller(adapter(1) to 1)
        repeat(8) { controller.reserve("r$it", adapter(1), until = 20_000, now = 1_000, mayQueue = false) }
        controller.reserve("new", adapter(1), until = 20_000, now = 1_200, mayQueue = false) shouldBe
            ReservationResult.BATCH_FULL
        controller.applyReport(report(0, adapter(1) to 1), requestedAt = 1_500, now = 1_500)
        controller.reserve("new", adapter(1), until = 20_000, now = 1_500, mayQueue = false) shouldBe
            ReservationResult.GRANTED
    }

    test("a new controller counts the requests that the engine reports") {
        val report = report(0, adapter(1) to 1).copy(running = 7, queued = 1)
        val controller = EngineController(profile()).apply { applyReport(report, 0, 0) }
        controller.reserve("r1", adapter(1), until = 20_000, now = 1_000, mayQueue = false) shouldBe
            ReservationResult.BATCH_FULL
    }

    test("no batch slot is granted for an adapter that is not loaded or is being unloaded") {
        val engine = controller(adapter(1) to 1, adapter(2) to 1)
        engine.reserve("r1", adapter(3), until = 20_000, now = 1_000, mayQueue = false) shouldBe
            ReservationResult.NOT_HELD
        engine.requestAdapter(adapter(3), 0, 1_000)
        val unloaded = engine.carryOut(OrderOutcome.ACCEPTED, 1_000).shouldBeInstanceOf<EngineOrder.UnloadAdapter>()
        engine.reserve("r2", unloaded.adapter, until = 20_000, now = 1_000, mayQueue = false) shouldBe
            ReservationResult.NOT_HELD
    }

    test("an adapter can be evicted as soon as its last request has ended") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.useStarted("r1", adapter(1), until = 20_000, now = 0)
        controller.useStarted("r2", adapter(2), until = 20_000, now = 0)
        controller.requestAdapter(adapter(3), 0, 6_000)
        controller.nextOrder(6_000) shouldBe null
        controller.useEnded("r1", adapter(1), 6_010)
        controller.nextOrder(6_010) shouldBe EngineOrder.UnloadAdapter(adapter(1))
    }

    test("a request that waited 400 ms for an adapter slot is refused") {
        val controller = controller(adapter(1) to 1, slots = 1)
        controller.useStarted("r1", adapter(1), until = 20_000, now = 0)
        (6_000L..6_400 step 100).map { controller.requestAdapter(adapter(2), 0, it) } shouldBe
            List(5) { AdapterAvailability.Waiting }
        controller.requestAdapter(adapter(2), 0, 6_401) shouldBe AdapterAvailability.Full
        controller.requestAdapter(adapter(2), 0, 6_402) shouldBe AdapterAvailability.Waiting
    }

    test("an adapter that became ready is not evicted for 300 ms") {
        val controller = controller(slots = 1)
        controller.requestAdapter(adapter(1), 0, 10)
        controller.carryOut(OrderOutcome.ACCEPTED, 10)
        val readyAt = controller.requestAdapter(adapter(1), 0, 11)
            .shouldBeInstanceOf<AdapterAvailability.Loading>().readyAt
        controller.requestAdapter(adapter(2), 0, readyAt + 299)
        controller.nextOrder(readyAt + 299) shouldBe null
        controller.requestAdapter(adapter(2), 0, readyAt + 300)
        controller.nextOrder(readyAt + 300) shouldBe EngineOrder.UnloadAdapter(adapter(1))
    }

    test("a request that must not queue is refused at once when requests use every adapter") {
        val controller = controller(adapter(1) to 1, slots = 1)
        controller.useStarted("r1", adapter(1), until = 20_000, now = 0)
        controller.requestAdapter(adapter(2), 0, 6_000, mayQueue = false) shouldBe AdapterAvailability.Full
        controller.requestAdapter(adapter(2), 0, 6_000) shouldBe AdapterAvailability.Waiting
        controller(slots = 1).requestAdapter(adapter(2), 0, 6_000, mayQueue = false) shouldBe
            AdapterAvailability.Waiting
    }

    test("an adapter whose load is late is loading again, and later loads are expected to take longer") {
        val controller = controller(slots = 8)
        controller.requestAdapter(adapter(1), 0, 0)
        controller.carryOut(OrderOutcome.ACCEPTED, 0)
        controller.requestAdapter(adapter(1), 0, 270) shouldBe AdapterAvailability.Ready(1)
        controller.adapterMissing(adapter(1), 275)
        controller.adapterMissing(adapter(1), 276)
        controller.requestAdapter(adapter(1), 0, 277) shouldBe AdapterAvailability.Loading(375)
        controller.requestAdapter(adapter(2), 0, 400)
        controller.carryOut(OrderOutcome.ACCEPTED, 400)
        controller.requestAdapter(adapter(2), 0, 401) shouldBe AdapterAvailability.Loading(400 + 324)
    }

    test("an adapter that the engine lost is loaded again after a report shows the loss") {
        val controller = controller(adapter(1) to 1)
        controller.requestAdapter(adapter(1), 0, 500) shouldBe AdapterAvailability.Ready(1)
        controller.adapterMissing(adapter(1), 510)
        controller.needsReport shouldBe true
        controller.applyReport(report(0), 520, 530)
        controller.requestAdapter(adapter(1), 0, 531) shouldBe AdapterAvailability.Waiting
    }

    test("a use without a reported end expires") {
        val controller = controller(adapter(1) to 1, slots = 1)
        controller.useStarted("r1", adapter(1), until = 9_000, now = 0)
        controller.requestAdapter(adapter(2), 0, 9_000)
        controller.nextOrder(9_000) shouldBe null
        controller.nextOrder(9_001) shouldBe EngineOrder.UnloadAdapter(adapter(1))
    }

    test("load demand for more than six adapters is refused at once") {
        val controller = controller(slots = 16)
        val answers = (1..12).map { controller.requestAdapter(adapter(it), 0, 0) }
        answers.count { it == AdapterAvailability.Waiting } shouldBe 6
        answers.count { it == AdapterAvailability.Full } shouldBe 6
    }

    test("an announced version replaces the loaded one without a request") {
        val controller = controller(adapter(1) to 1)
        controller.versionAnnounced(adapter(1), 2)
        controller.nextOrder(0) shouldBe EngineOrder.LoadAdapter(adapter(1))
        controller.requestAdapter(adapter(1), 2, 0) shouldBe AdapterAvailability.Waiting
    }

    test("a load with an unknown outcome occupies an adapter slot until another order is accepted") {
        val controller = controller(adapter(1) to 1, slots = 2)
        controller.useStarted("r1", adapter(1), until = 10_900, now = 0)
        controller.requestAdapter(adapter(2), 0, 10_000)
        controller.carryOut(OrderOutcome.UNKNOWN, 10_000)
        controller.cancelAdapterRequest(adapter(2))
        controller.requestAdapter(adapter(3), 0, 10_400)
        controller.nextOrder(10_400) shouldBe null
        controller.requestAdapter(adapter(3), 0, 11_000)
        controller.carryOut(OrderOutcome.ALREADY_DONE, 11_000) shouldBe EngineOrder.UnloadAdapter(adapter(1))
        controller.nextOrder(11_000) shouldBe EngineOrder.LoadAdapter(adapter(3))
    }

    test("after a refused unload another adapter is unloaded") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.requestAdapter(adapter(3), 0, 5_000)
        val first = controller.carryOut(OrderOutcome.CONFLICT, 5_000)
        val second = controller.nextOrder(5_000)
        first.shouldBeInstanceOf<EngineOrder.UnloadAdapter>()
        second.shouldBeInstanceOf<EngineOrder.UnloadAdapter>()
        (first == second) shouldBe false
    }

    test("after a conflict no order is sent before a new report") {
        val controller = controller()
        controller.requestAdapter(adapter(1), 0, 1_000)
        controller.carryOut(OrderOutcome.CONFLICT, 1_000)
        controller.nextOrder(1_300) shouldBe null
        controller.applyReport(report(7), 1_100, 1_110)
        controller.expectedOrders shouldBe null
        controller.applyReport(report(7), 1_300, 1_310)
        controller.expectedOrders shouldBe 7
    }

    test("a restarted engine holds no adapters and no base model") {
        val controller = controller(adapter(1) to 1)
        controller.applyReport(report(0, startedAt = 2, models = emptySet()), 100, 110)
        controller.readyAdapters(200) shouldBe emptyMap()
        controller.hasModel shouldBe false
    }

    test("a replacement is ready only when a report shows the newer version") {
        val controller = controller(adapter(1) to 1, slots = 3)
        controller.useStarted("r1", adapter(1), until = 60_000, now = 0)
        controller.requestAdapter(adapter(1), 2, 1_000) shouldBe AdapterAvailability.Waiting
        controller.carryOut(OrderOutcome.ACCEPTED, 1_000) shouldBe EngineOrder.LoadAdapter(adapter(1))
        controller.needsReport shouldBe true
        controller.requestAdapter(adapter(1), 2, 2_000, mayQueue = false) shouldBe AdapterAvailability.Full
        controller.requestAdapter(adapter(1), 2, 2_000).shouldBeInstanceOf<AdapterAvailability.Loading>()
        controller.applyReport(report(1, adapter(1) to 1), 2_000, 2_010)
        controller.readyAdapters(2_010) shouldBe emptyMap()
        // Meanwhile other adapters are loaded, and the requests of the older version still count.
        listOf(2, 3).forEach { controller.requestAdapter(adapter(it), 0, 2_020) }
        repeat(2) { controller.carryOut(OrderOutcome.ACCEPTED, 2_020).shouldBeInstanceOf<EngineOrder.LoadAdapter>() }
        controller.applyReport(report(3, adapter(1) to 2, adapter(2) to 1, adapter(3) to 1), 3_000, 3_010)
        controller.requestAdapter(adapter(1), 2, 3_010) shouldBe AdapterAvailability.Ready(2)
        controller.needsReport shouldBe false
        controller.requestAdapter(adapter(4), 0, 3_400)
        controller.nextOrder(3_400).shouldBeInstanceOf<EngineOrder.UnloadAdapter>().adapter shouldNotBe adapter(1)
    }

    test("an adapter that the engine reported missing occupies its slot until a report confirms the loss") {
        val controller = controller(adapter(1) to 1, slots = 1)
        controller.adapterMissing(adapter(1), 10_000)
        controller.needsReport shouldBe true
        controller.requestAdapter(adapter(2), 0, 10_000)
        controller.nextOrder(10_000) shouldBe EngineOrder.UnloadAdapter(adapter(1))
    }

    test("an unload with an unknown outcome is repeated, and the adapter stays if another order is accepted") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.useEnded("r1", adapter(1), 1_000)
        controller.useEnded("r2", adapter(2), 1_100)
        controller.requestAdapter(adapter(3), 0, 2_000)
        controller.carryOut(OrderOutcome.UNKNOWN, 2_000) shouldBe EngineOrder.UnloadAdapter(adapter(1))
        controller.requestAdapter(adapter(3), 0, 2_100)
        controller.carryOut(OrderOutcome.UNKNOWN, 2_100) shouldBe EngineOrder.UnloadAdapter(adapter(1))
        controller.readyAdapters(2_150).keys shouldBe setOf(adapter(2))
        controller.versionAnnounced(adapter(2), 2)
        controller.carryOut(OrderOutcome.ACCEPTED, 2_200) shouldBe EngineOrder.LoadAdapter(adapter(2))
        controller.readyAdapters(2_250).keys shouldBe setOf(adapter(1))
    }

    test("a report during an order is applied only if it shows the same number of accepted orders") {
        val controller = controller(adapter(1) to 1, adapter(2) to 1)
        controller.requestAdapter(adapter(3), 0, 2_000)
        controller.nextOrder(2_000)
        controller.applyReport(report(0, adapter(2) to 1), 2_010, 2_020)
        controller.readyAdapters(2_020).keys shouldBe setOf(adapter(2))
        controller.applyReport(report(1, adapter(1) to 1), 2_030, 2_040)
        controller.expectedOrders shouldBe 0
    }

    test("all adapter slots are usable after some seconds of lost answers") {
        repeat(200) { seed ->
            val random = Random(seed)
            val engine = EngineModel(slots = 3)
            val controller = EngineController(profile(3)).apply { applyReport(engine.report(), 0, 0) }
            fun step(now: Long, lost: Int) {
                controller.nextOrder(now)?.let { order ->
                    controller.orderEnded(
                        order,
                        engine.receive(order, controller.expectedOrders, now, random, lost),
                        now,
                    )
                }
                engine.advance(now)
                if (now % 150 == 0L) controller.applyReport(engine.report(), now, now)
            }
            for (now in 0L..10_000L step 50) {
                controller.requestAdapter(adapter(random.nextInt(12)), 0, now)
                step(now, lost = 2)
            }
            for (now in 10_050L..24_000L step 50) step(now, lost = Int.MAX_VALUE)
            for (now in 24_050L..26_000L step 50) {
                (20..22).forEach { controller.requestAdapter(adapter(it), 0, now) }
                step(now, lost = Int.MAX_VALUE)
            }
            controller.readyAdapters(26_000).keys shouldBe (20..22).map { adapter(it) }.toSet()
        }
    }

    test("with random demand, versions and outcomes, an engine never holds more adapters than slots") {
        repeat(300) { seed ->
            val random = Random(seed)
            val engine = EngineModel(slots = 3)
            val controller = EngineController(profile(3)).apply { applyReport(engine.report(), 0, 0) }
            for (now in 0L..20_000L step 50) {
                val wanted = adapter(random.nextInt(12))
                if (random.nextInt(3) == 0) controller.requestAdapter(wanted, engine.newest(wanted), now)
                if (random.nextInt(40) == 0) engine.announce(wanted)
                if (random.nextInt(40) == 0) controller.versionAnnounced(wanted, engine.newest(wanted))
                // Requests are also refused for other reasons, such as an older version.
                if (random.nextInt(10) == 0) controller.adapterMissing(wanted, now)
                controller.nextOrder(now)?.let { order ->
                    controller.orderEnded(order, engine.receive(order, controller.expectedOrders, now, random), now)
                }
                engine.advance(now)
                if (now % 500 == 0L) controller.applyReport(engine.report(), now, now)
                engine.held.size shouldBeLessThanOrEqual 3
            }
        }
    }
})

/**
 * A model of an engine that loses some answers and carries out some of these orders late, if the number of accepted
 * orders still matches. A newer version replaces the loaded one some time after the order.
 */
private class EngineModel(private val slots: Int) {
    val held = LinkedHashMap<AdapterName, Long>()
    private var accepted = 0L
    private val late = mutableListOf<Triple<Long, EngineOrder, Long>>()
    private val announced = HashMap<AdapterName, Long>()
    private val replaced = HashMap<AdapterName, Long>()

    fun newest(adapter: AdapterName): Long = announced[adapter] ?: 1

    fun announce(adapter: AdapterName) {
        announced[adapter] = newest(adapter) + 1
    }

    fun report() = EngineReport(1, accepted, false, setOf("base"), held.toMap(), emptySet(), 0, 0)

    /** Handles an order; one of [lost] answers is lost. */
    fun receive(order: EngineOrder, expected: Long?, now: Long, random: Random, lost: Int = 4): OrderOutcome = when {
        random.nextInt(lost) == 0 -> {
            late += Triple(now + random.nextLong(12_000), order, expected ?: -1)
            OrderOutcome.UNKNOWN
        }
        else -> apply(order, expected, now)
    }

    fun advance(now: Long) {
        late.filter { it.first <= now }.forEach { (_, order, expected) -> apply(order, expected, now) }
        late.removeAll { it.first <= now }
        replaced.filterValues { it <= now }.keys.toList().forEach { adapter ->
            replaced.remove(adapter)
            if (adapter in held) held[adapter] = newest(adapter)
        }
    }

    private fun apply(order: EngineOrder, expected: Long?, now: Long): OrderOutcome {
        if (expected != accepted) return OrderOutcome.CONFLICT
        accepted++
        return when (order) {
            is EngineOrder.LoadModel -> OrderOutcome.ACCEPTED
            is EngineOrder.LoadAdapter -> {
                if (order.adapter in held) {
                    replaced[order.adapter] = now + 2_000
                } else {
                    held[order.adapter] = newest(order.adapter)
                }
                check(held.size <= slots) { "the engine holds more adapters than slots" }
                OrderOutcome.ACCEPTED
            }
            is EngineOrder.UnloadAdapter -> {
                held -= order.adapter
                OrderOutcome.ALREADY_DONE
            }
        }
    }
}
