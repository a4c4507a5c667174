/*
 * Acquires and releases ownership: for each backend server and for the weight store, if this VM is among the first
 * candidates, it observes the owner, takes over when due, and starts or stops acting as the owner. Also records orders
 * to servers that ignore fencing numbers. Docs: docs/design.md, section 4.1.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.allocation.InheritedState
import org.lentilquay.coordination.allocation.serverAllocator
import org.lentilquay.coordination.ownership.HandoverLimiter
import org.lentilquay.coordination.ownership.OwnerState
import org.lentilquay.coordination.ownership.OwnershipCandidates
import org.lentilquay.coordination.ownership.OwnershipDecider
import org.lentilquay.coordination.ownership.SessionLease
import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.daemon.logs.event
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.BackendServer
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.PlatformClient
import java.util.UUID

private val log = KotlinLogging.logger {}

class OwnershipLoop(
    private val own: VmId,
    private val incarnation: Incarnation,
    private val context: ControlContext,
    private val members: MembershipLoop,
    private val servers: ServerAvailability,
    private val peers: PeerCaller,
    private val lease: SessionLease,
    private val platform: PlatformClient,
    private val owned: OwnedServers,
    private val permits: LoadPermitSource,
    private val weightStore: WeightStoreOwner,
    private val drained: () -> Set<DomainId>,
    private val scope: CoroutineScope,
) : OrderRecorder {
    private val control = context.control
    private val membership = members.membership
    private val handoverLimiter = HandoverLimiter()
    private val resources = HashMap<String, ResourceOwnership>()

    /** Cached rankings of [rankedMembers] by resource; ranking at each tick would take a third of a core. */
    private val rankings = HashMap<String, List<VmId>>()
    private var rankedMembers: Set<VmId> = emptySet()

    /** Set during a planned stop: ownerships are released and none is acquired. */
    @Volatile
    var isStopping: Boolean = false

    /** Starts the ownership steps that are due. Call on the control thread, several times a second. */
    fun tick() {
        val drainedDomains = drained()
        val ready = members.readyMembers().filterKeys { membership.domainOf(it) !in drainedDomains }
        if (ready.keys != rankedMembers) {
            rankedMembers = ready.keys.toSet()
            rankings.clear()
        }
        servers.all.forEach { tick(it.id.text, !it.checksFencing, ready) }
        tick(weightStore.resource, needsLeaseWait = false, ready)
        val configured = servers.all.mapTo(HashSet()) { it.id }
        owned.all.filter { it.server.id !in configured }.forEach { owned.remove(it.server.id) }
        rankings.keys.removeIf { it != weightStore.resource && ServerId(it) !in configured }
    }

    /** Marks all ownerships as unconfirmed, after a pause or an expired lease. Call on the control thread. */
    fun markUnconfirmed() {
        resources.values.forEach { it.decider.markUnconfirmed() }
        owned.all.filterNot { it.server.checksFencing }.forEach { it.update { now -> ownershipUnconfirmed(true, now) } }
    }

    /** Whether this VM has released all its ownerships. */
    fun hasReleasedAll(): Boolean = resources.values.none { it.decider.ownership != null }

    /** The owner according to the ownership record as last read, or null if it was not read. */
    fun recordedOwner(server: ServerId): VmId? = resources[server.text]?.decider?.owner

    /** The ready members as ranked for [resource], the preferred one first. Call on the control thread. */
    fun ranked(resource: String): List<VmId> {
        val ready = members.readyMembers().keys.filter { membership.domainOf(it) !in drained() }
        return rendezvousRanking(resource, ready) { it.text }
    }

    /** Acknowledges a new owner and stops acting under older fencing numbers; false while an own order is running. */
    suspend fun acknowledge(request: PeerRequest.ActiveRuns): Boolean = control.decide {
        val isAcknowledged = resources[request.server.text]?.decider?.acknowledge(request.fence) ?: true
        if (isAcknowledged) owned.superseded(request.server, request.fence, request.owner)
        isAcknowledged
    }

    /** The process on [vm] has ended or was restarted. Call on the control thread. */
    fun processEnded(vm: VmId) {
        val current = membership.incarnationOf(vm)
        resources.values.forEach { resource ->
            if (current != null) resource.decider.restarted(vm, current)
            if (membership.hasDeparted(vm)) resource.decider.vmDeparted(vm)
        }
        owned.all.forEach { it.update { now -> memberGone(vm, now) } }
        weightStore.memberGone(vm)
    }

    override suspend fun begin(server: BackendServer, order: AdapterOrder): Boolean {
        val resource = control.decide { resources[server.id.text] } ?: return false
        return resource.beginOrder(order.kind, order.adapter, { lease.isValid(context.now) }, membership::members)
    }

    override suspend fun finished(server: BackendServer, isCertain: Boolean) {
        control.decide { resources[server.id.text] }?.finished(isCertain)
    }

    private fun tick(name: String, needsLeaseWait: Boolean, ready: Map<VmId, Long>) {
        val ranked = rankings.getOrPut(name) { rendezvousRanking(name, ready.keys) { it.text } }
        val isCandidate = ranked.indexOf(own) in 0 until MAXIMUM_CANDIDATES
        val resource = resources[name] ?: if (isCandidate) newResource(name, needsLeaseWait) else return
        observeOwner(resource)
        // No event follows when a dead VM becomes permanently gone, so this is checked at each tick.
        resource.decider.formerOwners.filter(membership::hasDeparted).forEach(resource.decider::vmDeparted)
        val view = OwnershipCandidates(ranked, ranked.firstOrNull()?.let { ready[it] } ?: 0, isStopping)
        // The preferred member sees only in the record that the present owner has released the resource.
        val isPreferred = ranked.firstOrNull() == own && resource.decider.ownership == null
        val mustRead = isPreferred && context.now - resource.lastReadAt >= PREFERRED_READ_INTERVAL_MILLIS
        if (!resource.isBusy) {
            resource.isBusy = true
            scope.launch {
                try {
                    if (mustRead) resource.read()
                    resource.step(view) { startActingAsOwner(resource) }
                } finally {
                    resource.isBusy = false
                }
            }
        }
        syncWithDecider(resource)
    }

    private fun newResource(name: String, needsLeaseWait: Boolean): ResourceOwnership {
        val newNonce = { UUID.randomUUID().toString() }
        val decider = OwnershipDecider(name, own, incarnation, needsLeaseWait, handoverLimiter, newNonce)
        return ResourceOwnership(name, decider, platform, control) { context.now }.also { resources[name] = it }
    }

    private fun observeOwner(resource: ResourceOwnership) {
        val owner = resource.decider.owner ?: return
        val state = when {
            membership.hasDeparted(owner) -> OwnerState.GONE
            else -> when (membership.stateOf(owner)) {
                MemberState.ALIVE -> OwnerState.ALIVE
                MemberState.SUSPECT -> OwnerState.SUSPECT
                MemberState.LEFT -> OwnerState.LEFT
                MemberState.DEAD, null -> OwnerState.DEAD
            }
        }
        resource.decider.ownerState(state, context.now)
    }

    /** Stops acting as the owner if the decider no longer holds the ownership, and tracks acknowledgements. */
    private fun syncWithDecider(resource: ResourceOwnership) {
        val ownership = resource.decider.ownership
        if (resource.name == weightStore.resource) {
            if (ownership == null && weightStore.lost()) log.event("ownership ended", "resource" to resource.name)
            return
        }
        val running = owned[ServerId(resource.name)]
        if (running != null && running.fence != ownership?.fence) {
            log.event("ownership ended", "server" to resource.name, "fence" to running.fence)
            owned.remove(running.server.id)
        }
        val missing = resource.decider.missingAcknowledgements(membership.members())
        if (running != null && missing.isEmpty() && !running.isAcknowledgedByAll) running.acknowledgedByAll()
    }

    private fun startActingAsOwner(resource: ResourceOwnership) {
        val ownership = resource.decider.ownership ?: return
        if (resource.name == weightStore.resource) {
            if (weightStore.acquired(ownership.fence, context.now)) {
                log.event("ownership taken", "resource" to resource.name, "fence" to ownership.fence)
            }
            return
        }
        val server = servers.server(ServerId(resource.name)) ?: return
        val running = owned[server.id]
        if (running != null && running.fence == ownership.fence) {
            running.update { now -> ownershipUnconfirmed(false, now) }
            return
        }
        log.event("ownership taken", "server" to resource.name, "fence" to ownership.fence)
        val inherited = InheritedState(
            pendingUnloads = resource.decider.blockedAdapters,
            teamWeights = context.teamWeights(),
            mayTakeWork = servers.isAvailable(server),
        )
        val allocator = serverAllocator(server, ownership.fence, context.now, inherited = inherited)
        val onDeposed = { removeAndReadRecord(resource) }
        val started = OwnedServer(server, allocator, context, permits, this, scope, onDeposed)
        owned.add(started)
        scope.launch { collectActiveRuns(resource, started) }
    }

    /** The server has rejected the fencing number as stale: reads the record again to find the new owner. */
    private fun removeAndReadRecord(resource: ResourceOwnership) {
        owned.remove(ServerId(resource.name))
        scope.launch { resource.read() }
    }

    /** Asks members for their active runs until all have acknowledged the fence or this VM is no longer the owner. */
    private suspend fun collectActiveRuns(resource: ResourceOwnership, started: OwnedServer) {
        val request = PeerRequest.ActiveRuns(started.server.id, started.fence, own)
        while (owned[started.server.id] === started) {
            val missing = control.decide { resource.decider.missingAcknowledgements(membership.members()) }
            missing.forEach { vm -> scope.launch { askActiveRuns(resource, started, vm, request) } }
            delay(ACTIVE_RUNS_INTERVAL_MILLIS)
        }
    }

    private suspend fun askActiveRuns(
        resource: ResourceOwnership,
        started: OwnedServer,
        vm: VmId,
        request: PeerRequest.ActiveRuns,
    ) {
        val result = peers.call(vm, request, ACTIVE_RUNS_INTERVAL_MILLIS) as? PeerCallResult.Answered
        val answer = result?.answer as? PeerAnswer.ActiveRunsAnswer ?: return
        control.decide {
            resource.decider.acknowledged(vm, started.fence)
            started.update { now -> activeRuns(vm, answer.runs, now) }
        }
    }
}

/** Number of members that watch a resource: the preferred owner and its successors. */
private const val MAXIMUM_CANDIDATES = 3

/**
 * Interval at which the preferred member reads the record while another member is the owner. It is short because
 * requests wait for a new owner during a handover; it applies only until the preferred member is the owner.
 */
private const val PREFERRED_READ_INTERVAL_MILLIS = 300L

/** Interval at which members are asked for their active runs until all have acknowledged, and timeout of each call. */
private const val ACTIVE_RUNS_INTERVAL_MILLIS = 500L
