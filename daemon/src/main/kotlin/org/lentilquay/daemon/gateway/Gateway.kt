/*
 * The gateway on one VM: puts its parts together, starts them and stops them in order. The platform's adapter gives the
 * ports; decisions, state and recovery are here and in the core module.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.quota.SeatPlan
import org.lentilquay.coordination.quota.SeatReviewSchedule
import org.lentilquay.coordination.quota.SeatTracker
import org.lentilquay.daemon.control.FleetQuota
import org.lentilquay.daemon.control.QuotaSeatLoop
import org.lentilquay.daemon.control.TcpPeerCaller
import org.lentilquay.daemon.logs.droppedLogLines
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.SystemTimer
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.HttpConnectionPool
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.peer.PeerClient
import org.lentilquay.transport.peer.PeerHandler
import org.lentilquay.transport.peer.PeerIdentity
import org.lentilquay.transport.peer.startPeerServer
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.runSuspendCatching
import java.util.UUID

private val log = KotlinLogging.logger {}
private const val TICK_MILLIS = 200L
private const val EXCHANGE_MILLIS = 1_000L

private const val SWEEP_MILLIS = 1_000L

/**
 * The part of the tolerance of the teams' rates that the VMs may lend their teams at a start: the whole fleet can start
 * twice in the platform's window, and some is left for clocks and late answers.
 */
private const val START_TOLERANCE_PART = 0.3

/** Bound on asking another VM for its copy of a table. */
private const val COPY_MILLIS = 400L

/** Bound on a connection to a backend server that may have crashed; a live one answers within a few milliseconds. */
private const val ACCEPT_MILLIS = 400L

/** Bound on pulling tokens from another VM. */
private const val TOKENS_MILLIS = 300L

/** Time in which the platform takes a VM that is not ready out of rotation: two questions, one a second. */
private const val ROTATION_MILLIS = 2_500L
private const val STOP_POLL_MILLIS = 50L

/** Bound on telling the other VMs that this one has stopped. */
private const val LEAVE_MILLIS = 400L
private const val READY_STATUS = 200
private const val NOT_READY_STATUS = 503
private const val NOT_FOUND_STATUS = 404

/** What the adapter of a platform provides. */
class GatewayPorts(
    val table: TableService,
    val clock: TableClock,
    val watch: WatchSource,
    val decoder: RowDecoder,
    val orders: EngineControlClient,
    val headers: HeaderNames,
    /** The secret by which the VMs know each other; waits until it can be read. */
    val secret: suspend () -> Secret,
)

class Gateway(private val options: GatewayOptions, private val ports: GatewayPorts) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()
    private val timer = SystemTimer()
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val network = TcpNetwork()
    private val servers = HttpConnectionPool(network)
    private val state = GatewayState(options, incarnation, timer::now)
    private val metrics = GatewayMetrics()
    private val table = MeteredTable(ports.table, ports.watch, metrics)
    private lateinit var fleet: TcpPeerCaller
    private val relay = TableRelay(state.readers, table, ports.clock, { fleet }, control, timer::now)
    private val members = MemberLoop(
        options,
        incarnation,
        state,
        table,
        ports.clock,
        MemberTable(table, ports.clock, relay),
        ports.orders,
        control,
        scope,
        timer::now,
    )
    private val operatorWatch = watchLoop(WatchedTableName.OPERATOR) { rows ->
        control.decide {
            state.operatorChanged(ports.decoder.operatorState(rows.rows, state.operator), rows.version)
            members.versionsAnnounced()
        }
    }
    private val serverWatch = watchLoop(WatchedTableName.SERVERS) { rows ->
        control.decide { state.serversChanged(ports.decoder.servers(rows.rows), rows.version) }
    }
    private lateinit var crashes: CrashWatch
    private var callers: GatewayListener? = null

    @Volatile
    private var isStopping = false

    private val isReady: Boolean get() = !isStopping && state.rules != null && serverWatch.copy != null

    /** Opens the listeners and starts to serve; returns when callers can connect. */
    suspend fun start() {
        log.event("start", "vm" to options.vm, "domain" to options.domain, "incarnation" to incarnation)
        startStatus()
        val secret = ports.secret()
        val identity = PeerIdentity(options.vm, incarnation)
        fleet = TcpPeerCaller(options.vm, PeerClient(identity, secret)) { state.members[it]?.address }
        val quota = FleetQuota(state.buckets, fleet, control, scope, TOKENS_MILLIS, timer::now)
        crashes = CrashWatch(fleet, control, scope, { state.members.keys }, ::accepts, timer::now)
        fleet.localHandler = PeerHandler { from, request -> answer(quota, from, request) }
        startPeerServer(options.peerAddress, identity, secret, fleet.localHandler)
        val forwarding = RequestForwarding(
            ports.headers, state, control, quota, fleet, servers, crashes, metrics, scope, timer::now,
        )
        val bounds = { state.rules?.configuration?.callerLimits }
        callers = GatewayListener(network, forwarding, bounds, { isStopping }, scope, timer::now)
            .also { it.start(options.callerAddress) }
        startLoops()
    }

    /** Lets requests in progress end, then ends control of the engines. */
    suspend fun stop() {
        val startedAt = timer.now()
        isStopping = true
        val callers = callers ?: return
        log.event("stop begins", "busy" to callers.busy)
        delay(ROTATION_MILLIS)
        // The platform still sends callers here when few VMs of the failure domain are left.
        callers.stopAccepting()
        while (timer.now() - startedAt < options.maximumStopMillis) {
            callers.closeIdle()
            if (callers.busy == 0) break
            delay(STOP_POLL_MILLIS)
        }
        // The other VMs need loads until the last moment; the process that starts here next goes on with the engines.
        members.isLeaving = true
        control.decide { members.dropAll() }
        withTimeoutOrNull(LEAVE_MILLIS) { members.exchange() }
        log.event("stopped", "busy" to callers.busy, "millis" to timer.now() - startedAt)
    }

    private suspend fun startStatus() {
        metrics.gauge("lentilquay_gateway_ready", "1 while this VM takes callers") { if (isReady) 1.0 else 0.0 }
        metrics.gauge("lentilquay_gateway_log_lines_dropped", "Log lines that a full queue has dropped") {
            droppedLogLines.toDouble()
        }
        val status = CallerHandler { request, writer ->
            when (request.head.path) {
                options.readinessPath ->
                    writer.whole(if (isReady) READY_STATUS else NOT_READY_STATUS, emptyList(), ByteArray(0))
                METRICS_PATH ->
                    writer.whole(READY_STATUS, listOf("Content-Type" to "text/plain; version=0.0.4"), metrics.text())
                else -> writer.whole(NOT_FOUND_STATUS, emptyList(), ByteArray(0))
            }
        }
        listOf(options.readinessAddress, options.metricsAddress).forEach { address ->
            GatewayListener(network, status, { null }, { false }, scope, timer::now).start(address)
        }
    }

    private fun startLoops() {
        scope.launch { operatorWatch.run() }
        scope.launch { serverWatch.run() }
        scope.launch(control.dispatcher) { timer.ticks(TICK_MILLIS).collect { members.tick() } }
        scope.launch { timer.ticks(SWEEP_MILLIS).collect { servers.sweep() } }
        val seats = QuotaSeatLoop(
            keeper = SeatTracker(SeatPlan(options.vm, incarnation) { UUID.randomUUID().toString() }),
            buckets = state.buckets,
            pulls = state.pulls,
            platform = table,
            control = control,
            members = ::seatMembers,
            now = timer::now,
        )
        scope.launch { joinFleet(seats) }
    }

    /**
     * Exchanges records and reviews the seats at once and then at their intervals: without seats, a process that starts
     * again in the middle of traffic refuses its teams. The seats come second: their division needs the members.
     */
    private suspend fun joinFleet(seats: QuotaSeatLoop) {
        members.exchange()
        control.decide {
            val most = (options.quotaToleranceTokens * START_TOLERANCE_PART).toLong()
            // Without the others' records the part of this VM is not known.
            if (state.lease.knownMembers > 0) state.buckets.grantInitialTokens(most, state.lease.knownMembers, timer.now())
        }
        seats.review()
        scope.launch { keepReviewing(seats) }
        timer.ticks(EXCHANGE_MILLIS).collect { members.exchange() }
    }

    private suspend fun keepReviewing(seats: QuotaSeatLoop) {
        val schedule = SeatReviewSchedule(timer.now())
        timer.ticks(EXCHANGE_MILLIS).collect {
            val isDue = control.decide {
                schedule.isDue(
                    state.members.keys,
                    state.lease.departedMembers(),
                    state.lease.renewalMillis,
                    timer.now(),
                )
            }
            if (isDue) seats.review()
        }
    }

    private suspend fun seatMembers(): QuotaSeatLoop.SeatMembers = control.decide {
        QuotaSeatLoop.SeatMembers(state.members.keys + options.vm, state.lease.departedMembers())
    }

    private fun watchLoop(table: WatchedTableName, changed: suspend (WatchedRows) -> Unit) =
        WatchLoop(table, relay, ::askPeer, timer::now, changed)

    private suspend fun askPeer(table: WatchedTableName, version: Long): PeerAnswer.Watched? {
        val peer = control.decide { state.members.keys.filter { it != options.vm }.randomOrNull() } ?: return null
        val result = fleet.call(peer, PeerRequest.ReadWatched(table.text, version), COPY_MILLIS)
        return (result as? PeerCallResult.Answered)?.answer as? PeerAnswer.Watched
    }

    private suspend fun answer(quota: FleetQuota, from: VmId, request: PeerRequest): PeerAnswer = when (request) {
        is PeerRequest.EnsureAdapter -> {
            val engine = control.decide { members.engine(request.server) }
            engine?.ensure(request)
                ?: PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_CONTROLLER)
        }
        is PeerRequest.ClaimPlace -> control.decide { members.engine(request.server)?.claim(request) }
            ?: PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_CONTROLLER)
        is PeerRequest.AdapterUse -> {
            control.decide { members.engine(request.server)?.used(request) }
            PeerAnswer.Done
        }
        is PeerRequest.TakeTokens -> quota.transferTokens(from, request)
        is PeerRequest.SuspectNotice -> {
            crashes.received(request)
            PeerAnswer.Done
        }
        is PeerRequest.ReadWatched -> watched(request)
        is PeerRequest.FollowTable -> relay.answer(request)
        else -> PeerAnswer.Refused(Failure(ErrorKind.INTERNAL, "the gateway does not know the request"))
    }

    private suspend fun accepts(address: String): Boolean {
        val target = ipAddressOf(address) ?: return false
        return runSuspendCatching { network.connect(target, ACCEPT_MILLIS)?.use { true } }.getOrNull() ?: false
    }

    private fun watched(request: PeerRequest.ReadWatched): PeerAnswer {
        val loop = listOf(WatchedTableName.OPERATOR to operatorWatch, WatchedTableName.SERVERS to serverWatch)
            .firstOrNull { it.first.text == request.table }?.second
        val copy = loop?.copy
        val isNewer = copy != null && copy.version > request.afterVersion
        return PeerAnswer.Watched(copy?.version ?: -1, if (isNewer) copy.rows else null)
    }
}

private const val METRICS_PATH = "/metrics"
