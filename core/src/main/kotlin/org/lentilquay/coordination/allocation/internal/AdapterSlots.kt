/*
 * The adapter slots of one engine. Orders whose results are known come first; reports correct this only for moments
 * after the last order on an adapter, since they arrive with a lag. A slot can be evicted only when nothing that an
 * earlier owner granted, or that was cut off from its VM, can still run in it: where that is open, a report taken
 * later must show the adapter idle.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.adapterVersionOf

/** One used slot. */
internal class Slot(val adapter: AdapterVersion, state: SlotState, var changedAt: Long) {
    var state: SlotState = state
        private set

    /** An eviction needs a report taken later than this that shows the adapter idle; null if it needs none. */
    var idleReportAfter: Long? = null

    /** Time before which an unload with an unknown result is not ordered again. */
    var retryAt: Long = Long.MIN_VALUE

    /** The incarnation of the server for which the current order was given. */
    var orderedFor: Long? = null

    /** Whether it was unknown before the current unload order if the server holds the adapter. */
    var wasUncertain: Boolean = false

    fun change(state: SlotState, now: Long) {
        this.state = state
        changedAt = now
    }

    fun requireIdleReport(after: Long) {
        idleReportAfter = maxOf(after, idleReportAfter ?: after)
    }
}

/** The used slots of a server. [onReady] is told when an adapter becomes usable or unusable for grants. */
internal class AdapterSlots(
    private val policy: AllocatorPolicy,
    private val onReady: (AdapterVersion, Boolean) -> Unit,
) {
    private val slots = LinkedHashMap<AdapterVersion, Slot>()

    /** When an adapter left its slot; reports from before that do not bring it back. */
    private val removedAt = LinkedHashMap<AdapterVersion, Long>()

    val used: Int get() = slots.size
    val all: Collection<Slot> get() = slots.values

    operator fun get(adapter: AdapterVersion): Slot? = slots[adapter]

    fun isReady(adapter: AdapterVersion): Boolean = slots[adapter]?.state == SlotState.LOADED

    fun put(adapter: AdapterVersion, state: SlotState, now: Long): Slot {
        val slot = Slot(adapter, state, now)
        slots[adapter] = slot
        removedAt.remove(adapter)
        if (state == SlotState.LOADED) onReady(adapter, true)
        return slot
    }

    fun change(slot: Slot, state: SlotState, now: Long) {
        val wasReady = slot.state == SlotState.LOADED
        slot.change(state, now)
        val isReady = state == SlotState.LOADED
        if (wasReady != isReady) onReady(slot.adapter, isReady)
    }

    fun remove(adapter: AdapterVersion, now: Long) {
        val slot = slots.remove(adapter) ?: return
        removedAt.remove(adapter)
        removedAt[adapter] = now
        if (slot.state == SlotState.LOADED) onReady(adapter, false)
    }

    /** Applies that the server was started anew and holds nothing. Orders under way keep their slots. */
    fun serverRestarted(now: Long) {
        slots.values.toList().forEach { slot ->
            when (slot.state) {
                SlotState.LOADED, SlotState.UNCERTAIN -> remove(slot.adapter, now)
                SlotState.LOADING, SlotState.UNLOADING, SlotState.PENDING_UNLOAD -> Unit
            }
        }
    }

    /** Requires for every slot a report taken after [time] that shows it idle. */
    fun requireIdleReports(time: Long) {
        slots.values.forEach { it.requireIdleReport(time) }
    }

    /**
     * Corrects the slots by [report]. [takenAt] is the earliest local time of the report, or null if it is unknown;
     * [settledAt] is the end of the waiting time of this owner.
     */
    fun reconcile(report: LoadReport, takenAt: Long?, settledAt: Long, now: Long) {
        val reported = report.loaded.mapNotNull(::adapterVersionOf).toSet()
        val isLate = takenAt != null && now - takenAt > policy.reportLagMillis
        if (!isLate) {
            dropMissing(reported, takenAt, now)
            addNew(reported, takenAt, settledAt)
        }
        if (takenAt != null) noteIdle(report.running, takenAt)
    }

    /** Forgets removals that no accepted report can precede any more. */
    fun sweep(now: Long) {
        val removals = removedAt.entries.iterator()
        while (removals.hasNext() && now - removals.next().value > policy.reportLagMillis) removals.remove()
    }

    private fun dropMissing(reported: Set<AdapterVersion>, takenAt: Long?, now: Long) {
        slots.values
            .filter { it.state == SlotState.LOADED && it.adapter !in reported && isLater(takenAt, it.changedAt) }
            .forEach { remove(it.adapter, now) }
    }

    private fun addNew(reported: Set<AdapterVersion>, takenAt: Long?, settledAt: Long) {
        reported
            .filter { it !in slots && isLater(takenAt, removedAt[it] ?: Long.MIN_VALUE) }
            .forEach { adapter ->
                put(adapter, SlotState.LOADED, takenAt ?: Long.MIN_VALUE).requireIdleReport(settledAt)
            }
    }

    private fun noteIdle(running: Map<String, Int>, takenAt: Long) {
        slots.values.forEach { slot ->
            val after = slot.idleReportAfter
            if (after != null && takenAt > after && (running[slot.adapter.engineName] ?: 0) == 0) {
                slot.idleReportAfter = null
            }
        }
    }

    private fun isLater(takenAt: Long?, changedAt: Long): Boolean =
        changedAt == Long.MIN_VALUE || (takenAt != null && takenAt > changedAt)
}
