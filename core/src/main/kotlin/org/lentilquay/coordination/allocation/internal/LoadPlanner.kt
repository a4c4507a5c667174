/*
 * Decides which adapters to load and which to evict. A load is planned first, while the daemon requests a load permit
 * for the weight store. A slot is made free only after the permit was granted: permits are the scarce resource, and the
 * adapter to be evicted serves requests until then. The adapter with the most waiting requests is loaded first, then
 * the one whose requests have waited longest. The evicted adapter is the one with the lowest decayed request frequency
 * among those that no run pins, for which no request waits, and that need no idle report.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.state.AdapterVersion

/** Plans the loads and unloads of one server. Effects go to [emit]. */
internal class LoadPlanner(
    private val policy: AllocatorPolicy,
    private val ownership: Ownership,
    private val process: ServerProcess,
    private val slots: AdapterSlots,
    private val runs: GrantedRuns,
    private val queue: FairQueue,
    private val frequencies: DecayedFrequencies,
    private val backoff: LoadBackoff,
    private val emit: (AllocatorEffect) -> Unit,
) {
    /** A load for waiting requests, or a prefetch, for which a load permit is requested or held. */
    private class PlannedLoad(
        val adapter: AdapterVersion,
        val since: Long,
        /** The number of loads that were planned before this one. */
        val loadsAhead: Int,
        var isPrefetch: Boolean,
    ) {
        /** The number of waiting requests in the last permit request. */
        var requestedFor: Int = 0
        var hasPermit: Boolean = false
    }

    private val planned = LinkedHashMap<AdapterVersion, PlannedLoad>()

    /** Loads that were ordered and have not ended, for the average load time. */
    private val orderedLoads = HashMap<AdapterVersion, PlannedLoad>()
    private var noSlotUntil = Long.MIN_VALUE
    private var nextPrefetchAt = Long.MIN_VALUE

    /** The planned loads with the number of requests that wait for each. */
    val plannedLoads: Map<AdapterVersion, Int> get() = planned.keys.associateWith(queue::waitingFor)

    /** The number of loads that come before a load that is not planned yet. */
    val loadsAhead: Int get() = maxOf(planned.size, queue.blockedAdapters.size)

    fun isPlanned(adapter: AdapterVersion): Boolean = adapter in planned

    /** Whether a slot is free or can be made free for one more load. */
    fun hasSlot(now: Long): Boolean = freeSlots() > 0 || (ownership.mayEvict(now) && slots.all.any { isEvictable(it) })

    /** Plans loads, cancels those that are no longer needed, and orders those that have a permit and a slot. */
    fun plan(now: Long, mayLoad: Boolean) {
        unloadUncertain(now)
        planned.values.reversed().forEach { if (!mayLoad || !isNeeded(it)) cancelLoad(it.adapter) }
        if (!mayLoad || !ownership.mayOrder(now)) return
        startPermitted(now)
        planLoads(now)
    }

    /**
     * Repeats permit requests whose number of waiting requests changed. The VM that owns the weight store, and grants
     * its load permits, sorts loads by that number.
     */
    fun renewPermitRequests(now: Long) {
        planned.values.filter { !it.hasPermit && it.requestedFor != queue.waitingFor(it.adapter) }.forEach {
            requestPermit(it, now)
        }
    }

    /**
     * Plans prefetches of the most frequently requested adapters while slots are free, as after a server restart. A
     * prefetch has no waiting requests, so the VM that grants permits prefers every load that requests wait for.
     */
    fun planPrefetches(now: Long, mayLoad: Boolean) {
        if (now < nextPrefetchAt || now < noSlotUntil || !mayLoad) return
        if (!ownership.mayOrder(now) || !ownership.isSettled(now)) return
        nextPrefetchAt = now + policy.prefetchIntervalMillis
        val number =
            minOf(freeSlots() - planned.size, policy.maximumPrefetches - planned.values.count { it.isPrefetch })
        frequencies.mostFrequent(number, policy.prefetchFrequency, now) { isLoadable(it, now) }.forEach { adapter ->
            val load = PlannedLoad(adapter, now, planned.size, isPrefetch = true)
            planned[adapter] = load
            requestPermit(load, now)
        }
    }

    /** The load permit for [adapter] was granted; a permit that is no longer needed is returned. */
    fun permitted(adapter: AdapterVersion) {
        val load = planned[adapter]
        if (load == null) emit(AllocatorEffect.CancelLoadPermit(adapter)) else load.hasPermit = true
    }

    fun cancelAll() {
        planned.keys.toList().forEach(::cancelLoad)
    }

    /** The load of [adapter] ended; [estimator] gets the time since it was planned. */
    fun loadEnded(adapter: AdapterVersion, isLoaded: Boolean, estimator: WaitEstimator, now: Long) {
        val load = orderedLoads.remove(adapter) ?: return
        if (isLoaded) estimator.observeLoad(now - load.since, load.loadsAhead, now)
    }

    /** Delays new loads because the server has fewer free slots than assumed. */
    fun noFreeSlot(now: Long) {
        noSlotUntil = now + policy.minimumLoadBackoffMillis
    }

    private fun isNeeded(load: PlannedLoad): Boolean {
        if (queue.waitingFor(load.adapter) > 0) load.isPrefetch = false
        val hasUse = if (load.isPrefetch) freeSlots() >= planned.size else queue.waitingFor(load.adapter) > 0
        return hasUse && slots[load.adapter] == null
    }

    private fun isLoadable(adapter: AdapterVersion, now: Long): Boolean =
        adapter !in planned && slots[adapter] == null && backoff.remainingMillis(adapter, now) == 0L

    private fun freeSlots(): Int = process.slotLimit - slots.used

    private fun isEvictable(slot: Slot): Boolean =
        slot.state == SlotState.LOADED && isUnused(slot) && queue.waitingFor(slot.adapter) == 0

    private fun isUnused(slot: Slot): Boolean = slot.idleReportAfter == null && runs.pins(slot.adapter) == 0

    private fun unloadUncertain(now: Long) {
        if (!ownership.mayEvict(now)) return
        slots.all
            .filter { it.state == SlotState.UNCERTAIN && isUnused(it) && now >= it.retryAt }
            .forEach { unload(it, now) }
    }

    private fun startPermitted(now: Long) {
        for (load in planned.values.filter { it.hasPermit }.sortedBy { it.isPrefetch }) {
            if (freeSlots() > 0) {
                planned.remove(load.adapter)
                orderedLoads[load.adapter] = load
                slots.put(load.adapter, SlotState.LOADING, now).orderedFor = process.incarnation
                emit(AllocatorEffect.Load(load.adapter))
            }
        }
        val permitted = planned.values.filter { it.hasPermit }
        var missingSlots = permitted.size - slots.all.count { it.state == SlotState.UNLOADING }
        for (load in permitted.reversed()) {
            if (missingSlots <= 0) break
            val candidate = if (ownership.mayEvict(now)) evictionCandidate(now) else null
            if (candidate == null) cancelLoad(load.adapter) else unload(candidate, now)
            missingSlots--
        }
    }

    private fun planLoads(now: Long) {
        if (now < noSlotUntil || planned.size >= policy.maximumPlannedLoads || queue.blockedAdapters.isEmpty()) return
        var available = freeSlots() - planned.values.count { !it.isPrefetch }
        if (ownership.mayEvict(now)) available += slots.all.count { isEvictable(it) || it.state == SlotState.UNLOADING }
        while (available > 0 && planned.size < policy.maximumPlannedLoads) {
            val adapter = mostRequested(now) ?: return
            val load = PlannedLoad(adapter, now, planned.size, isPrefetch = false)
            planned[adapter] = load
            requestPermit(load, now)
            available--
        }
    }

    private fun mostRequested(now: Long): AdapterVersion? = queue.blockedAdapters
        .filter { isLoadable(it, now) }
        .minWithOrNull(compareBy({ -queue.waitingFor(it) }, { queue.oldestFor(it) }))

    private fun evictionCandidate(now: Long): Slot? = slots.all
        .filter(::isEvictable)
        .minWithOrNull(
            compareBy({ frequencies.frequency(it.adapter, now) }, { frequencies.lastRequestAt(it.adapter) }),
        )

    private fun unload(slot: Slot, now: Long) {
        slot.wasUncertain = slot.state == SlotState.UNCERTAIN
        slots.change(slot, SlotState.UNLOADING, now)
        slot.orderedFor = process.incarnation
        emit(AllocatorEffect.Unload(slot.adapter))
    }

    private fun requestPermit(load: PlannedLoad, now: Long) {
        load.requestedFor = queue.waitingFor(load.adapter)
        val oldest = if (load.requestedFor > 0) queue.oldestFor(load.adapter) else now
        emit(AllocatorEffect.RequestLoadPermit(load.adapter, load.requestedFor, now - oldest))
    }

    private fun cancelLoad(adapter: AdapterVersion) {
        planned.remove(adapter)
        emit(AllocatorEffect.CancelLoadPermit(adapter))
    }
}
