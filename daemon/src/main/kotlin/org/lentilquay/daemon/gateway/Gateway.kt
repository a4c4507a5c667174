/*
 * The gateway on one VM: creates its components, starts them, and stops them in order. The platform's adapter provides
 * the ports; decisions, state and recovery are in this package and in the core module.
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
import org.lentilquay.daemon.timer.TimerEvent
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
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
import org.lentilquay.transport.runSuspendCatching
import java.util.UUID

private val log = KotlinLogging.logger {}

/** Interval at which control leases and registered servers are checked. */
private const val TICK_MILLIS = 200L

/** Interval at which member records are exchanged and the quota seats may be reviewed. */
private const val EXCHANGE_MILLIS = 1_000L

/** Interval at which idle connections to backend servers, and those of stalled callers, are closed. */
private const val SWEEP_MILLIS = 1_000L

/**
 * The fraction of the tolerance of a team's rate that is available as initial tokens when processes start. The whole
 * fleet can start twice within the platform's window, and the rest covers clock differences and late answers.
 */
private const val INITIAL_TOKENS_FRACTION = 0.3

/** Timeout of a request to another VM for its copy of a table. */
private const val COPY_TIMEOUT_MILLIS = 400L

/** Timeout for connecting to a server that may have crashed; a live one accepts within a few milliseconds. */
private const val ACCEPT_TIMEOUT_MILLIS = 400L

/** A table that takes longer to apply is logged, because requests wait for decisions meanwhile. */
private const val REPORTED_APPLY_MILLIS = 100L

/** Timeout of a token transfer request to another VM. */
private const val TOKEN_TRANSFER_TIMEOUT_MILLIS = 300L

/** Time until the platform stops routing to a VM that is not ready: two readiness checks, one a second. */
private const val READINESS_DELAY_MILLIS = 2_500L
private const val STOP_POLL_MILLIS = 50L

/** Time at the end of a planned stop in which requests that are still in progress are answered with a failure. */
private const val LAST_ANSWERS_MILLIS = 200L

/** Connections at once for readiness checks, and for reads of the metrics; each has a few clients. */
private const val MAXIMUM_STATUS_CONNECTIONS = 64

/** Timeout for publishing the member record that says that this VM leaves. */
private const val LEAVE_TIMEOUT_MILLIS = 400L

class Gateway(private val options: GatewayOptions, private val ports: GatewayPorts) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()
    private val timer = SystemTimer()
    private val incarnation = Incarnation(System.currentTimeMillis())
    private val network = TcpNetwork()
    private val servers = HttpConnectionPool(network)
    private val state = GatewayState(options, incarnation, timer::now)
    private val metrics = GatewayMetrics()
    private val table = InstrumentedTable(ports.table, ports.watch, metrics) { ports.clock.latestEra }
    private lateinit var fleet: TcpPeerCaller
    private val sharedWatches = SharedWatchSource(state.readers, table, ports.clock, { fleet }, control, timer::now)
    private val watches = WatchAges(sharedWatches, timer::now)
    private val duties = createDuties()
    private val crashes = CrashDetector({ fleet }, control, scope, { state.members.keys }, ::accepts, timer::now)
    private val engineControl = EngineControlLoop(
        options,
        incarnation,
        state,
        table,
        ports.clock,
        MemberRecordReader(table, ports.clock, sharedWatches),
        ports.orders,
        control,
        scope,
        timer::now,
        crashes,
        renewalContent = duties?.renewalContent ?: RenewalContent(),
    )
    private val operatorWatch = watchLoop(WatchedTableName.OPERATOR) { rows, written ->
        control.decide {
            applying(WatchedTableName.OPERATOR, rows) {
                val read = ports.decoder.operatorState(rows.rows, state.previousOperator(rows.era))
                state.operatorRead(read, rows, ports.decoder.operatorRows(written))
                engineControl.versionsAnnounced()
            }
        }
    }
    private val serverWatch = watchLoop(WatchedTableName.SERVERS) { rows, written ->
        control.decide {
            applying(WatchedTableName.SERVERS, rows) {
                state.serversRead(ports.decoder.servers(rows.rows), rows, written.mapTo(HashSet()) { ServerId(it) })
            }
        }
    }
    private val callerCapacity =
        CallerCapacity(timer::now, options.maximumConnections, CallerRefusals(timer::now, metrics::callerRefused))
    private val statusCapacity = callerCapacity.forListener(MAXIMUM_STATUS_CONNECTIONS)
    private var callers: GatewayListener? = null

    @Volatile
    private var isStopping = false

    /** The era in which the secret of the fleet was read or written. */
    @Volatile
    private var secretEra: Long? = null

    /** When a planned stop ends the requests in progress; null until callers are no longer routed to this VM. */
    @Volatile
    private var requestsEndAt: Long? = null

    private val isReady: Boolean get() = !isStopping && state.rules != null && serverWatch.copy != null

    /** Opens the listeners and starts all loops; returns when callers can connect. */
    suspend fun start() {
        log.event("start", "vm" to options.vm, "domain" to options.domain, "incarnation" to incarnation)
        startStatus()
        val secret = ports.secret()
        secretEra = ports.clock.latestEra
        val identity = PeerIdentity(options.vm, incarnation)
        fleet = TcpPeerCaller(options.vm, PeerClient(identity, secret)) { state.members[it]?.address }
        val quota = FleetQuota(state.buckets, fleet, control, scope, TOKEN_TRANSFER_TIMEOUT_MILLIS, timer::now)
        fleet.localHandler = PeerHandler { from, request -> answer(quota, from, request) }
        startPeerServer(options.peerAddress, identity, secret, fleet.localHandler)
        val forwarder = RequestForwarder(
            ports.headers, state, control, quota, fleet, servers, crashes, metrics, scope, timer::now, ::requestsEndAt,
            duties?.counter,
        )
        val limits = { state.rules?.configuration?.callerLimits }
        callers = GatewayListener(network, forwarder, limits, { isStopping }, scope, timer::now, callerCapacity)
            .also { it.start(options.callerAddress) }
        startLoops(secret)
    }

    /**
     * Stops in order: becomes unready and releases its duties, lets requests in progress end, then releases control of
     * the engines.
     */
    suspend fun stop() {
        val startedAt = timer.now()
        isStopping = true
        val callers = callers ?: return
        log.event("stop begins", "busy" to callers.busyConnections)
        scope.launch { engineControl.releaseDuties() }
        delay(READINESS_DELAY_MILLIS)
        val endAt = startedAt + options.maximumStopMillis - LAST_ANSWERS_MILLIS
        requestsEndAt = endAt
        // The platform keeps routing callers to an unready VM when few VMs of its failure domain are left.
        callers.stopAccepting()
        awaitConnections(callers, endAt)
        callers.endRequests()
        awaitConnections(callers, endAt + LAST_ANSWERS_MILLIS)
        // Engines are released last, because the other VMs need this controller to load adapters. The next process on
        // this VM takes control of them again.
        engineControl.isLeaving = true
        control.decide { engineControl.releaseAll() }
        withTimeoutOrNull(LEAVE_TIMEOUT_MILLIS) { engineControl.exchangeRecords() }
        log.event("stopped", "busy" to callers.busyConnections, "millis" to timer.now() - startedAt)
    }

    private suspend fun awaitConnections(callers: GatewayListener, until: Long) {
        while (timer.now() < until) {
            callers.closeIdle()
            if (callers.openConnections == 0) break
            delay(STOP_POLL_MILLIS)
        }
    }

    private suspend fun startStatus() {
        metrics.gauge("lentilquay_gateway_ready", "1 while this VM takes callers") { if (isReady) 1.0 else 0.0 }
        metrics.gauge("lentilquay_gateway_log_lines_dropped", "Log lines that a full queue has dropped") {
            droppedLogLines.toDouble()
        }
        metrics.gauge("lentilquay_gateway_duties_held", "Duties of the fleet that this VM holds") {
            engineControl.heldDuties.toDouble()
        }
        metrics.gauge("lentilquay_gateway_table_era", "Era of the table service; 0 if it sends none") {
            ports.clock.latestEra?.toDouble() ?: 0.0
        }
        val openConnections = { callers?.openConnections?.toDouble() ?: 0.0 }
        metrics.gauge("lentilquay_gateway_caller_connections", "Open connections of callers", openConnections)
        val status = StatusHandler(options.readinessPath, metrics) { isReady }
        listOf(options.readinessAddress, options.metricsAddress).forEach { address ->
            GatewayListener(network, status, { null }, { false }, scope, timer::now, statusCapacity).start(address)
        }
    }

    private fun startLoops(secret: Secret) {
        scope.launch { operatorWatch.run() }
        scope.launch { serverWatch.run() }
        scope.launch(control.dispatcher) { everyTick("control of engines", TICK_MILLIS) { tick() } }
        duties?.let { startDuties(it) }
        scope.launch {
            everyTick("connections", SWEEP_MILLIS) {
                servers.sweep()
                callers?.closeStalled()
            }
        }
        val seatPlan = SeatPlan(options.vm, incarnation) { UUID.randomUUID().toString() }
        val seats = QuotaSeatLoop(
            tracker = SeatTracker(seatPlan, options.isBootstrap),
            buckets = state.buckets,
            transfers = state.transfers,
            platform = table,
            control = control,
            members = ::seatMembers,
            now = timer::now,
        )
        scope.launch { joinFleet(seats) }
        scope.launch { everyTick("secret of the fleet", EXCHANGE_MILLIS) { restoreSecret(secret) } }
    }

    private suspend fun restoreSecret(secret: Secret) {
        val era = ports.clock.latestEra
        if (era == secretEra) return
        ports.restoreSecret(secret)
        secretEra = era
    }

    private fun createDuties(): Duties? = dutiesOf(
        DutyContext(
            options,
            incarnation,
            state,
            table,
            ports.clock,
            control,
            metrics,
            timer::now,
            isLeaving = { engineControl.isLeaving },
            leases = { engineControl.duties },
            serversAgeMillis = { watches.ageMillis(WatchedTableName.SERVERS) },
            planner = DecidedScalePlanner(),
        ),
        ports.duties,
    )

    private fun startDuties(duties: Duties) {
        scope.launch(control.dispatcher) { everyTick("duties", TICK_MILLIS) { duties.tick() } }
        scope.launch { everyTick("usage reports", TICK_MILLIS) { duties.reportUsage() } }
        scope.launch { everyTick("orders of servers", EXCHANGE_MILLIS) { duties.orderServers() } }
    }

    private fun tick() {
        if (state.dropFormerEra()) engineControl.versionsAnnounced()
        engineControl.tick()
    }

    /**
     * Exchanges member records and reviews the quota seats at once, and then at intervals: without seats, a process
     * that restarts under traffic would reject the requests of its teams. The seats come second, because their
     * distribution depends on the members.
     */
    private suspend fun joinFleet(seats: QuotaSeatLoop) {
        val steps = LoopSteps("first records and seats")
        steps.run { engineControl.exchangeRecords() }
        control.decide {
            val maximumTokens = (options.quotaToleranceTokens * INITIAL_TOKENS_FRACTION).toLong()
            // The tokens are divided among the known members, so their records are needed first.
            if (state.lease.knownMembers > 0) {
                state.buckets.grantInitialTokens(maximumTokens, state.lease.knownMembers, timer.now())
            }
        }
        steps.run { seats.review() }
        scope.launch { keepReviewing(seats) }
        everyTick("member records", EXCHANGE_MILLIS) { engineControl.exchangeRecords() }
    }

    /** Runs [step] at intervals of [millis]; a step that fails does not end the loop. */
    private suspend fun everyTick(name: String, millis: Long, step: suspend () -> Unit) {
        val steps = LoopSteps(name)
        timer.ticks(millis).collect { event ->
            if (event is TimerEvent.Paused) log.event("loop was late", "loop" to name, "millis" to event.gapMillis)
            steps.run(step)
        }
    }

    private suspend fun keepReviewing(seats: QuotaSeatLoop) {
        val schedule = SeatReviewSchedule(timer.now())
        everyTick("quota seats", EXCHANGE_MILLIS) {
            val isDue = control.decide {
                schedule.isDue(
                    state.members.keys,
                    state.lease.departedMembers(),
                    state.lease.renewalMillis,
                    timer.now(),
                    ports.clock.latestEra,
                )
            }
            if (isDue) seats.review()
        }
    }

    private suspend fun seatMembers(): QuotaSeatLoop.SeatMembers = control.decide {
        QuotaSeatLoop.SeatMembers(state.members.keys + options.vm, state.lease.departedMembers())
    }

    /** Runs [apply], which decodes and applies [rows] on the control thread, and logs it if it held up decisions. */
    private fun applying(table: WatchedTableName, rows: WatchedRows, apply: () -> Unit) {
        val startedAt = timer.now()
        apply()
        val millis = timer.now() - startedAt
        if (millis < REPORTED_APPLY_MILLIS) return
        log.event(
            "table applied slowly",
            "table" to table.text,
            "version" to rows.version,
            "rows" to rows.rows.size,
            "millis" to millis,
        )
    }

    private fun watchLoop(table: WatchedTableName, changed: suspend (WatchedRows, Set<String>) -> Unit) =
        WatchLoop(table, watches, ::askPeer, timer::now, { ports.clock.latestEra }, changed)

    private suspend fun askPeer(table: WatchedTableName, version: Long): PeerAnswer.Watched? {
        val era = watched(table)?.copy?.era
        val peer = control.decide { state.members.keys.filter { it != options.vm }.randomOrNull() } ?: return null
        val result = fleet.call(peer, PeerRequest.ReadWatched(table.text, version, era), COPY_TIMEOUT_MILLIS)
        return (result as? PeerCallResult.Answered)?.answer as? PeerAnswer.Watched
    }

    private suspend fun answer(quota: FleetQuota, from: VmId, request: PeerRequest): PeerAnswer = when (request) {
        is PeerRequest.EnsureAdapter -> {
            val engine = control.decide { engineControl.engine(request.server) }
            engine?.ensureLoaded(request)
                ?: PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_CONTROLLER)
        }
        is PeerRequest.ClaimPlace -> control.decide { engineControl.engine(request.server)?.reserve(request) }
            ?: PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_CONTROLLER)
        is PeerRequest.AdapterUse -> {
            control.decide { engineControl.engine(request.server)?.recordUse(request) }
            PeerAnswer.Done
        }
        is PeerRequest.TakeTokens -> quota.transferTokens(from, request)
        is PeerRequest.SuspectNotice -> {
            crashes.record(request)
            PeerAnswer.Done
        }
        is PeerRequest.ReadWatched -> watched(request)
        is PeerRequest.FollowTable -> sharedWatches.answer(request)
        else -> PeerAnswer.Refused(Failure(ErrorKind.INTERNAL, "the gateway does not support this request"))
    }

    private suspend fun accepts(address: String): Boolean {
        val target = ipAddressOf(address) ?: return false
        return runSuspendCatching { network.connect(target, ACCEPT_TIMEOUT_MILLIS)?.use { true } }.getOrNull() ?: false
    }

    private fun watched(request: PeerRequest.ReadWatched): PeerAnswer {
        val copy = WatchedTableName.entries.firstOrNull { it.text == request.table }?.let(::watched)?.copy
        val isNewer =
            copy != null && compareVersions(copy.era, copy.version, request.era, request.afterVersion) > 0
        return PeerAnswer.Watched(copy?.version ?: -1, if (isNewer) copy.rows else null, copy?.era)
    }

    private fun watched(table: WatchedTableName): WatchLoop? = when (table) {
        WatchedTableName.OPERATOR -> operatorWatch
        WatchedTableName.SERVERS -> serverWatch
        WatchedTableName.MEMBERS -> null
    }
}
