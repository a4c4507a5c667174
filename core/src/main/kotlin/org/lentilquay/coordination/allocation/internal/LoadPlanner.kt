/*
 * Decides which adapters to load and which to evict. A load is first wanted, while the daemon seeks a permit of the
 * weight store. Only when the permit is there, a slot is made free: permits are the scarce resource, and the evicted
 * adapter serves requests until then. The next load is the one with the most waiting requests, then the one waiting
 * longest. The victim is the loaded adapter with the least decayed request frequency that no run pins, for which no
 * request waits, and that no report is outstanding for.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.state.AdapterVersion

/** Plans loads and unloads. Effects go to [emit]. */
internal class LoadPlanner(
    private val policy: AllocatorPolicy,
    private val ownership: Ownership,
    private val health: ServerHealth,
    private val slots: AdapterSlots,
    private val runs: RunLedger,
    private val queue: FairQueue,
    private val frequencies: DecayedFrequencies,
    private val backoff: LoadBackoff,
    private val emit: (AllocatorEffect) -> Unit,
) {
    /** A load that is sought, in advance or for waiting requests; [hasPermit] once the weight store permits it. */
    private class Want(
        val adapter: AdapterVersion,
        val since: Long,
        /** Loads of this server that were wanted before this one. */
        val loadsAhead: Int,
        var isAdvance: Boolean,
    ) {
        var announced: Int = 0
        var hasPermit: Boolean = false
    }

    private val wants = LinkedHashMap<AdapterVersion, Want>()

    /** The wishes whose loads are ordered, for the average load time. */
    private val ordered = HashMap<AdapterVersion, Want>()
    private var noSlotUntil = Long.MIN_VALUE
    private var nextAdvanceAt = Long.MIN_VALUE

    val wanted: Map<AdapterVersion, Int> get() = wants.keys.associateWith(queue::waitingFor)

    /** Loads that come before a load that is not wanted yet. */
    val loadsAhead: Int get() = maxOf(wants.size, queue.blockedAdapters.size)

    fun isWanted(adapter: AdapterVersion): Boolean = adapter in wants

    /** Whether a slot can be had for one more load. */
    fun hasRoom(now: Long): Boolean = freeSlots() > 0 || (ownership.mayEvict(now) && slots.all.any { isEvictable(it) })

    /** Brings wishes, slots and orders up to date. */
    fun plan(now: Long, mayLoad: Boolean) {
        cleanUncertain(now)
        wants.values.reversed().forEach { if (!mayLoad || !isNeeded(it)) stopWanting(it.adapter) }
        if (!mayLoad || !ownership.mayOrder(now)) return
        placePermitted(now)
        addWants(now)
    }

    /** Renews announced numbers that changed; the permit owner orders the loads by them. */
    fun renewAnnouncements(now: Long) {
        wants.values.filter { !it.hasPermit && it.announced != queue.waitingFor(it.adapter) }.forEach {
            announce(it, now)
        }
    }

    /**
     * Seeks loads in advance while slots are free, which is the case after the server restarted empty: of the adapters
     * asked for most often, with no waiting requests, so that the permit owner prefers every load that is waited for.
     */
    fun planAdvance(now: Long, mayLoad: Boolean) {
        if (now < nextAdvanceAt || now < noSlotUntil || !mayLoad) return
        if (!ownership.mayOrder(now) || !ownership.isSettled(now)) return
        nextAdvanceAt = now + policy.advanceIntervalMillis
        val places = minOf(freeSlots() - wants.size, policy.maximumAdvanceLoads - wants.values.count { it.isAdvance })
        frequencies.mostFrequent(places, policy.advanceFrequency, now) { isLoadable(it, now) }.forEach { adapter ->
            val want = Want(adapter, now, wants.size, isAdvance = true)
            wants[adapter] = want
            announce(want, now)
        }
    }

    /** Takes note of a permit; without a use for it, it is given back. */
    fun permitted(adapter: AdapterVersion) {
        val want = wants[adapter]
        if (want == null) emit(AllocatorEffect.CancelLoadPermit(adapter)) else want.hasPermit = true
    }

    fun stopAll() {
        wants.keys.toList().forEach(::stopWanting)
    }

    /** Ends a load that was ordered and adds the time from the wish to the end to [estimator]. */
    fun loadEnded(adapter: AdapterVersion, isLoaded: Boolean, estimator: WaitEstimator, now: Long) {
        val want = ordered.remove(adapter) ?: return
        if (isLoaded) estimator.observeLoad(now - want.since, want.loadsAhead, now)
    }

    /** Holds new loads back, because the server has fewer free slots than assumed. */
    fun noFreeSlot(now: Long) {
        noSlotUntil = now + policy.minimumLoadBackoffMillis
    }

    private fun isNeeded(want: Want): Boolean {
        if (queue.waitingFor(want.adapter) > 0) want.isAdvance = false
        val hasUse = if (want.isAdvance) freeSlots() >= wants.size else queue.waitingFor(want.adapter) > 0
        return hasUse && slots[want.adapter] == null
    }

    private fun isLoadable(adapter: AdapterVersion, now: Long): Boolean =
        adapter !in wants && slots[adapter] == null && backoff.remainingMillis(adapter, now) == 0L

    private fun freeSlots(): Int = health.slotLimit - slots.used

    private fun isEvictable(slot: Slot): Boolean =
        slot.state == SlotState.LOADED && isUnused(slot) && queue.waitingFor(slot.adapter) == 0

    private fun isUnused(slot: Slot): Boolean = slot.idleReportAfter == null && runs.pins(slot.adapter) == 0

    private fun cleanUncertain(now: Long) {
        if (!ownership.mayEvict(now)) return
        slots.all
            .filter { it.state == SlotState.UNCERTAIN && isUnused(it) && now >= it.retryAt }
            .forEach { unload(it, now) }
    }

    private fun placePermitted(now: Long) {
        for (want in wants.values.filter { it.hasPermit }.sortedBy { it.isAdvance }) {
            if (freeSlots() > 0) {
                wants.remove(want.adapter)
                ordered[want.adapter] = want
                slots.put(want.adapter, SlotState.LOADING, now).orderedFor = health.incarnation
                emit(AllocatorEffect.Load(want.adapter))
            }
        }
        val permitted = wants.values.filter { it.hasPermit }
        var missing = permitted.size - slots.all.count { it.state == SlotState.UNLOADING }
        for (want in permitted.reversed()) {
            if (missing <= 0) break
            val victim = if (ownership.mayEvict(now)) victim(now) else null
            if (victim == null) stopWanting(want.adapter) else unload(victim, now)
            missing--
        }
    }

    private fun addWants(now: Long) {
        if (now < noSlotUntil || wants.size >= policy.maximumWantedLoads || queue.blockedAdapters.isEmpty()) return
        var places = freeSlots() - wants.values.count { !it.isAdvance }
        if (ownership.mayEvict(now)) places += slots.all.count { isEvictable(it) || it.state == SlotState.UNLOADING }
        while (places > 0 && wants.size < policy.maximumWantedLoads) {
            val adapter = mostWanted(now) ?: return
            val want = Want(adapter, now, wants.size, isAdvance = false)
            wants[adapter] = want
            announce(want, now)
            places--
        }
    }

    private fun mostWanted(now: Long): AdapterVersion? = queue.blockedAdapters
        .filter { isLoadable(it, now) }
        .minWithOrNull(compareBy({ -queue.waitingFor(it) }, { queue.oldestFor(it) }))

    private fun victim(now: Long): Slot? = slots.all
        .filter(::isEvictable)
        .minWithOrNull(
            compareBy({ frequencies.frequency(it.adapter, now) }, { frequencies.lastRequestAt(it.adapter) }),
        )

    private fun unload(slot: Slot, now: Long) {
        slot.wasUncertain = slot.state == SlotState.UNCERTAIN
        slots.change(slot, SlotState.UNLOADING, now)
        slot.orderedFor = health.incarnation
        emit(AllocatorEffect.Unload(slot.adapter))
    }

    private fun announce(want: Want, now: Long) {
        want.announced = queue.waitingFor(want.adapter)
        val oldest = if (want.announced > 0) queue.oldestFor(want.adapter) else now
        emit(AllocatorEffect.RequestLoadPermit(want.adapter, want.announced, now - oldest))
    }

    private fun stopWanting(adapter: AdapterVersion) {
        wants.remove(adapter)
        emit(AllocatorEffect.CancelLoadPermit(adapter))
    }
}
