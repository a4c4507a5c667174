package org.lentilquay.coordination.quota

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.TableModel
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.QuotaSeatRecord
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.quotaSeatKey
import kotlin.random.Random

private fun vm(number: Int) = VmId("vm-$number")

/** VMs that review the seats in turn, on stale readings and with lost answers and late writes. */
private class Fleet(seed: Int) {
    private val random = Random(seed)
    private val table = TableModel(random)
    private var nonces = 0
    private val keepers = HashMap<VmId, SeatTracker>()
    private val incarnations = HashMap<VmId, Long>()
    val live = LinkedHashSet<VmId>()
    val departed = HashSet<VmId>()
    var changes = 0
    var doubleHolders = 0

    fun held(vm: VmId) = keepers[vm]?.held.orEmpty()

    fun join(vm: VmId) {
        if (!live.add(vm)) return
        departed.remove(vm)
        val incarnation = Incarnation(incarnations.merge(vm, 1, Long::plus)!!)
        keepers[vm] = SeatTracker(SeatPlan(vm, incarnation) { "n${nonces++}" })
    }

    fun leave(vm: VmId) {
        live.remove(vm)
        departed.add(vm)
        keepers.remove(vm)
    }

    fun settle(faultPercent: Int, rounds: Int = 30) {
        table.faultPercent = faultPercent
        repeat(rounds) {
            live.shuffled(random).filter { random.nextBoolean() }.forEach { step(it) }
            if (faultPercent > 0) table.deliverLate()
        }
    }

    /** All VMs review the same reading, and their changes reach the table in turn. */
    fun settleAtOnce(rounds: Int = 30) = repeat(rounds) {
        val plans = live.associateWith { review(it).toMutableList() }
        while (plans.values.any { it.isNotEmpty() }) {
            val (vm, actions) = plans.entries.filter { it.value.isNotEmpty() }.random(random)
            write(vm, actions.removeFirst())
        }
    }

    /** How many VMs hold the seats of each set of seats that a team can have. */
    fun holdersByTeamSeats(): List<Int> = (1..50).map { seatsOf(TeamId("team-$it")) }.distinct()
        .map { seats -> live.count { vm -> held(vm).any { it in seats } } }

    private fun review(vm: VmId): List<SeatAction> {
        val keeper = keepers.getValue(vm)
        keeper.observed(
            (0 until 16).mapNotNull { seat ->
                table.read(quotaSeatKey(seat))?.let { seat to SeatReading(Json.decodeFromString(it.value), it.version) }
            }.toMap(),
        )
        return keeper.review(live, departed)
    }

    private fun write(vm: VmId, action: SeatAction) {
        changes++
        keepers.getValue(vm).written(action, table.transact(action.operations))
    }

    private fun step(vm: VmId) {
        review(vm).forEach { write(vm, it) }
        doubleHolders += keepers.values.flatMap { it.held }.groupingBy { it }.eachCount().count { it.value > 1 }
    }
}

class SeatPlanTest : FunSpec({
    // Guards against two holders of a seat, an uneven spread, and seats that change for ever.
    test("seats spread evenly as VMs join, restart, leave and return") {
        for (seed in 1..100) {
            val fleet = Fleet(seed)
            withClue("seed $seed") {
                listOf(3, 8, 5, 20, 1).forEach { size ->
                    fleet.live.toList().drop(size).forEach { fleet.leave(it) }
                    (0 until size).forEach { fleet.join(vm(it)) }
                    fleet.settle(faultPercent = 20)
                    fleet.settle(faultPercent = 0)
                    val counts = fleet.live.map { fleet.held(it).size }
                    counts.sum() shouldBe 16
                    counts.max() - counts.min() shouldBeLessThanOrEqual 1
                    val before = fleet.changes
                    fleet.settle(faultPercent = 0, rounds = 3)
                    fleet.changes shouldBe before
                }
                fleet.doubleHolders shouldBe 0
            }
        }
    }

    // Guards against a team all of whose seats lie with one VM, so that the loss of that VM stops the team until its
    // seats are taken over: with two VMs that started at once, the survivor of a kill refused the team's requests.
    test("the seats of each team lie with several VMs, also when all start at once") {
        for (seed in 1..100) {
            for (size in listOf(2, 3, 4, 8)) {
                val fleet = Fleet(seed)
                repeat(size) { fleet.join(vm(it)) }
                fleet.settleAtOnce()
                withClue("seed $seed, $size VMs") {
                    fleet.holdersByTeamSeats().min() shouldBe minOf(size, SEATS_PER_TEAM)
                }
            }
        }
    }

    // Guards against the same after a change of the fleet.
    test("the seats of each team lie with several VMs after VMs have left and returned") {
        for (seed in 1..100) {
            val fleet = Fleet(seed)
            for (size in listOf(2, 8, 3, 2, 4, 8, 2)) {
                fleet.live.toList().drop(size).forEach { fleet.leave(it) }
                (0 until size).forEach { fleet.join(vm(it)) }
                fleet.settle(faultPercent = 0)
                withClue("seed $seed, $size VMs") { fleet.holdersByTeamSeats().min() shouldBeGreaterThanOrEqual 2 }
            }
        }
    }

    // Guards against a second holder of a seat whose holder is only paused or cut off.
    test("the seats of a paused holder stay, and are taken once it has left the list") {
        val fleet = Fleet(1).apply { (0..1).forEach { join(vm(it)) } }
        fleet.settle(0)
        fleet.live.remove(vm(1))
        fleet.settle(0)
        fleet.held(vm(0)).size shouldBe 8
        fleet.leave(vm(1))
        fleet.settle(0)
        fleet.held(vm(0)).size shouldBe 16
    }

    // Guards against a fleet that has half of its teams' rates for seconds after all of its processes were killed: with
    // the seats of a replaced VM not free yet, each process took one of its two former seats and left the other, which
    // nobody else could take. In the second case the VM that replaced the other holds no seat yet.
    listOf("7 VMs and a replaced one" to (0..6), "8 VMs, one of them new" to (0..7)).forEach { (name, live) ->
        test("a process that starts again takes all seats of its former process at once: $name") {
            val readings = (0..15).associateWith { seat ->
                SeatReading(QuotaSeatRecord(vm(if (seat < 14) seat / 2 else 8), Incarnation(1), "n"), 1)
            }
            val restarted = SeatPlan(vm(0), Incarnation(2)) { "m" }
            val taken = restarted.review(SeatView(readings, live.mapTo(HashSet()) { vm(it) }, emptySet()))
            taken.map { it::class to it.seat } shouldBe listOf(SeatAction.Take::class to 0, SeatAction.Take::class to 1)
        }
    }

    // Guards against a seat of another VM that generates before the tokens of its last holder have expired.
    test("a process knows which seats its former process held") {
        val readings = mapOf(0 to vm(0), 1 to vm(1)).mapValues { (_, holder) ->
            SeatReading(QuotaSeatRecord(holder, Incarnation(1), "n"), 1)
        }
        val keeper = SeatTracker(SeatPlan(vm(0), Incarnation(2), seatCount = 2) { "m" })
        keeper.observed(readings)
        val actions = keeper.review(setOf(vm(0)), departed = setOf(vm(1)))
        actions.forEach { keeper.written(it, WriteResult.COMMITTED) }
        keeper.held shouldBe setOf(0, 1)
        keeper.reclaimed shouldBe setOf(0)
    }

    // Guards against a restarted process that counts the seats of its former process, which still has their tokens.
    test("a seat belongs to one incarnation, and a stopping VM releases its own") {
        val record = QuotaSeatRecord(vm(0), Incarnation(1), "n")
        val readings = mapOf(3 to SeatReading(record, 5))
        val restarted = SeatPlan(vm(0), Incarnation(2)) { "m" }
        restarted.held(readings) shouldBe emptySet()
        val taken = restarted.review(SeatView(readings, setOf(vm(0)), emptySet())).single { it.seat == 3 }
        val value = Json.encodeToString(QuotaSeatRecord(vm(0), Incarnation(2), "m"))
        taken.operations shouldBe listOf(TableOperation.Put("seats/3", value, 5))
        val stopping = SeatPlan(vm(0), Incarnation(1)) { "m" }
        val released = stopping.review(SeatView(readings, setOf(vm(1)), emptySet()))
        released.map { it::class to it.seat } shouldBe listOf(SeatAction.Release::class to 3)
    }
})
