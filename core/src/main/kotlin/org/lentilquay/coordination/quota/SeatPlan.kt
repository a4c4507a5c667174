/*
 * Which quota seats a VM takes or releases, as conditional operations on the table. A seat counts as held only if its
 * record names this VM and this incarnation. SeatTracker holds the readings and guards against stale ones. A paused or
 * cut-off holder keeps its seats, because its buckets may still admit requests.
 *
 * The spread is even when the members differ by at most one seat. Errors do not occur: a lost race or a lost answer
 * shows in the next reading. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.coordination.quota

import kotlinx.serialization.json.Json
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.QuotaSeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.quotaSeatKey

/** A seat record as read from the table. */
data class SeatReading(val record: QuotaSeatRecord, val version: Long)

/** What a VM knows when it reviews the seats. */
data class SeatView(
    /** Records by seat number; an absent number has no record yet. */
    val readings: Map<Int, SeatReading>,
    /** Members that can hold seats, with this VM unless it is stopping. Suspect and paused members are not dead yet. */
    val live: Set<VmId>,
    /** VMs that were on the platform's list and have left it, and therefore cannot return as their old process. */
    val departed: Set<VmId>,
)

/** A change of one seat. */
sealed interface SeatAction {
    val seat: Int

    /** The record to write, and the version of the seat that it replaces; 0 stands for absent. */
    val record: QuotaSeatRecord
    val expectedVersion: Long

    /** The version of the seat after a commit. */
    val newVersion: Long get() = expectedVersion + 1

    /** The transaction to run. */
    val operations: List<TableOperation>
        get() = listOf(TableOperation.Put(quotaSeatKey(seat), Json.encodeToString(record), expectedVersion))

    /** Takes [seat]; a later reading shows the record with its nonce if the answer is lost. */
    data class Take(override val seat: Int, override val record: QuotaSeatRecord, override val expectedVersion: Long) :
        SeatAction

    /** Releases [seat]. The seat must leave the buckets before the operations are sent. */
    data class Release(
        override val seat: Int,
        override val record: QuotaSeatRecord,
        override val expectedVersion: Long,
    ) : SeatAction
}

class SeatPlan(
    private val own: VmId,
    private val incarnation: Incarnation,
    private val seatCount: Int = DEFAULT_SEAT_COUNT,
    private val newNonce: () -> String,
) {
    private sealed interface Standing {
        data object Free : Standing

        data class Held(val vm: VmId) : Standing
    }

    /** The seats that this process holds according to [readings]. */
    fun held(readings: Map<Int, SeatReading>): Set<Int> =
        readings.filterValues { it.record.vm == own && it.record.incarnation == incarnation }.keys

    /** The seats that each VM holds according to [readings], for [TransferPlanner.holdersChanged]. */
    fun holders(readings: Map<Int, SeatReading>): Map<VmId, Set<Int>> =
        readings.entries.mapNotNull { (seat, reading) -> reading.record.vm?.let { it to seat } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }

    /** The changes to make now. Each is a transaction of its own, so that one lost race does not undo the others. */
    fun review(view: SeatView): List<SeatAction> {
        val mine = held(view.readings)
        if (own !in view.live) return mine.sorted().map { release(it, view) }
        val standings = (0 until seatCount).associateWith { standing(view.readings[it]?.record, view.departed) }
        val free = standings.filterValues { it is Standing.Free }.keys.toList()
        val counts = view.live.associateWith { vm -> standings.values.count { it == Standing.Held(vm) } }
        val available = free.size + counts.values.sum()
        val floor = available / view.live.size
        val hasRemainder = available % view.live.size > 0
        val toTake = seatsToTake(counts, free.size, floor, hasRemainder)
        val toRelease = if (free.isEmpty()) seatsToRelease(counts, floor, hasRemainder) else 0
        // The other members see the seats of the former process as held, so none of them could take one.
        val order = compareBy<Int> { distanceFromOwnRange(it, view.live) }
        val taken = formerlyHeld(view.readings) + free.sortedWith(order).take(toTake)
        val released = mine.sortedWith(order.reversed()).take(toRelease)
        return taken.map { take(it, view) } + released.map { release(it, view) }
    }

    private fun standing(record: QuotaSeatRecord?, departed: Set<VmId>): Standing {
        val holder = record?.vm ?: return Standing.Free
        return if (holder in departed) Standing.Free else Standing.Held(holder)
    }

    /** The seats that the former process of this VM held. */
    private fun formerlyHeld(readings: Map<Int, SeatReading>): List<Int> =
        readings.filterValues { it.record.vm == own && it.record.incarnation < incarnation }.keys.sorted()

    /** Fills this VM up to the even share, and one more only from seats that no poorer member needs. */
    private fun seatsToTake(counts: Map<VmId, Int>, free: Int, floor: Int, hasRemainder: Boolean): Int {
        val count = counts.getValue(own)
        val neededByOthers = counts.filterKeys { it != own }.values.sumOf { (floor - it).coerceAtLeast(0) }
        return when {
            count < floor -> minOf(floor - count, free)
            count == floor && hasRemainder && free > neededByOthers -> 1
            else -> 0
        }
    }

    /** This VM's part of the seats that the richest members give up so that no two members differ by more than one. */
    private fun seatsToRelease(counts: Map<VmId, Int>, floor: Int, hasRemainder: Boolean): Int {
        val ceiling = if (hasRemainder) floor + 1 else floor
        val lacking = counts.values.sumOf { (floor - it).coerceAtLeast(0) }
        val excess = counts.values.sumOf { (it - ceiling).coerceAtLeast(0) }
        return counts
            .flatMap { (vm, count) -> (floor + 1..count).map { level -> vm to level } }
            .sortedWith(compareByDescending<Pair<VmId, Int>> { it.second }.thenBy { it.first })
            .take(maxOf(lacking, excess))
            .count { it.first == own }
    }

    /**
     * How far [seat] lies behind the first seat of this VM's range. Each member prefers a range of its own, so members
     * seldom race for a seat, and the seats of a team, which lie apart ([seatsOf]), fall to different members.
     */
    private fun distanceFromOwnRange(seat: Int, live: Set<VmId>): Int {
        val start = live.count { it < own } * seatCount / live.size
        return Math.floorMod(seat - start, seatCount)
    }

    private fun take(seat: Int, view: SeatView): SeatAction =
        SeatAction.Take(seat, QuotaSeatRecord(own, incarnation, newNonce()), version(seat, view))

    private fun release(seat: Int, view: SeatView): SeatAction =
        SeatAction.Release(seat, QuotaSeatRecord(null, incarnation, newNonce()), version(seat, view))

    private fun version(seat: Int, view: SeatView): Long = view.readings[seat]?.version ?: 0
}
