/*
 * The parts of one allocator, wired together, with the list of effects that they add to.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.InheritedState
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer

/** State shared by the decisions of one allocator. */
internal class AllocatorParts(
    server: BackendServer,
    acquiredAt: Long,
    val policy: AllocatorPolicy,
    inherited: InheritedState,
) {
    val ownership = Ownership(policy, server.checksFencing, acquiredAt)
    val clock = EngineClock()
    val health = ServerHealth(policy, server)
    val runs = RunLedger(policy)
    val queue = FairQueue(policy).also { it.weights = inherited.teamWeights }
    val slots = AdapterSlots(policy, queue::setReady)
    val frequencies = DecayedFrequencies(policy.frequencyHalfLifeMillis, policy.frequencyEntries)
    val estimator = WaitEstimator(policy)
    val backoff = LoadBackoff(policy)
    val admission = Admission(ownership, health, runs)
    val effects = ArrayList<AllocatorEffect>()
    val loads = LoadPlanner(policy, ownership, health, slots, runs, queue, frequencies, backoff) { effects += it }
    var mayTakeWork = inherited.mayTakeWork

    init {
        inherited.pendingUnloads.forEach { slots.put(it, SlotState.PENDING_UNLOAD, acquiredAt) }
    }

    /** Whether the server takes new work as far as configuration and reports say. */
    val isOpen: Boolean get() = mayTakeWork && !health.isLeaving

    /** Whether loads make sense: the server takes work, and a report of its current process showed its slots. */
    val mayLoad: Boolean get() = isOpen && health.hasReport

    fun isReady(adapter: AdapterVersion?): Boolean = adapter == null || slots.isReady(adapter)

    /** Notes an incarnation; a new one means that the server restarted with no adapter loaded. */
    fun observeIncarnation(incarnation: Long, now: Long) {
        if (health.observeIncarnation(incarnation, now)) {
            clock.reset(now)
            slots.serverRestarted(now)
        }
    }

    fun takeEffects(): List<AllocatorEffect> = effects.toList().also { effects.clear() }
}
