package org.lentilquay.coordination.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.WriteResult
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

private const val SEATS = 4
private const val STEP_MILLIS = 1_000L
private fun vm(number: Int) = VmId("vm-$number")

/** VMs that review the seats each second, on a table service that returns from copies. */
private class EraFleet(size: Int) {
    private var rows = mapOf<Int, SeatReading>()
    private var era = 1L
    private var version = 0L
    private var nonces = 0
    private val trackers = HashMap<VmId, SeatTracker>()
    private val incarnations = HashMap<VmId, Long>()
    val live = LinkedHashSet<VmId>()
    val departed = HashSet<VmId>()
    val cutOff = HashSet<VmId>()
    var now = 0L

    init {
        (0 until size).forEach { start(vm(it), isBootstrap = true) }
        run(5)
    }

    fun start(vm: VmId, isBootstrap: Boolean = false) {
        val incarnation = incarnations.merge(vm, 1, Long::plus)!!
        trackers[vm] = SeatTracker(SeatPlan(vm, Incarnation(incarnation), SEATS) { "n${nonces++}" }, isBootstrap)
        live += vm
    }

    fun copy(): Map<Int, SeatReading> = rows

    fun returnFrom(copy: Map<Int, SeatReading>) {
        rows = copy
        version = copy.values.maxOfOrNull { it.version } ?: 0
        era++
    }

    fun held(vm: VmId) = trackers.getValue(vm).held

    /** Seats that two VMs hold. */
    fun doublyHeld(): Set<Int> =
        trackers.values.flatMap { it.held }.groupingBy { it }.eachCount().filterValues { it > 1 }.keys

    fun heldByAny(): Set<Int> = trackers.values.flatMapTo(HashSet()) { it.held }

    /** The actions of [vm] on what it reads now; [write] executes them. */
    fun review(vm: VmId): List<SeatAction> {
        val tracker = trackers.getValue(vm)
        return if (tracker.observed(rows, era, now)) tracker.review(live, departed, now) else emptyList()
    }

    fun write(vm: VmId, action: SeatAction, readEra: Long = era) {
        val isMet = (rows[action.seat]?.version ?: 0) == action.expectedVersion
        if (isMet) rows = rows + (action.seat to SeatReading(action.record, ++version))
        val outcome = if (readEra == era) WriteResult.COMMITTED else WriteResult.UNKNOWN
        val result = if (isMet) outcome else WriteResult.CONFLICT
        trackers.getValue(vm).written(action, result)
    }

    fun run(steps: Int, check: () -> Unit = {}) = repeat(steps) {
        (live - cutOff).forEach { vm -> review(vm).forEach { write(vm, it) } }
        check()
        now += STEP_MILLIS
    }

    /** Moves a seat from the first VM to a third one that joins; returns the seat. */
    fun moveSeat(): Int {
        start(vm(2))
        run(8)
        return held(vm(2)).first()
    }
}

/** Seats after the table service has returned from a copy. */
class SeatEraTest : FunSpec({
    fun EraFleet.shouldKeepOneHolder(steps: Int = 20) = run(steps) {
        withClue("at $now") { doublyHeld().shouldBeEmpty() }
    }

    // Guards against two holders of a seat whose move from one to the other was lost.
    listOf("the former holder runs on" to false, "the former holder restarted in between" to true).forEach {
            (name, isRestarted) ->
        test("a lost move of a seat leaves it with its new holder: $name") {
            val fleet = EraFleet(2)
            val copy = fleet.copy()
            val seat = fleet.moveSeat()
            if (isRestarted) listOf(vm(0), vm(1)).forEach { fleet.start(it) }
            fleet.returnFrom(copy)
            fleet.shouldKeepOneHolder()
            fleet.held(vm(2)) shouldBe setOf(seat)
            fleet.heldByAny().size shouldBe SEATS
        }
    }

    // Guards against a VM that takes what it can read as free before the holder could write it again.
    test("the seats of a holder that is cut off are not taken within 5 s of the new era") {
        val fleet = EraFleet(2)
        val seat = fleet.moveSeat()
        fleet.cutOff += vm(2)
        fleet.live -= vm(2)
        fleet.returnFrom(emptyMap())
        fleet.run(5) { (fleet.held(vm(0)) + fleet.held(vm(1))) shouldNotContain seat }
        fleet.held(vm(2)) shouldBe setOf(seat)
        fleet.run(4)
        fleet.cutOff.clear()
        fleet.live += vm(2)
        fleet.run(1)
        fleet.shouldKeepOneHolder()
        fleet.heldByAny().size shouldBe SEATS
    }

    // Guards against a memory that a second return wipes out.
    test("after two returns 1 s apart, each seat has its holder of before") {
        val fleet = EraFleet(2)
        val copy = fleet.copy()
        fleet.moveSeat()
        val before = fleet.live.associateWith { fleet.held(it) }
        fleet.returnFrom(copy)
        fleet.shouldKeepOneHolder(steps = 1)
        fleet.returnFrom(copy)
        fleet.shouldKeepOneHolder()
        fleet.live.associateWith { fleet.held(it) } shouldBe before
    }

    // Guards against a process that starts after the return and takes seats that look free.
    test("a new process takes no seat that looks free in the copy, and all seats are held 8 s after the return") {
        val fleet = EraFleet(2)
        fleet.returnFrom(emptyMap())
        fleet.start(vm(3))
        fleet.review(vm(3)).shouldBeEmpty()
        fleet.departed += vm(0)
        fleet.live -= vm(0)
        fleet.cutOff += vm(0)
        fleet.run(5) { fleet.held(vm(3)).shouldBeEmpty() }
        fleet.run(3)
        (fleet.held(vm(1)) + fleet.held(vm(3))).size shouldBe SEATS
    }

    // Guards against a take of the former era that is executed after the return, when versions match by chance.
    test("a late write of the former era ends no holding of the new era") {
        val fleet = EraFleet(2)
        val copy = fleet.copy()
        fleet.start(vm(2))
        val seat = fleet.held(vm(0)).first()
        fleet.returnFrom(copy)
        fleet.run(3)
        val record = copy.getValue(seat).record.copy(vm = null)
        val late = SeatAction.Release(seat, record, fleet.copy().getValue(seat).version)
        fleet.write(vm(0), late, readEra = 1)
        fleet.run(1)
        fleet.copy().getValue(seat).record.let { it.vm to it.era } shouldBe (vm(0) to 2L)
        fleet.shouldKeepOneHolder()
    }

    // Guards against an answer of a former era, or without an era, that arrives late.
    test("a reading of a former era or without one is dropped") {
        val tracker = SeatTracker(SeatPlan(vm(0), Incarnation(1), SEATS) { "n" })
        tracker.observed(emptyMap(), readEra = 2) shouldBe true
        tracker.observed(emptyMap(), readEra = 1) shouldBe false
        tracker.observed(emptyMap(), readEra = null) shouldBe false
        tracker.era shouldBe 2
    }

    // Guards against seats that wait for the next regular review after a return.
    test("seats are reviewed when an era begins, and when seats may be taken again") {
        val schedule = SeatReviewSchedule(reviewedAt = 0)
        val dueAt = (1_000L..12_000L step 250).filter { now ->
            schedule.isDue(setOf(vm(0)), emptySet(), renewalMillis = 60_000, now, era = if (now < 2_000) null else 1)
        }
        dueAt shouldBe listOf(2_000L, 7_250L)
    }
})
