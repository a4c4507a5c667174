/*
 * Tracks which quota seats this VM holds. A seat is one of the equal shares of every team's token bucket, so a seat
 * with two holders would double that share of a team's rate. A stale read or a lost answer must not make a VM count a
 * seat that it has released: a reading is ignored if its version is lower than one seen before, and a seat whose
 * release was sent is not held again until it was taken anew. Single-threaded use.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.WriteResult
import org.lentilquay.state.VmId

class SeatTracker(private val plan: SeatPlan) {
    private val readings = HashMap<Int, SeatReading>()

    /** By seat, the highest version that does not count as held, because its release was sent. */
    private val released = HashMap<Int, Long>()

    private val takenOver = HashSet<Int>()

    /** The seats that this process took over from the former process of this VM; for [TeamBuckets.seatsChanged]. */
    val reclaimed: Set<Int> get() = takenOver

    /** The seats that this VM holds; for [TeamBuckets.seatsChanged]. */
    val held: Set<Int>
        get() = plan.held(readings.filter { (seat, reading) -> reading.version > (released[seat] ?: 0) })

    /** The seats that each VM holds; for [TransferPlanner.holdersChanged]. */
    val holders: Map<VmId, Set<Int>> get() = plan.holders(readings)

    /**
     * Records the seat records as [read] from the table service. A version lower than one seen before is ignored, and a
     * seat without a record in [read] keeps its earlier record.
     */
    fun observed(read: Map<Int, SeatReading>) {
        for ((seat, reading) in read) {
            if (reading.version >= (readings[seat]?.version ?: 0)) readings[seat] = reading
        }
    }

    /**
     * The seats to take and release now. Seats to release are no longer [held] when this returns: the caller passes
     * [held] to the buckets before it sends the operations, and reports each result to [written].
     */
    fun review(live: Set<VmId>, departed: Set<VmId>): List<SeatAction> {
        val actions = plan.review(SeatView(readings, live, departed))
        actions.filterIsInstance<SeatAction.Release>().forEach { released[it.seat] = it.expectedVersion }
        return actions
    }

    /** Records the [result] of [action]. If it is unknown, the next reading shows whether the action took effect. */
    fun written(action: SeatAction, result: WriteResult) {
        if (result != WriteResult.COMMITTED) return
        val former = readings[action.seat]?.record?.vm
        if (former != null && former == action.record.vm) takenOver += action.seat else takenOver -= action.seat
        observed(mapOf(action.seat to SeatReading(action.record, action.newVersion)))
    }
}
