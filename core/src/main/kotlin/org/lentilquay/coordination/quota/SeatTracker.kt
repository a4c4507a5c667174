/*
 * The seats of this VM over time. A reading may be stale and an answer may be lost; both could make a VM count a seat
 * that it has released and another VM holds, and the team's rate would double there. So a reading counts only if its
 * version is not lower than one already seen, and a seat whose release was sent is never held again before a new take.
 * Single-threaded use; no errors.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.WriteResult
import org.lentilquay.state.VmId

class SeatTracker(private val plan: SeatPlan) {
    private val readings = HashMap<Int, SeatReading>()

    /** By seat, the highest version that this VM must not count as its own, because it sent a release of it. */
    private val released = HashMap<Int, Long>()

    private val takenBack = HashSet<Int>()

    /** The seats that this process took from the former process of this VM, for [TeamBuckets.seatsChanged]. */
    val reclaimed: Set<Int> get() = takenBack

    /** The seats that this VM holds, for [TeamBuckets.seatsChanged]. */
    val held: Set<Int>
        get() = plan.held(readings.filter { (seat, reading) -> reading.version > (released[seat] ?: 0) })

    /** The seats that each VM holds, for [TransferPlanner.holdersChanged]. */
    val holders: Map<VmId, Set<Int>> get() = plan.holders(readings)

    /** Takes in a reading of the seats. Older versions than those known are ignored, and so are absent records. */
    fun observed(read: Map<Int, SeatReading>) {
        for ((seat, reading) in read) {
            if (reading.version >= (readings[seat]?.version ?: 0)) readings[seat] = reading
        }
    }

    /**
     * The changes to make now. Seats to release are no longer [held] when this returns; the caller passes [held] to
     * the buckets before it sends the operations, and reports each result to [written].
     */
    fun review(live: Set<VmId>, departed: Set<VmId>): List<SeatAction> {
        val actions = plan.review(SeatView(readings, live, departed))
        actions.filterIsInstance<SeatAction.Release>().forEach { released[it.seat] = it.expectedVersion }
        return actions
    }

    /** Takes in the result of [action]. After an unknown result the next reading decides. */
    fun written(action: SeatAction, result: WriteResult) {
        if (result != WriteResult.COMMITTED) return
        val former = readings[action.seat]?.record?.vm
        if (former != null && former == action.record.vm) takenBack += action.seat else takenBack -= action.seat
        observed(mapOf(action.seat to SeatReading(action.record, action.newVersion)))
    }
}
