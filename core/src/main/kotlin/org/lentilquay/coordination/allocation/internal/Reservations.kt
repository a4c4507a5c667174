/*
 * The life cycle of reservations: immediate answers, queueing, grants, refusals and expiry.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.ReserveDecision
import org.lentilquay.coordination.allocation.SlotState
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.VmId

/** Answers and queues the reservations of one server. */
internal class Reservations(private val parts: AllocatorParts) {
    private val policy = parts.policy
    private val runs = parts.runs
    private val queue = parts.queue
    private val slots = parts.slots

    fun reserve(request: PeerRequest.Reserve, from: VmId, now: Long): ReserveDecision {
        if (parts.ownership.isDeposed) return ReserveDecision.NotOwner
        runs[request.requestId]?.let { run -> repeatedGrant(run, now)?.let { return it } }
        val failure = unavailableFailure(request, now)
        if (failure != null) {
            queue.remove(request.requestId)
            return ReserveDecision.Refused(failure)
        }
        val waiting = queue[request.requestId]
        if (waiting == null) {
            request.adapter?.let { parts.frequencies.record(it, now) }
            earlyRefusal(request, now)?.let { return it }
            queue.add(request, from, now, parts.isReady(request.adapter))
        } else {
            waiting.polled(request.waitMillis, now)
        }
        advance(now, answering = request.requestId)
        return runs[request.requestId]?.let { ReserveDecision.Granted(it.waitedForLoad) }
            ?: ReserveDecision.Queued(expectedWait(request, now))
    }

    /** Grants queued requests and plans loads. A grant for the request [answering] adds no effect. */
    fun advance(now: Long, answering: String? = null) {
        if (parts.ownership.isDeposed) return
        if (!parts.isOpen) refuseAll(closedFailure())
        var freeGrants = parts.admission.freeGrants(now)
        while (freeGrants > 0) {
            val waiting = queue.next { isEligible(it, now) } ?: break
            grant(waiting, now, isAnswered = waiting.request.requestId == answering)
            freeGrants = parts.admission.freeGrants(now)
        }
        parts.loads.plan(now, mayLoad = parts.mayLoad)
    }

    /** Removes requests that are no longer polled, and refuses those past their deadline. */
    fun expire(now: Long) {
        queue.all
            .filter { now - it.lastPollAt >= policy.pollTimeoutMillis || now >= it.deadline }
            .forEach {
                if (now - it.lastPollAt >= policy.pollTimeoutMillis) {
                    queue.remove(it.request.requestId)
                } else {
                    refuse(it, overloaded(expectedWait(it.request, now)))
                }
            }
    }

    /** Refuses the requests that wait for the failed load of [adapter]. */
    fun loadFailed(adapter: AdapterVersion, now: Long) {
        parts.backoff.failed(adapter, now)
        queue.requestsFor(adapter).forEach { refuse(it, loadFailedFailure(adapter, now)) }
    }

    private fun repeatedGrant(run: Run, now: Long): ReserveDecision? {
        val isUsable = run.confirmedAt != null || parts.isReady(run.adapter)
        if (!isUsable) {
            // The adapter was removed after the grant and before the answer arrived, so the run did not start.
            runs.remove(run.requestId)
            return null
        }
        if (!parts.ownership.mayGrant(now)) return ReserveDecision.Queued(policy.unclaimedWaitMillis)
        run.grantedAt = now
        run.memberGoneAt = null
        return ReserveDecision.Granted(run.waitedForLoad)
    }

    private fun isEligible(waiting: QueuedRequest, now: Long): Boolean =
        now - waiting.lastPollAt <= policy.pollFreshnessMillis && now < waiting.deadline &&
            !runs.isExcluded(waiting.request)

    private fun grant(waiting: QueuedRequest, now: Long, isAnswered: Boolean) {
        val request = waiting.request
        queue.dequeue(waiting)
        runs.add(
            Run(
                requestId = request.requestId,
                adapter = request.adapter,
                from = waiting.from,
                fingerprints = fingerprintsOf(request),
                isSuspect = request.suspectFingerprint != null,
                estimatedTokens = waiting.cost,
                waitedForLoad = waiting.waitedForLoad,
                isInherited = false,
                grantedAt = now,
            ),
        )
        if (!isAnswered) {
            parts.effects +=
                AllocatorEffect.Grant(request.requestId, waiting.from, request.adapter, waiting.waitedForLoad)
        }
    }

    private fun earlyRefusal(request: PeerRequest.Reserve, now: Long): ReserveDecision? {
        val expected = expectedWait(request, now)
        return when {
            expected > request.spillMillis -> ReserveDecision.Busy(expected)
            expected > request.waitMillis -> ReserveDecision.Refused(overloaded(expected))
            else -> null
        }
    }

    private fun expectedWait(request: PeerRequest.Reserve, now: Long): Long {
        val admission = parts.admission
        val isUnclaimed = admission.limit(now) == 0 || !parts.ownership.mayGrant(now)
        val unclaimed = if (isUnclaimed) policy.unclaimedWaitMillis else 0
        val queueWait = parts.estimator.queueMillis(
            queue.tokensAhead(request.team),
            admission.freeGrants(now),
            maxOf(1, admission.limit(now)),
        )
        val loadWait = request.adapter?.takeIf { !slots.isReady(it) }?.let { loadWait(it, now) } ?: 0
        return maxOf(unclaimed, queueWait, loadWait)
    }

    private fun loadWait(adapter: AdapterVersion, now: Long): Long {
        val state = slots[adapter]?.state
        val loads = parts.loads
        return when {
            state == SlotState.PENDING_UNLOAD -> policy.pendingUnloadWaitMillis
            state == SlotState.LOADING || loads.isPlanned(adapter) -> parts.estimator.loadMillis(loadsAhead = 0, now)
            !parts.process.hasReport || !parts.ownership.mayOrder(now) ->
                policy.unclaimedWaitMillis + parts.estimator.loadMillis(loadsAhead = 0, now)
            loads.hasSlot(now) -> parts.estimator.loadMillis(loads.loadsAhead, now)
            else -> (parts.ownership.takeoverEndsAt - now).coerceAtLeast(parts.estimator.serviceMillis) +
                parts.estimator.loadMillis(loads.loadsAhead, now)
        }
    }

    private fun unavailableFailure(request: PeerRequest.Reserve, now: Long): Failure? {
        val adapter = request.adapter
        return when {
            !parts.isOpen -> closedFailure()
            adapter == null || slots[adapter] != null -> null
            parts.process.slotLimit == 0 ->
                Failure(ErrorKind.NO_CAPACITY, "backend server ${parts.process.server.id} has no adapter slots")
            parts.backoff.remainingMillis(adapter, now) > 0 -> loadFailedFailure(adapter, now)
            else -> null
        }
    }

    private fun refuseAll(failure: Failure) {
        queue.all.toList().forEach { refuse(it, failure) }
    }

    private fun refuse(waiting: QueuedRequest, failure: Failure) {
        queue.remove(waiting.request.requestId)
        parts.effects += AllocatorEffect.Refuse(waiting.request.requestId, waiting.from, failure)
    }

    private fun closedFailure(): Failure =
        Failure(ErrorKind.NO_CAPACITY, "backend server ${parts.process.server.id} takes no new work")

    private fun loadFailedFailure(adapter: AdapterVersion, now: Long): Failure = Failure(
        ErrorKind.LOAD_FAILED,
        "backend server ${parts.process.server.id} could not load adapter $adapter",
        parts.backoff.remainingMillis(adapter, now),
    )

    private fun overloaded(expectedWait: Long): Failure = Failure(
        ErrorKind.OVERLOADED,
        "expected wait at backend server ${parts.process.server.id} is $expectedWait ms",
        maxOf(1, expectedWait),
    )
}
