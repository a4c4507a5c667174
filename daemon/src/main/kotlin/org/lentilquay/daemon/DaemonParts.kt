/*
 * Creates and connects the components of the daemon. Components that decide come from the core module and do no I/O;
 * components that act hold clients and loops. Construction opens no listener and starts no loop.
 */
package org.lentilquay.daemon

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import org.lentilquay.coordination.callers.maximumCallerConnections
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.FreshnessTracker
import org.lentilquay.coordination.configuration.OfferResult
import org.lentilquay.coordination.configuration.PlanSigningKey
import org.lentilquay.coordination.idempotency.IdempotencyDecider
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.coordination.membership.OwnIdentity
import org.lentilquay.coordination.ownership.SessionLease
import org.lentilquay.coordination.quota.SeatPlan
import org.lentilquay.coordination.quota.SeatTracker
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.coordination.suspects.SuspectTracker
import org.lentilquay.daemon.administration.AdministrationService
import org.lentilquay.daemon.administration.MAXIMUM_PLAN_BYTES
import org.lentilquay.daemon.administration.StatusView
import org.lentilquay.daemon.control.ConfigurationLoop
import org.lentilquay.daemon.control.ControlContext
import org.lentilquay.daemon.control.CoordinationHandler
import org.lentilquay.daemon.control.FleetLoadPermits
import org.lentilquay.daemon.control.FleetQuota
import org.lentilquay.daemon.control.FleetReservationClient
import org.lentilquay.daemon.control.FleetSuspectRequests
import org.lentilquay.daemon.control.FreshnessMonitor
import org.lentilquay.daemon.control.MembershipLoop
import org.lentilquay.daemon.control.OwnedServers
import org.lentilquay.daemon.control.OwnerClient
import org.lentilquay.daemon.control.OwnershipLoop
import org.lentilquay.daemon.control.PeerDispatcher
import org.lentilquay.daemon.control.QuotaSeatLoop
import org.lentilquay.daemon.control.ServerAvailability
import org.lentilquay.daemon.control.SessionLoop
import org.lentilquay.daemon.control.TcpPeerCaller
import org.lentilquay.daemon.control.WeightStoreOwner
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.serverRanking
import org.lentilquay.daemon.gateway.CallerCapacity
import org.lentilquay.daemon.gateway.CallerRefusals
import org.lentilquay.daemon.gateway.RequestBodyBudget
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.metrics.processDescriptors
import org.lentilquay.daemon.requests.ActiveCalls
import org.lentilquay.daemon.requests.AtMostOnceCalls
import org.lentilquay.daemon.requests.ConfigurationView
import org.lentilquay.daemon.requests.InferenceDependencies
import org.lentilquay.daemon.requests.InferenceHandler
import org.lentilquay.daemon.requests.RequestLimiter
import org.lentilquay.daemon.requests.RequestMetricsRecorder
import org.lentilquay.daemon.requests.ServiceDispatcher
import org.lentilquay.daemon.requests.ServiceHandler
import org.lentilquay.daemon.settings.Settings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.SystemTimer
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.RecordedCallState
import org.lentilquay.state.DomainState
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OwnershipRecord
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.ownerKey
import org.lentilquay.transport.Secret
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.engine.EngineOptions
import org.lentilquay.transport.engine.ServiceClient
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.peer.PeerClient
import org.lentilquay.transport.peer.PeerIdentity
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.PlatformOptions
import java.util.UUID
import kotlin.random.Random

internal class DaemonParts(settings: Settings, secret: Secret, onApplied: (OfferResult.Applied) -> Unit) {
    private val vm = settings.vm
    private val timing = settings.timing
    private val incarnation = Incarnation(System.currentTimeMillis())

    @Volatile
    var isStopping: Boolean = false

    // Scope, control thread, timer and clients.
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val control = ControlThread()
    val timer = SystemTimer()
    val metrics = Metrics()
    val identity = PeerIdentity(vm, incarnation)
    private val engines = EngineClient(EngineOptions(idleMillis = timing.streamIdleMillis))
    private val platform = PlatformClient(
        settings.platform.address,
        vm,
        PlatformOptions(
            timeoutMillis = settings.platform.timeoutMillis,
            connectMillis = settings.platform.timeoutMillis / 2,
            concurrentCalls = settings.platform.concurrentCalls,
        ),
    ).also { metrics.platformCalls(it::reads, it::writes) }
    private val peerClient = PeerClient(identity, secret, metrics.peerTraffic)

    // State and deciders.
    val store = ConfigurationStore()
    val freshness = FreshnessTracker(timing.freshnessMillis)
    val membership = Membership(
        OwnIdentity(vm, incarnation, settings.peers.advertisedAddress, settings.failureDomain),
        settings.seeds.map { it.address },
        Random(incarnation.number),
    )
    private val transferPlanner = TransferPlanner(vm, settings.quotaSeats)
    val buckets = TeamBuckets(vm, settings.quotaSeats, transferPlanner, startedAt = timer.now())
    private val lease = SessionLease(
        own = vm,
        incarnation = incarnation,
        address = settings.peers.advertisedAddress,
        domain = settings.failureDomain,
        idleRenewalMillis = timing.headPollMillis,
        newNonce = ::newNonce,
    )
    val activeCalls = ActiveCalls()
    val servers = ServerAvailability()

    // Membership and calls between VMs.
    val members = MembershipLoop(
        membership = membership,
        client = peerClient,
        platform = platform,
        control = control,
        scope = scope,
        servers = servers,
        seedAddresses = settings.seeds.associate { it.vm to it.address },
        now = timer::now,
    )
    val peers = TcpPeerCaller(vm, peerClient, members::addressOf)
    private val owners: OwnerClient = OwnerClient(peers, ::lookUpOwner, timer::now)
    val owned = OwnedServers(owners, vm)

    // Ownership, adapter loads and orders.
    private val context = ControlContext(control, timer, timing, engines, metrics) { store.configuration }
    val weightStore = WeightStoreOwner(settings.weightStore, control, timer::now)
    private val loadPermits = FleetLoadPermits(
        settings = settings.weightStore,
        owner = weightStore,
        owners = owners,
        control = control,
        memberCount = { membership.members().size },
        now = timer::now,
    )
    val ownership: OwnershipLoop = OwnershipLoop(
        own = vm,
        incarnation = incarnation,
        context = context,
        members = members,
        servers = servers,
        peers = peers,
        lease = lease,
        platform = platform,
        owned = owned,
        permits = loadPermits,
        weightStore = weightStore,
        drained = { store.configuration.domains.filterValues { it == DomainState.DRAINED }.keys },
        scope = scope,
    )

    // Configuration.
    val configuration = ConfigurationLoop(
        store = store,
        freshness = freshness,
        platform = platform,
        peers = peers,
        control = control,
        scope = scope,
        gossipTargets = { membership.members().filter { it != vm }.shuffled().take(GOSSIP_FANOUT) },
        onApplied = onApplied,
        headPollMillis = timing.headPollMillis,
        now = timer::now,
    )
    val session = SessionLoop(
        own = vm,
        lease = lease,
        platform = platform,
        control = control,
        scope = scope,
        configuration = configuration,
        isLeaseInUse = { owned.all.any { !it.server.checksFencing } },
        onUnconfirmed = ownership::markUnconfirmed,
        onSuperseded = { replacedBy("unknown") },
        now = timer::now,
    )
    val freshnessMonitor = FreshnessMonitor(
        store = store,
        freshness = freshness,
        membership = membership,
        activeCalls = activeCalls,
        isLoaded = { configuration.isLoaded },
        confirmHead = { configuration.startHeadCheck() },
        now = timer::now,
    )

    // Rate limits, suspect requests and request handling.
    private val quota = FleetQuota(buckets, peers, control, scope, timing.tokenTransferMillis, timer::now)
    val seats = QuotaSeatLoop(
        tracker = SeatTracker(SeatPlan(vm, incarnation, settings.quotaSeats, ::newNonce)),
        buckets = buckets,
        transfers = transferPlanner,
        platform = platform,
        control = control,
        members = ::seatMembers,
        now = timer::now,
    )
    val suspectRequests =
        FleetSuspectRequests(SuspectTracker(), peers, platform, control, { reachableMembers() }, timer::now)
    private val reservations = FleetReservationClient(
        servers,
        owners,
        serverRanking(settings.placement.order),
        scope,
        timing.grantValidityMillis,
        timer::now,
    )
    private val requestMetrics = RequestMetricsRecorder(metrics)
    private val serviceDispatcher = ServiceDispatcher(reservations, ServiceClient(), timer::now)
    val atMostOnceCalls = AtMostOnceCalls(
        decider = IdempotencyDecider(vm, incarnation, newNonce = ::newNonce),
        platform = platform,
        dispatcher = serviceDispatcher,
        control = control,
        askVm = ::fetchCallState,
        now = timer::now,
    )
    val requestLimiter = RequestLimiter(
        activeCalls,
        settings.limits.bodyBytes,
        settings.limits.headerBytes,
        settings.limits.concurrentRequests,
    )
    val callerLimits = CallerLimits(
        settings.limits.headerBytes,
        settings.limits.bodyBytes,
        settings.limits.headerMillis,
        settings.limits.idleMillis,
    )
    val operatorLimits = callerLimits.copy(bodyBytes = MAXIMUM_PLAN_BYTES)
    val callerCapacity = CallerCapacity(
        timer::now,
        settings.limits.connections ?: maximumCallerConnections(processDescriptors(), Runtime.getRuntime().maxMemory()),
        CallerRefusals(timer::now, metrics::callerRefused),
        RequestBodyBudget((Runtime.getRuntime().maxMemory() * BODIES_HEAP_SHARE).toLong(), now = timer::now),
    )
    val operatorCapacity = callerCapacity.forListener(MAXIMUM_OPERATOR_CONNECTIONS)
    val inferenceHandler = InferenceHandler(
        view = ::view,
        quota = quota,
        dependencies = InferenceDependencies(reservations, engines, suspectRequests, timer::now),
        activeCalls = activeCalls,
        metrics = requestMetrics,
    )
    val serviceHandler =
        ServiceHandler(::view, quota, serviceDispatcher, atMostOnceCalls, activeCalls, requestMetrics, timer::now)

    // Administration.
    val status = StatusView(
        settings = settings,
        store = store,
        freshness = freshness,
        freshnessMonitor = freshnessMonitor,
        membership = membership,
        servers = servers,
        owned = owned,
        seats = seats,
        activeCalls = activeCalls,
        control = control,
        isStopping = { isStopping },
        now = timer::now,
    )
    val administration = AdministrationService(
        own = vm,
        secret = PlanSigningKey(secret.reveal { it.decodeToString() }),
        store = store,
        membership = membership,
        platform = platform,
        configurationLoop = configuration,
        control = control,
        status = status,
        reachabilityNow = members::reachabilityNow,
    )

    fun dispatcher(answers: CoordinationHandler): PeerDispatcher =
        PeerDispatcher(control, owned, configuration, quota, activeCalls, answers)

    private fun view() = ConfigurationView(store.configuration, store.access, freshnessMonitor.state)

    private fun newNonce(): String = UUID.randomUUID().toString()

    private suspend fun seatMembers(): QuotaSeatLoop.SeatMembers = control.decide {
        val live = membership.members().filterTo(HashSet()) { membership.stateOf(it) != MEMBER_LEFT }
        QuotaSeatLoop.SeatMembers(live, departedHolders())
    }

    private fun departedHolders(): Set<VmId> = seats.knownHolders.filterTo(HashSet(), ::hasDeparted)

    private fun hasDeparted(holder: VmId): Boolean =
        membership.hasDeparted(holder) || members.listedVms.hasDeparted(holder)

    private suspend fun reachableMembers(): Set<VmId> = control.decide { membership.reachable(timer.now()) }

    /**
     * The owner according to the ownership record or, if the table service does not answer, according to this VM's last
     * read or its ranking. The record is read first, because a candidate reads it rarely and could name a former owner.
     */
    private suspend fun lookUpOwner(server: ServerId): VmId? {
        val read = platform.readRecord<OwnershipRecord>(ownerKey(server.text))
        if (read != null) return read.value?.vm
        return control.decide { ownership.recordedOwner(server) ?: ownership.ranked(server.text).firstOrNull() }
    }

    private suspend fun fetchCallState(target: VmId, nonce: String): RecordedCallState? {
        val result = peers.call(target, PeerRequest.IdempotencyStatus(nonce), CALL_STATE_TIMEOUT_MILLIS)
        val answer = (result as? PeerCallResult.Answered)?.answer
        return (answer as? PeerAnswer.IdempotencyStatusAnswer)?.state
    }
}

private val MEMBER_LEFT = org.lentilquay.protocol.MemberState.LEFT

/** The share of the heap for request bodies; a request is in memory several times while it is parsed. */
private const val BODIES_HEAP_SHARE = 0.08

/** Connections of operators, health checks and readers of the metrics at once. */
private const val MAXIMUM_OPERATOR_CONNECTIONS = 128

/** Number of members that are notified of a new revision; each notifies as many others. */
private const val GOSSIP_FANOUT = 3

/** Timeout of asking another VM for the state of a call. */
private const val CALL_STATE_TIMEOUT_MILLIS = 1_000L
