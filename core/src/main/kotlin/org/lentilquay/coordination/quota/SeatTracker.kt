/*
 * Tracks which quota seats this VM holds. A seat is one of the equal shares of every team's token bucket, so a seat
 * with two holders would double that share of a team's rate. A stale read or a lost answer must not make a VM count a
 * seat that it has released: a reading is ignored if its version is lower than one seen before, and a seat whose
 * release was sent is not held again until it was taken anew.
 *
 * A table service that returns from a copy begins a new era and may have lost moves of seats. Versions are compared
 * within one era. From then on the memory of a process decides what it holds, until a record that was written in the
 * present era names another VM. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.WriteResult
import org.lentilquay.state.VmId

/**
 * How long after it first sees an era a VM takes no seat on the basis of a record of a former era. Holders write their
 * seats again at once; a team may be without the rate of a seat for at most 8 s, including half a second of idle time.
 */
const val NEW_ERA_MILLIS: Long = 5_000

class SeatTracker(
    private val plan: SeatPlan,
    /** Whether the fleet starts for the first time, so that seats without a record have never been held. */
    private val isBootstrap: Boolean = true,
) {
    private val readings = HashMap<Int, SeatReading>()

    /** By seat, the highest version that does not count as held, because its release was sent. */
    private val released = HashMap<Int, Long>()

    private val takenOver = HashSet<Int>()

    /** The seats of this process by its memory, and those whose rows a late write has replaced; unused without eras. */
    private val mine = HashSet<Int>()
    private val overwritten = HashSet<Int>()
    private var hasObserved = false

    /** The readings of the former era, which say who holds a seat until its holder has written it again. */
    private var formerReadings: Map<Int, SeatReading> = emptyMap()
    private var newUntil = Long.MIN_VALUE

    /** The era of the readings; null while the table service has sent none. */
    var era: Long? = null
        private set

    /** The seats that this process took over from the former process of this VM; for [TeamBuckets.seatsChanged]. */
    val reclaimed: Set<Int> get() = takenOver

    /** The seats that this VM holds; for [TeamBuckets.seatsChanged]. */
    val held: Set<Int>
        get() = if (era == null) {
            plan.held(readings.filter { (seat, reading) -> reading.version > (released[seat] ?: 0) })
        } else {
            mine.toSet()
        }

    /** The seats that each VM holds; for [TransferPlanner.holdersChanged]. */
    val holders: Map<VmId, Set<Int>>
        get() = plan.holders(readings + formerReadings.filterKeys { readings[it]?.record?.era != era })

    /**
     * Records the seat records as [read] from the table service in [readEra]. Within an era, a version lower than one
     * seen before is ignored, and a seat without a record in [read] keeps its earlier record. Returns whether the
     * reading counts: one of a former era, or without an era after one with an era, is dropped.
     */
    fun observed(read: Map<Int, SeatReading>, readEra: Long? = null, now: Long = 0): Boolean {
        val known = era
        if (known != null && (readEra == null || readEra < known)) return false
        if (readEra != known) beginEra(readEra, read, now)
        hasObserved = true
        for ((seat, reading) in read) {
            if (reading.version >= (readings[seat]?.version ?: 0)) observed(seat, reading)
        }
        return true
    }

    private fun beginEra(number: Long?, read: Map<Int, SeatReading>, now: Long) {
        val before = held
        mine.clear()
        mine += before
        // For a process that starts, the era is not new if all seats were written in it.
        val isSettled = !hasObserved && read.values.all { it.record.era == number } &&
            (isBootstrap || plan.isComplete(read))
        era = number
        newUntil = if (isSettled) now else now + NEW_ERA_MILLIS
        formerReadings = formerReadings + readings
        readings.clear()
        released.clear()
        overwritten.clear()
    }

    private fun observed(seat: Int, reading: SeatReading) {
        val former = readings[seat]?.record?.takeIf { era != null && it.era == era }
        if (former != null && reading.record.era != era) {
            // A write of a former era was executed late; it does not end what was agreed in this era.
            readings[seat] = SeatReading(former, reading.version)
            overwritten += seat
            return
        }
        readings[seat] = reading
        overwritten -= seat
        if (era == null || reading.record.era != era) return
        if (seat in plan.held(mapOf(seat to reading))) {
            if (reading.version > (released[seat] ?: 0)) mine += seat
        } else if (reading.record.vm != null) {
            mine -= seat
        }
    }

    /**
     * The seats to take and release now. Seats to release are no longer [held] when this returns: the caller passes
     * [held] to the buckets before it sends the operations, and reports each result to [written].
     */
    fun review(live: Set<VmId>, departed: Set<VmId>, now: Long = 0): List<SeatAction> {
        val seatEra = era?.let { SeatEra(it, mine.toSet(), overwritten.toSet(), isNew = now < newUntil) }
        if (now >= newUntil) formerReadings = emptyMap()
        val actions = plan.review(SeatView(readings, live, departed, seatEra))
        for (release in actions.filterIsInstance<SeatAction.Release>()) {
            released[release.seat] = release.expectedVersion
            mine -= release.seat
        }
        return actions
    }

    /** Records the [result] of [action]. If it is unknown, the next reading shows whether the action took effect. */
    fun written(action: SeatAction, result: WriteResult) {
        // What was written in a former era may be lost, so it counts only if a reading of this era shows it.
        if (result != WriteResult.COMMITTED || action.record.era != era) return
        val former = readings[action.seat]?.record?.vm
        if (former != null && former == action.record.vm) takenOver += action.seat else takenOver -= action.seat
        observed(action.seat, SeatReading(action.record, maxOf(action.newVersion, readings[action.seat]?.version ?: 0)))
    }
}
