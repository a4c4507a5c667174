/*
 * Decides which quota seats a VM takes or releases, as conditional operations on the table service. A quota seat is one
 * of the equal shares of every team's token bucket and is held by one VM: the one that its record names, in the
 * incarnation of the record. A holder that is paused or partitioned keeps its seats, because its buckets may still
 * admit requests.
 *
 * Seats are balanced if the members' counts differ by at most one. A lost race or a lost answer shows in the next
 * reading. SeatTracker keeps the readings and discards stale ones. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.coordination.quota

import kotlinx.serialization.json.Json
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.QuotaSeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.quotaSeatKey

/** A seat record as read from the table service. */
data class SeatReading(val record: QuotaSeatRecord, val version: Long)

/** The input of a seat review. */
data class SeatView(
    /** The records by seat number; a seat that was never held has none. */
    val readings: Map<Int, SeatReading>,
    /** Members that can hold seats, including suspected ones and, unless it is stopping, this VM. */
    val live: Set<VmId>,
    /** VMs that have left the platform's VM list; they do not come back as the same process. */
    val departed: Set<VmId>,
    /** What is known of the era of the table service; null if it has none. */
    val era: SeatEra? = null,
)

/** The present era of the table service, as the seats of a VM depend on it. */
data class SeatEra(
    val number: Long,
    /** The seats that this process holds according to its memory. */
    val mine: Set<Int>,
    /** Those of [mine] whose rows a late write of a former era has replaced. */
    val overwritten: Set<Int>,
    /** Whether the era has just begun, so that seats of holders who have not written them again look free. */
    val isNew: Boolean,
)

/** A change of one seat. */
sealed interface SeatAction {
    val seat: Int

    /** The record to write, and the version of the record that it replaces (0 for none). */
    val record: QuotaSeatRecord
    val expectedVersion: Long

    /** The version of the record after a commit. */
    val newVersion: Long get() = expectedVersion + 1

    /** The transaction to run. */
    val operations: List<TableOperation>
        get() = listOf(TableOperation.Put(quotaSeatKey(seat), Json.encodeToString(record), expectedVersion))

    /** Takes [seat]. If the answer is lost, the nonce in a later reading shows whether the write took effect. */
    data class Take(override val seat: Int, override val record: QuotaSeatRecord, override val expectedVersion: Long) :
        SeatAction

    /** Releases [seat]. The caller removes it from the buckets before it sends the operations. */
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
    private sealed interface SeatStatus {
        data object Free : SeatStatus

        data class Held(val vm: VmId) : SeatStatus
    }

    /** The seats that [readings] show as held by this process. */
    fun held(readings: Map<Int, SeatReading>): Set<Int> =
        readings.filterValues { it.record.vm == own && it.record.incarnation == incarnation }.keys

    /** Whether [readings] has a record of each seat. */
    fun isComplete(readings: Map<Int, SeatReading>): Boolean = (0 until seatCount).all { it in readings }

    /** The seats that [readings] show for each VM; for [TransferPlanner.holdersChanged]. */
    fun holders(readings: Map<Int, SeatReading>): Map<VmId, Set<Int>> =
        readings.entries.mapNotNull { (seat, reading) -> reading.record.vm?.let { it to seat } }
            .groupBy({ it.first }, { it.second })
            .mapValues { it.value.toSet() }

    /** The seats to take and release now. Each is a transaction of its own, so that a lost race fails only one. */
    fun review(view: SeatView): List<SeatAction> = if (view.era == null) balance(view) else review(view, view.era)

    /**
     * Writes again what this process holds, and releases again what it has released, before it changes anything. While
     * the era is new, it takes only seats that its former process held in this era.
     */
    private fun review(view: SeatView, era: SeatEra): List<SeatAction> {
        if (own !in view.live) return (era.mine + held(view.readings)).sorted().map { release(it, view) }
        val lost = era.mine.filter { it in era.overwritten || !isCurrent(view.readings[it]?.record, era) }.sorted()
        val undone = held(view.readings).filter { it !in era.mine && view.readings[it]?.record?.era != era.number }
        val corrections = lost.map { take(it, view) } + undone.sorted().map { releaseAgain(it, view) }
        if (era.isNew) {
            val former = formerlyHeld(view.readings).filter { view.readings.getValue(it).record.era == era.number }
            return corrections + former.map { take(it, view) }
        }
        return corrections.ifEmpty { balance(view) }
    }

    private fun isCurrent(record: QuotaSeatRecord?, era: SeatEra) =
        record != null && record.vm == own && record.incarnation == incarnation && record.era == era.number

    private fun balance(view: SeatView): List<SeatAction> {
        val mine = held(view.readings)
        if (own !in view.live) return mine.sorted().map { release(it, view) }
        val statuses = (0 until seatCount).associateWith { statusOf(view.readings[it]?.record, view.departed) }
        val free = statuses.filterValues { it is SeatStatus.Free }.keys.toList()
        val counts = view.live.associateWith { vm -> statuses.values.count { it == SeatStatus.Held(vm) } }
        val available = free.size + counts.values.sum()
        val floor = available / view.live.size
        val hasRemainder = available % view.live.size > 0
        val toTake = seatsToTake(counts, free.size, floor, hasRemainder)
        val toRelease = if (free.isEmpty()) seatsToRelease(counts, floor, hasRemainder) else 0
        // Other members count the seats of the former process as held, so only this VM can take them.
        val order = compareBy<Int> { distanceFromOwnRange(it, view.live) }
        val taken = formerlyHeld(view.readings) + free.sortedWith(order).take(toTake)
        val released = mine.sortedWith(order.reversed()).take(toRelease)
        return taken.map { take(it, view) } + released.map { release(it, view) }
    }

    private fun statusOf(record: QuotaSeatRecord?, departed: Set<VmId>): SeatStatus {
        val holder = record?.vm ?: return SeatStatus.Free
        return if (holder in departed) SeatStatus.Free else SeatStatus.Held(holder)
    }

    /** The seats that the former process of this VM held. */
    private fun formerlyHeld(readings: Map<Int, SeatReading>): List<Int> =
        readings.filterValues { it.record.vm == own && it.record.incarnation < incarnation }.keys.sorted()

    /** The seats up to the even share, and one more only if no member with fewer seats needs it. */
    private fun seatsToTake(counts: Map<VmId, Int>, free: Int, floor: Int, hasRemainder: Boolean): Int {
        val count = counts.getValue(own)
        val neededByOthers = counts.filterKeys { it != own }.values.sumOf { (floor - it).coerceAtLeast(0) }
        return when {
            count < floor -> minOf(floor - count, free)
            count == floor && hasRemainder && free > neededByOthers -> 1
            else -> 0
        }
    }

    /** This VM's share of the seats that the members with most seats release to balance the counts. */
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
     * The distance of [seat] from the first seat of this VM's range. Each member prefers a range of its own, so members
     * seldom race for a seat, and the seats of a team, which are spaced out ([seatsOf]), go to different members.
     */
    private fun distanceFromOwnRange(seat: Int, live: Set<VmId>): Int {
        val start = live.count { it < own } * seatCount / live.size
        return Math.floorMod(seat - start, seatCount)
    }

    private fun take(seat: Int, view: SeatView): SeatAction =
        SeatAction.Take(seat, QuotaSeatRecord(own, incarnation, newNonce(), view.era?.number), version(seat, view))

    private fun release(seat: Int, view: SeatView): SeatAction =
        SeatAction.Release(seat, QuotaSeatRecord(null, incarnation, newNonce(), view.era?.number), version(seat, view))

    /** The record keeps its former era, because the seat is not known to be free: its holder may write it again. */
    private fun releaseAgain(seat: Int, view: SeatView): SeatAction {
        val former = view.readings[seat]?.record?.era
        return SeatAction.Release(seat, QuotaSeatRecord(null, incarnation, newNonce(), former), version(seat, view))
    }

    private fun version(seat: Int, view: SeatView): Long = view.readings[seat]?.version ?: 0
}
