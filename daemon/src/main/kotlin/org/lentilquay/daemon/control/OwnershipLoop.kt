/*
 * Ownership on this VM: for each backend server and the weight store for which it ranks among the first members, it
 * watches the owner, takes over where due, and starts or stops to act as the owner. Docs: docs/design.md, section 4.1.
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
    private val fleet: ServerAvailability,
    private val calls: PeerCaller,
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
    private val handOvers = HandoverLimiter()
    private val resources = HashMap<String, ResourceOwnership>()

    /** Rankings by resource for [rankedMembers]; ranking all servers anew at each tick would take a third of a core. */
    private val rankings = HashMap<String, List<VmId>>()
    private var rankedMembers: Set<VmId> = emptySet()

    /** Set for a planned stop: everything is released and nothing is taken. */
    @Volatile
    var isStopping: Boolean = false

    /** Starts the steps that are due. Call on the control thread, several times a second. */
    fun tick() {
        val closed = drained()
        val ready = members.readyMembers().filterKeys { membership.domainOf(it) !in closed }
        if (ready.keys != rankedMembers) {
            rankedMembers = ready.keys.toSet()
            rankings.clear()
        }
        fleet.all.forEach { tick(it.id.text, !it.checksFencing, ready) }
        tick(weightStore.resource, needsLeaseWait = false, ready)
        val configured = fleet.all.mapTo(HashSet()) { it.id }
        owned.all.filter { it.server.id !in configured }.forEach { owned.remove(it.server.id) }
        rankings.keys.removeIf { it != weightStore.resource && ServerId(it) !in configured }
    }

    /** Ownership must be verified, after a pause or a lapsed lease. Call on the control thread. */
    fun markUnconfirmed() {
        resources.values.forEach { it.decider.markUnconfirmed() }
        owned.all.filterNot { it.server.checksFencing }.forEach { it.update { now -> ownershipUnconfirmed(true, now) } }
    }

    /** Whether everything was released. */
    fun hasReleasedAll(): Boolean = resources.values.none { it.decider.ownership != null }

    /** The owner according to what this VM has read, or null if it has not read the record. */
    fun recordedOwner(server: ServerId): VmId? = resources[server.text]?.decider?.owner

    /** The members that rank first for [resource] now, best first. Call on the control thread. */
    fun ranked(resource: String): List<VmId> {
        val ready = members.readyMembers().keys.filter { membership.domainOf(it) !in drained() }
        return rendezvousRanking(resource, ready) { it.text }
    }

    /** Acts no more under fences older than that of a new owner; false while an own order is still under way. */
    suspend fun acknowledge(request: PeerRequest.ActiveRuns): Boolean = control.decide {
        val isAcknowledged = resources[request.server.text]?.decider?.acknowledge(request.fence) ?: true
        if (isAcknowledged) owned.superseded(request.server, request.fence, request.owner)
        isAcknowledged
    }

    /** The process on [vm] ended. Call on the control thread. */
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
        val isCandidate = ranked.indexOf(own) in 0 until CANDIDATES
        val resource = resources[name] ?: if (isCandidate) newResource(name, needsLeaseWait) else return
        observeOwner(resource)
        // A VM that died first leaves the list without a further event, so this is looked up at each tick.
        resource.decider.formerOwners.filter(membership::hasDeparted).forEach(resource.decider::vmDeparted)
        val view = OwnershipCandidates(ranked, ranked.firstOrNull()?.let { ready[it] } ?: 0, isStopping)
        // The preferred member learns from the record that the present owner has handed the resource over.
        val isPreferred = ranked.firstOrNull() == own && resource.decider.ownership == null
        val mustRead = isPreferred && context.now - resource.lastReadAt >= PREFERRED_READ_MILLIS
        if (!resource.isBusy) {
            resource.isBusy = true
            scope.launch {
                try {
                    if (mustRead) resource.read()
                    resource.step(view) { becameOwner(resource) }
                } finally {
                    resource.isBusy = false
                }
            }
        }
        followOwnership(resource)
    }

    private fun newResource(name: String, needsLeaseWait: Boolean): ResourceOwnership {
        val newNonce = { UUID.randomUUID().toString() }
        val decider = OwnershipDecider(name, own, incarnation, needsLeaseWait, handOvers, newNonce)
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

    /** Brings what runs here in line with the ownership that the decider holds. */
    private fun followOwnership(resource: ResourceOwnership) {
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

    private fun becameOwner(resource: ResourceOwnership) {
        val ownership = resource.decider.ownership ?: return
        if (resource.name == weightStore.resource) {
            if (weightStore.acquired(ownership.fence, context.now)) {
                log.event("ownership taken", "resource" to resource.name, "fence" to ownership.fence)
            }
            return
        }
        val server = fleet.server(ServerId(resource.name)) ?: return
        val running = owned[server.id]
        if (running != null && running.fence == ownership.fence) {
            running.update { now -> ownershipUnconfirmed(false, now) }
            return
        }
        log.event("ownership taken", "server" to resource.name, "fence" to ownership.fence)
        val inherited = InheritedState(
            pendingUnloads = resource.decider.blockedAdapters,
            teamWeights = context.teamWeights(),
            mayTakeWork = fleet.isAvailable(server),
        )
        val allocator = serverAllocator(server, ownership.fence, context.now, inherited = inherited)
        val deposed = { removeAndReadRecord(resource) }
        val started = OwnedServer(server, allocator, context, permits, this, scope, deposed)
        owned.add(started)
        scope.launch { collectActiveRuns(resource, started) }
    }

    /** The server knows a later owner: the record must be read again. */
    private fun removeAndReadRecord(resource: ResourceOwnership) {
        owned.remove(ServerId(resource.name))
        scope.launch { resource.read() }
    }

    /** Asks all members for their runs until each has acknowledged the fence or this VM is the owner no more. */
    private suspend fun collectActiveRuns(resource: ResourceOwnership, started: OwnedServer) {
        val request = PeerRequest.ActiveRuns(started.server.id, started.fence, own)
        while (owned[started.server.id] === started) {
            val missing = control.decide { resource.decider.missingAcknowledgements(membership.members()) }
            missing.forEach { vm -> scope.launch { askActiveRuns(resource, started, vm, request) } }
            delay(ACTIVE_RUNS_MILLIS)
        }
    }

    private suspend fun askActiveRuns(
        resource: ResourceOwnership,
        started: OwnedServer,
        vm: VmId,
        request: PeerRequest.ActiveRuns,
    ) {
        val result = calls.call(vm, request, ACTIVE_RUNS_MILLIS) as? PeerCallResult.Answered
        val answer = result?.answer as? PeerAnswer.ActiveRunsAnswer ?: return
        control.decide {
            resource.decider.acknowledged(vm, started.fence)
            started.update { now -> activeRuns(vm, answer.runs, now) }
        }
    }
}

/** Members that watch a resource: its preferred owner and those that would follow. */
private const val CANDIDATES = 3

/**
 * Interval, in milliseconds, at which the preferred member reads the record while another member is the owner. Requests
 * wait for a new owner during a hand-over, so it is short; it applies only until the preferred member is the owner.
 */
private const val PREFERRED_READ_MILLIS = 300L

/** Interval, in milliseconds, at which members are asked for their runs until all have answered. */
private const val ACTIVE_RUNS_MILLIS = 500L
