/*
 * The adapter slots of one engine. Results of orders take precedence: a report corrects a slot only if it was taken
 * after the last order for its adapter, because reports arrive late. A slot is evicted only when no run of a previous
 * owner and no run that lost its VM can still use it. Where that is uncertain, a later report must show the adapter
 * idle first.
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

    /** An eviction needs a report that was taken after this time and shows the adapter idle; null if it needs none. */
    var idleReportAfter: Long? = null

    /** An unload with an unknown result is not ordered again before this time. */
    var retryAt: Long = Long.MIN_VALUE

    /** The incarnation of the server to which the current order was sent. */
    var orderedFor: Long? = null

    /** Whether the slot was uncertain before the current unload order. */
    var wasUncertain: Boolean = false

    fun change(state: SlotState, now: Long) {
        this.state = state
        changedAt = now
    }

    fun requireIdleReport(after: Long) {
        idleReportAfter = maxOf(after, idleReportAfter ?: after)
    }
}

/** The used slots of a server. [onReady] is called when an adapter becomes usable or unusable for grants. */
internal class AdapterSlots(
    private val policy: AllocatorPolicy,
    private val onReady: (AdapterVersion, Boolean) -> Unit,
) {
    private val slots = LinkedHashMap<AdapterVersion, Slot>()

    /** When an adapter was removed from its slot; reports that were taken earlier do not add it again. */
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

    /** The server restarted and holds no adapter. Orders in progress keep their slots. */
    fun serverRestarted(now: Long) {
        slots.values.toList().forEach { slot ->
            when (slot.state) {
                SlotState.LOADED, SlotState.UNCERTAIN -> remove(slot.adapter, now)
                SlotState.LOADING, SlotState.UNLOADING, SlotState.PENDING_UNLOAD -> Unit
            }
        }
    }

    /** Requires for every slot an idle report that was taken after [time]. */
    fun requireIdleReports(time: Long) {
        slots.values.forEach { it.requireIdleReport(time) }
    }

    /**
     * Corrects the slots by [report]. [takenAt] is the earliest local time of the report, or null if it is unknown;
     * [takeoverEndsAt] is the end of the takeover wait of this owner.
     */
    fun reconcile(report: LoadReport, takenAt: Long?, takeoverEndsAt: Long, now: Long) {
        val reported = report.loaded.mapNotNull(::adapterVersionOf).toSet()
        val isLate = takenAt != null && now - takenAt > policy.reportLagMillis
        if (!isLate) {
            dropMissing(reported, takenAt, now)
            addNew(reported, takenAt, takeoverEndsAt)
        }
        if (takenAt != null) noteIdle(report.running, takenAt)
    }

    /** Drops removals that are older than any report that is still accepted. */
    fun sweep(now: Long) {
        val removals = removedAt.entries.iterator()
        while (removals.hasNext() && now - removals.next().value > policy.reportLagMillis) removals.remove()
    }

    private fun dropMissing(reported: Set<AdapterVersion>, takenAt: Long?, now: Long) {
        slots.values
            .filter { it.state == SlotState.LOADED && it.adapter !in reported && isLater(takenAt, it.changedAt) }
            .forEach { remove(it.adapter, now) }
    }

    private fun addNew(reported: Set<AdapterVersion>, takenAt: Long?, takeoverEndsAt: Long) {
        reported
            .filter { it !in slots && isLater(takenAt, removedAt[it] ?: Long.MIN_VALUE) }
            .forEach { adapter ->
                put(adapter, SlotState.LOADED, takenAt ?: Long.MIN_VALUE).requireIdleReport(takeoverEndsAt)
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
