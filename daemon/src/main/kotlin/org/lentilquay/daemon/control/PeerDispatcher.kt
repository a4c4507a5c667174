/*
 * Dispatches the requests of other VMs, and those that this VM sends to itself, to the components that answer them.
 */
package org.lentilquay.daemon.control

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.ServerAllocator
import org.lentilquay.daemon.requests.ActiveCalls
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerHandler

class PeerDispatcher(
    private val control: ControlThread,
    private val owned: OwnedServers,
    private val configuration: ConfigurationLoop,
    private val quota: FleetQuota,
    private val activeCalls: ActiveCalls,
    private val coordination: CoordinationHandler,
) : PeerHandler {
    override suspend fun handle(from: VmId, request: PeerRequest): PeerAnswer = when (request) {
        is PeerRequest.Reserve -> owned[request.server]?.reserve(request, from) ?: notOwner(request.server)
        is PeerRequest.Progress -> update(request.server) {
            progress(request.requestId, request.serverIncarnation, it)
        }
        is PeerRequest.Release -> update(request.server) {
            release(request.requestId, request.outcome, request.serverIncarnation, it)
        }
        is PeerRequest.ServerNotice -> update(request.server) {
            noticed(request.serverIncarnation, request.isLeaving, request.pauseMillis, it)
        }
        is PeerRequest.ActiveRuns -> activeRuns(request)
        is PeerRequest.TakeTokens -> quota.transferTokens(from, request)
        else -> handleCoordination(from, request)
    }

    private suspend fun handleCoordination(from: VmId, request: PeerRequest): PeerAnswer = when (request) {
        is PeerRequest.Probe -> coordination.probe(from, request)
        is PeerRequest.ProbeVia -> coordination.probeVia(request)
        is PeerRequest.RevisionNotice -> {
            configuration.revisionAnnounced(request.revision, from)
            PeerAnswer.Done
        }
        is PeerRequest.FetchConfiguration -> configuration.page(request)
        is PeerRequest.LoadPermit -> coordination.loadPermit(from, request)
        is PeerRequest.LoadDone -> coordination.loadDone(request)
        is PeerRequest.SuspectNotice -> coordination.suspectNotice(request)
        is PeerRequest.IdempotencyStatus -> coordination.callStatus(request)
        else -> PeerAnswer.Refused(Failure(ErrorKind.INTERNAL, "this VM does not support the request"))
    }

    private suspend fun update(
        server: ServerId,
        decision: ServerAllocator.(now: Long) -> List<AllocatorEffect>,
    ): PeerAnswer {
        val mine = owned[server] ?: return notOwner(server)
        control.decide { mine.update(decision) }
        return PeerAnswer.Done
    }

    /** The answer also acknowledges the new fencing number: this VM no longer acts under an older one. */
    private suspend fun activeRuns(request: PeerRequest.ActiveRuns): PeerAnswer =
        if (coordination.acknowledge(request)) {
            PeerAnswer.ActiveRunsAnswer(activeCalls.runsOn(request.server))
        } else {
            PeerAnswer.Refused(Failure(ErrorKind.NO_CAPACITY, "an order to ${request.server} is still in progress"))
        }

    private fun notOwner(server: ServerId) = PeerAnswer.NotOwner(owned.knownOwner(server))
}

/** Handles requests about membership, the weight store, suspect requests and idempotency records. */
interface CoordinationHandler {
    suspend fun probe(from: VmId, probe: PeerRequest.Probe): PeerAnswer

    suspend fun probeVia(request: PeerRequest.ProbeVia): PeerAnswer

    suspend fun loadPermit(from: VmId, request: PeerRequest.LoadPermit): PeerAnswer

    /** Stops acting under fencing numbers older than that of the new owner; false while an order is in progress. */
    suspend fun acknowledge(request: PeerRequest.ActiveRuns): Boolean

    suspend fun loadDone(request: PeerRequest.LoadDone): PeerAnswer

    suspend fun suspectNotice(notice: PeerRequest.SuspectNotice): PeerAnswer

    suspend fun callStatus(request: PeerRequest.IdempotencyStatus): PeerAnswer
}
