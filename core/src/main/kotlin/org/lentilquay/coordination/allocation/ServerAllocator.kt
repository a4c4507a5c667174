/*
 * The decisions of the owner of one backend server: reservations, adapter pins, the queue, admission and loads
 * (docs/design.md, sections 4.1, 4.2, 4.9, 4.10 and 4.11). The allocator has no clock and does no input or output:
 * every call takes `now`, a monotonic time in milliseconds that never decreases, and returns effects that the daemon
 * carries out in order. Single-threaded use.
 *
 * Expected failures are decisions or effects, not exceptions.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.coordination.allocation.internal.AllocatorParts
import org.lentilquay.coordination.allocation.internal.Reservations
import org.lentilquay.coordination.allocation.internal.Run
import org.lentilquay.coordination.allocation.internal.Slot
import org.lentilquay.protocol.ActiveRun
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The state that a new owner inherits through the ownership record. */
data class InheritedState(
    /** Adapters that previous owners may still unload on a server that ignores fencing numbers. */
    val pendingUnloads: Set<AdapterVersion> = emptySet(),
    val teamWeights: Map<TeamId, Int> = emptyMap(),
    val mayTakeWork: Boolean = true,
)

/** Creates the allocator of [server] for a VM that acquired its ownership with [fence] at [acquiredAt]. */
fun serverAllocator(
    server: BackendServer,
    fence: Long,
    acquiredAt: Long,
    policy: AllocatorPolicy = AllocatorPolicy(),
    inherited: InheritedState = InheritedState(),
): ServerAllocator = ServerAllocator(server, fence, acquiredAt, policy, inherited)

/** Makes the decisions for one backend server while this VM owns it. */
class ServerAllocator internal constructor(
    server: BackendServer,
    val fence: Long,
    acquiredAt: Long,
    private val policy: AllocatorPolicy,
    inherited: InheritedState,
) {
    private val parts = AllocatorParts(server, acquiredAt, policy, inherited)
    private val reservations = Reservations(parts)
    private val ownership = parts.ownership
    private val process = parts.process
    private val runs = parts.runs
    private val queue = parts.queue
    private val slots = parts.slots
    private val loads = parts.loads

    /** The latest known incarnation of the server, or null before its first answer or report. */
    val serverIncarnation: Long? get() = process.incarnation

    /**
     * Reserves a batch slot for a request; a call with the same request id polls the reservation. Effects for other
     * requests and loads are returned by the next call that returns effects, so call [tick] after
     * [ReserveDecision.Queued].
     */
    fun reserve(request: PeerRequest.Reserve, from: VmId, now: Long): ReserveDecision =
        reservations.reserve(request, from, now)

    /** The server began to answer [requestId]. */
    fun progress(requestId: String, serverIncarnation: Long, now: Long): List<AllocatorEffect> {
        parts.observeIncarnation(serverIncarnation, now)
        val run = runs[requestId]
        if (run != null && serverIncarnation == process.incarnation) runs.confirm(run, now)
        return finish(now)
    }

    /**
     * An answer of the process [serverIncarnation] said that the server [isLeaving], or that it takes no requests for
     * [pauseMillis].
     */
    fun noticed(serverIncarnation: Long, isLeaving: Boolean, pauseMillis: Long, now: Long): List<AllocatorEffect> {
        parts.observeIncarnation(serverIncarnation, now)
        if (serverIncarnation == process.incarnation) process.noticed(isLeaving, pauseMillis, now)
        return finish(now)
    }

    /** Ends the reservation of [requestId] or removes it from the queue. Idempotent. */
    fun release(
        requestId: String,
        outcome: RunOutcome,
        serverIncarnation: Long?,
        now: Long,
    ): List<AllocatorEffect> {
        val isRepeated = runs.wasReleased(requestId)
        queue.remove(requestId)
        val run = runs.remove(requestId)
        runs.recordRelease(requestId, now)
        serverIncarnation?.let { parts.observeIncarnation(it, now) }
        if (run != null || !isRepeated) applyOutcome(run, outcome, serverIncarnation, now)
        return finish(now)
    }

    /** The engine sent a load report. */
    fun report(report: LoadReport, now: Long): List<AllocatorEffect> {
        parts.observeIncarnation(report.incarnation, now)
        if (process.isNewer(report)) {
            val takenAt = parts.clock.earliestLocalTime(report.asOfMillis, now)
            process.accept(report, takenAt, now)
            slots.reconcile(report, takenAt, ownership.takeoverEndsAt, now)
            if (takenAt != null) endFinishedRuns(report, takenAt, now)
        }
        return finish(now)
    }

    /** A VM listed its [activeRuns], which a previous owner granted; they pin their adapters. */
    fun activeRuns(from: VmId, activeRuns: List<ActiveRun>, now: Long): List<AllocatorEffect> {
        activeRuns
            .filter { runs[it.requestId] == null && !runs.wasReleased(it.requestId) && queue[it.requestId] == null }
            .forEach { active ->
                val run = Run(
                    requestId = active.requestId,
                    adapter = active.adapter,
                    from = from,
                    fingerprints = setOf(active.fingerprint),
                    isSuspect = false,
                    estimatedTokens = 0,
                    waitedForLoad = false,
                    isInherited = true,
                    grantedAt = now,
                )
                runs.add(run)
                if (active.answered) runs.confirm(run, now)
            }
        return finish(now)
    }

    /** [vm] departed. Its queued requests end; its runs pin their adapters until a later report shows them idle. */
    fun memberGone(vm: VmId, now: Long): List<AllocatorEffect> {
        queue.all.filter { it.from == vm }.forEach { queue.remove(it.request.requestId) }
        runs.memberGone(vm, now)
        return finish(now)
    }

    /** The server accepted an ownership claim that was sent at [sentAt] with this owner's fencing number. */
    fun claimSucceeded(sentAt: Long, engineTimeMillis: Long, now: Long): List<AllocatorEffect> {
        ownership.claimSucceeded(sentAt)
        parts.clock.observe(sentAt, engineTimeMillis)
        return finish(now)
    }

    /** The server or the ownership record names a later owner. */
    fun claimRejected(now: Long): List<AllocatorEffect> {
        if (!ownership.isDeposed) {
            ownership.depose()
            loads.cancelAll()
            queue.all.toList().forEach {
                queue.remove(it.request.requestId)
                parts.effects += AllocatorEffect.NotOwner(it.request.requestId, it.from)
            }
        }
        return finish(now)
    }

    /** This VM was suspended until [now]; it starts again like a new owner. */
    fun resumedAfterPause(now: Long): List<AllocatorEffect> {
        ownership.restart(now)
        runs.inheritAll(now)
        slots.requireIdleReports(ownership.takeoverEndsAt)
        return finish(now)
    }

    /** Sets whether the ownership is unconfirmed, as after an expired lease. Servers that check fencing ignore this. */
    fun ownershipUnconfirmed(isUnconfirmed: Boolean, now: Long): List<AllocatorEffect> {
        ownership.isUnconfirmed = isUnconfirmed && !ownership.checksFencing
        return finish(now)
    }

    /** Every VM in the VM list acknowledged the fencing number, so no previous owner can still send an order. */
    fun allVmsAcknowledged(now: Long): List<AllocatorEffect> {
        ownership.isAcknowledgedByAll = true
        return pendingUnloadCleared(now)
    }

    /** The previous owner acknowledged the fencing number, restarted or left, so it cannot send its pending unload. */
    fun pendingUnloadCleared(now: Long): List<AllocatorEffect> {
        slots.all.filter { it.state == SlotState.PENDING_UNLOAD }.toList().forEach { slots.remove(it.adapter, now) }
        return finish(now)
    }

    /** The load permit for [adapter] was granted; a permit that is no longer needed is returned. */
    fun loadPermitted(adapter: AdapterVersion, now: Long): List<AllocatorEffect> {
        loads.permitted(adapter)
        return finish(now)
    }

    /** The order of an [AllocatorEffect.Load] ended. */
    fun loadFinished(adapter: AdapterVersion, result: LoadResult, now: Long): List<AllocatorEffect> {
        val slot = slots[adapter]?.takeIf { it.state == SlotState.LOADING } ?: return finish(now)
        loads.loadEnded(adapter, result == LoadResult.LOADED, parts.estimator, now)
        val isSameProcess = slot.orderedFor == process.incarnation
        // An adapter that was ordered during the takeover wait may still serve runs that a previous owner granted.
        if (slot.changedAt < ownership.takeoverEndsAt) slot.requireIdleReport(ownership.takeoverEndsAt)
        when (result) {
            LoadResult.LOADED -> {
                slots.change(slot, if (isSameProcess) SlotState.LOADED else SlotState.UNCERTAIN, now)
                parts.backoff.succeeded(adapter)
            }
            LoadResult.FAILED -> {
                slots.remove(adapter, now)
                reservations.loadFailed(adapter, now)
            }
            LoadResult.NO_FREE_SLOT -> {
                slots.remove(adapter, now)
                loads.noFreeSlot(now)
            }
            LoadResult.NOT_SENT -> slots.remove(adapter, now)
            LoadResult.UNKNOWN -> {
                slots.change(slot, SlotState.UNCERTAIN, now)
                reservations.loadFailed(adapter, now)
            }
        }
        return finish(now)
    }

    /** The order of an [AllocatorEffect.Unload] ended. */
    fun unloadFinished(adapter: AdapterVersion, result: UnloadResult, now: Long): List<AllocatorEffect> {
        val slot = slots[adapter]?.takeIf { it.state == SlotState.UNLOADING } ?: return finish(now)
        val isSameProcess = slot.orderedFor == process.incarnation
        when (result) {
            UnloadResult.UNLOADED -> slots.remove(adapter, now)
            UnloadResult.STILL_LOADED ->
                if (isSameProcess) slots.change(slot, SlotState.LOADED, now) else slots.remove(adapter, now)
            UnloadResult.NOT_SENT -> when {
                !isSameProcess -> slots.remove(adapter, now)
                slot.wasUncertain -> retryUnload(slot, now)
                else -> slots.change(slot, SlotState.LOADED, now)
            }
            UnloadResult.UNKNOWN -> retryUnload(slot, now)
        }
        return finish(now)
    }

    private fun retryUnload(slot: Slot, now: Long) {
        slots.change(slot, SlotState.UNCERTAIN, now)
        slot.retryAt = now + policy.unloadRetryMillis
    }

    /** Applies a new configuration. */
    fun reconfigure(
        server: BackendServer,
        mayTakeWork: Boolean,
        teamWeights: Map<TeamId, Int>,
        now: Long,
    ): List<AllocatorEffect> {
        process.server = server
        ownership.checksFencing = server.checksFencing
        if (server.checksFencing) ownership.isUnconfirmed = false
        queue.weights = teamWeights
        parts.mayTakeWork = mayTakeWork
        return finish(now)
    }

    /** Runs the time-based work that is due at [now]. Call it every 50 to 100 ms and after a queued reservation. */
    fun tick(now: Long): List<AllocatorEffect> {
        reservations.expire(now)
        runs.sweep(now)
        slots.sweep(now)
        parts.backoff.sweep(now)
        reservations.advance(now)
        if (!ownership.isDeposed) loads.planPrefetches(now, parts.mayLoad)
        loads.renewPermitRequests(now)
        return parts.takeEffects()
    }

    /** The state for the status page. */
    fun snapshot(now: Long): AllocatorSnapshot = AllocatorSnapshot(
        server = process.server.id,
        fence = fence,
        state = ownership.state(now),
        serverIncarnation = process.incarnation,
        knownWarm = process.isKnownWarm,
        mayTakeWork = parts.isOpen,
        slotLimit = process.slotLimit,
        slots = slots.all.map {
            SlotSnapshot(
                adapter = it.adapter,
                state = it.state,
                pins = runs.pins(it.adapter),
                waiting = queue.waitingFor(it.adapter),
                decayedFrequency = parts.frequencies.frequency(it.adapter, now),
                awaitsIdleReport = it.idleReportAfter != null,
            )
        },
        plannedLoads = loads.plannedLoads,
        queuedByTeam = queue.sizeByTeam,
        inFlight = runs.inFlight,
        inFlightLimit = parts.admission.limit(now),
        unconfirmed = runs.unconfirmed,
        coldLimit = process.coldLimit,
        averageServiceMillis = parts.estimator.serviceMillis,
        averageLoadMillis = parts.estimator.loadMillis(loadsAhead = 0, now),
    )

    private fun applyOutcome(run: Run?, outcome: RunOutcome, serverIncarnation: Long?, now: Long) {
        val slot = run?.adapter?.let { slots[it] }
        when (outcome) {
            RunOutcome.COMPLETED -> run?.let { parts.estimator.observeRun(now - it.firstGrantedAt, it.estimatedTokens) }
            RunOutcome.NOT_STARTED -> Unit
            RunOutcome.ADAPTER_MISSING ->
                if (slot != null && slot.state == SlotState.LOADED && slot.changedAt <= run.firstGrantedAt) {
                    slots.remove(slot.adapter, now)
                }
            RunOutcome.SERVER_OVERLOADED -> process.pause(now)
            // The server may continue a run that its VM cancelled.
            RunOutcome.CANCELLED, RunOutcome.WRONG_ANSWER -> slot?.requireIdleReport(now)
            RunOutcome.CONNECTION_LOST -> {
                slot?.requireIdleReport(now)
                if (serverIncarnation == null || serverIncarnation == process.incarnation) process.suspectColdStart(now)
            }
        }
    }

    private fun endFinishedRuns(report: LoadReport, takenAt: Long, now: Long) {
        runs.endFinished(report.running, process.server.serves, takenAt, now)
            .mapNotNull { run -> run.adapter?.let { slots[it] } }
            .forEach { it.requireIdleReport(now) }
    }

    private fun finish(now: Long): List<AllocatorEffect> {
        reservations.advance(now)
        return parts.takeEffects()
    }
}
