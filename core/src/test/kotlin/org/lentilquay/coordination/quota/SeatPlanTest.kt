package org.lentilquay.coordination.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.TableModel
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.SeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.seatKey
import kotlin.random.Random

private fun vm(number: Int) = VmId("vm-$number")

/** VMs that review the seats in turn. */
private class Fleet(seed: Int) {
    private val random = Random(seed)
    val table = TableModel(random)
    val live = LinkedHashSet<VmId>()
    val gone = HashSet<VmId>()
    val incarnations = HashMap<VmId, Long>()
    var changes = 0

    fun readings() = (0 until 16).mapNotNull { seat ->
        table.current(seatKey(seat))?.let { seat to SeatReading(Json.decodeFromString(it.value), it.version) }
    }.toMap()

    fun held(vm: VmId) = plan(vm).held(readings()).size

    fun settle(rounds: Int = 30) = repeat(rounds) {
        for (vm in live.shuffled(random)) {
            // The VM acts on a reading that another VM may have made old.
            val stale = if (random.nextBoolean()) readings() else continue
            plan(vm).review(SeatView(stale, live, gone)).forEach {
                changes++
                table.transact(it.operations)
            }
        }
    }

    fun plan(vm: VmId) = SeatPlan(vm, Incarnation(incarnations[vm] ?: 1)) { "nonce-${changes++}" }
}

class SeatPlanTest : FunSpec({
    // Guards against an uneven spread, which lowers what one VM can hold, and against seats that change for ever.
    test("seats spread evenly as VMs join, restart, leave and return") {
        for (seed in 1..100) {
            val fleet = Fleet(seed)
            withClue("seed $seed") {
                listOf(3, 8, 5, 20, 1).forEach { size ->
                    fleet.live.filter { it !in (0 until size).map(::vm) }.forEach { gone ->
                        fleet.live.remove(gone)
                        fleet.gone.add(gone)
                    }
                    (0 until size).map(::vm).forEach {
                        fleet.live.add(it)
                        if (fleet.gone.remove(it)) fleet.incarnations.merge(it, 2, Long::plus)
                    }
                    fleet.settle()
                    val counts = fleet.live.map { fleet.held(it) }
                    counts.sum() shouldBe 16
                    counts.max() - counts.min() shouldBeLessThanOrEqual 1
                    val before = fleet.changes
                    fleet.settle(3)
                    fleet.changes shouldBe before
                }
            }
        }
    }

    // Guards against a second holder of a seat whose holder is only paused or cut off.
    test("the seats of a paused holder stay, and are taken once it has left the list") {
        val fleet = Fleet(1).apply { live.addAll(listOf(vm(0), vm(1))) }
        fleet.settle()
        fleet.live.remove(vm(1))
        fleet.settle()
        fleet.held(vm(1)) shouldBe 8
        fleet.gone.add(vm(1))
        fleet.settle()
        fleet.held(vm(0)) shouldBe 16
    }

    // Guards against a restarted process that counts the seats of its former process, which still has their tokens.
    test("a seat belongs to one incarnation, and a stopping VM releases its own") {
        val record = SeatRecord(vm(0), Incarnation(1), "n")
        val readings = mapOf(3 to SeatReading(record, 5))
        val restarted = SeatPlan(vm(0), Incarnation(2)) { "m" }
        restarted.held(readings) shouldBe emptySet()
        val taken = restarted.review(SeatView(readings, setOf(vm(0)), emptySet())).single { it.seat == 3 }
        val value = Json.encodeToString(SeatRecord(vm(0), Incarnation(2), "m"))
        taken.operations shouldBe listOf(TableOperation.Put("seats/3", value, 5))
        val stopping = SeatPlan(vm(0), Incarnation(1)) { "m" }
        val released = stopping.review(SeatView(readings, setOf(vm(1)), emptySet()))
        released.map { it::class to it.seat } shouldBe listOf(SeatAction.Release::class to 3)
    }
})
