/*
 * The components of one allocator and the list to which they add effects.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.InheritedState
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer

/** The shared state of one allocator. */
internal class AllocatorParts(
    server: BackendServer,
    acquiredAt: Long,
    val policy: AllocatorPolicy,
    inherited: InheritedState,
) {
    val ownership = Ownership(policy, server.checksFencing, acquiredAt)
    val clock = EngineClock()
    val process = ServerProcess(policy, server)
    val runs = GrantedRuns(policy)
    val queue = FairQueue(policy).also { it.weights = inherited.teamWeights }
    val slots = AdapterSlots(policy, queue::setReady)
    val frequencies = DecayedFrequencies(policy.frequencyHalfLifeMillis, policy.frequencyEntries)
    val estimator = WaitEstimator(policy)
    val backoff = LoadBackoff(policy)
    val admission = Admission(ownership, process, runs)
    val effects = ArrayList<AllocatorEffect>()
    val loads = LoadPlanner(policy, ownership, process, slots, runs, queue, frequencies, backoff) { effects += it }
    var mayTakeWork = inherited.mayTakeWork

    init {
        inherited.pendingUnloads.forEach { slots.put(it, SlotState.PENDING_UNLOAD, acquiredAt) }
    }

    /** Whether the server takes new work by its configuration and its last report. */
    val isOpen: Boolean get() = mayTakeWork && !process.isLeaving

    /** Whether loads may be planned: the server takes work, and its current process has reported its slots. */
    val mayLoad: Boolean get() = isOpen && process.hasReport

    fun isReady(adapter: AdapterVersion?): Boolean = adapter == null || slots.isReady(adapter)

    /** Handles an incarnation in an answer or report; a new one means a restart with no adapter loaded. */
    fun observeIncarnation(incarnation: Long, now: Long) {
        if (process.observeIncarnation(incarnation, now)) {
            clock.reset(now)
            slots.serverRestarted(now)
        }
    }

    fun takeEffects(): List<AllocatorEffect> = effects.toList().also { effects.clear() }
}
