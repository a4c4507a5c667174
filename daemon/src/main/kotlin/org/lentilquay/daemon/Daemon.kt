/*
 * Starts the daemon of one VM: listeners, peer server and periodic loops. Performs its planned stop.
 */
package org.lentilquay.daemon

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.server.application.serverConfig
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.configuration.FreshnessState
import org.lentilquay.coordination.configuration.OfferResult
import org.lentilquay.daemon.administration.administrationRoutes
import org.lentilquay.daemon.control.CoordinationHandler
import org.lentilquay.daemon.control.MembershipListener
import org.lentilquay.daemon.gateway.CallerCapacity
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.requests.callerRoutes
import org.lentilquay.daemon.requests.engine.CallerEngine
import org.lentilquay.daemon.requests.engine.CallerEngineConfiguration
import org.lentilquay.daemon.requests.engine.CallerEngineFactory
import org.lentilquay.daemon.settings.Settings
import org.lentilquay.daemon.timer.TimerEvent
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.Secret
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.peer.RunningPeerServer
import org.lentilquay.transport.peer.startPeerServer
import java.net.BindException
import java.net.InetSocketAddress
import java.net.ServerSocket
import kotlin.system.exitProcess

private val log = KotlinLogging.logger {}

class Daemon(private val settings: Settings, private val secret: Secret) {
    private val parts = DaemonParts(settings, secret, ::configurationApplied)
    private val scope: CoroutineScope = parts.scope
    private val timing = settings.timing
    private lateinit var peerServer: RunningPeerServer
    private lateinit var callers: CallerServer
    private lateinit var administration: CallerServer

    /**
     * Starts all listeners and loops.
     *
     * @throws BindException if a listener cannot be opened; the message names it
     */
    suspend fun start() {
        requireBindable("peers", settings.peers.listen)
        requireBindable("callers", settings.callers.listen)
        requireBindable("administration", settings.administration.listen)
        parts.members.listener = MembershipChanges()
        parts.peers.localHandler = parts.dispatcher(CoordinationRequests())
        peerServer = startPeerServer(
            settings.peers.listen,
            parts.identity,
            secret,
            parts.peers.localHandler,
            parts.metrics.peerTraffic,
        )
        startLoops()
        callers = listen(settings.callers.listen, parts.callerLimits, parts.callerCapacity) {
            callerRoutes(parts.requestLimiter, parts.inferenceHandler, parts.serviceHandler)
        }
        administration = listen(settings.administration.listen, parts.operatorLimits, parts.operatorCapacity) {
            administrationRoutes(parts.administration, settings.operators, parts.metrics)
        }
        listOf(callers, administration).forEach { it.start() }
        log.event("started", "vm" to settings.vm, "domain" to settings.failureDomain)
    }

    /** Performs a planned stop: releases seats and ownerships, then waits for the requests in progress. */
    suspend fun stop() {
        log.event("stopping", "vm" to settings.vm, "active" to parts.activeCalls.count)
        parts.isStopping = true
        parts.ownership.isStopping = true
        parts.control.decide { parts.members.leave() }
        parts.seats.releaseAll(settings.vm)
        // Requests are accepted for a while, because the load balancer needs time to see that the VM is not ready.
        delay(LOAD_BALANCER_DELAY_MILLIS)
        parts.requestLimiter.close()
        withTimeoutOrNull(timing.drainMillis) { awaitDrained() }
        parts.atMostOnceCalls.settleRecords(System.currentTimeMillis())
        listOf(callers, administration).forEach { it.stop(LISTENER_GRACE_MILLIS, LISTENER_GRACE_MILLIS) }
        peerServer.close()
        log.event("stopped", "vm" to settings.vm, "active" to parts.activeCalls.count)
    }

    private suspend fun awaitDrained() {
        val bodiesUntil = parts.timer.now() + BODY_DRAIN_MILLIS
        while (isReadingUntil(bodiesUntil) || hasWork()) delay(DRAIN_POLL_MILLIS)
    }

    /** Whether requests are being read, which counts up to [bodiesUntil]. */
    private fun isReadingUntil(bodiesUntil: Long): Boolean =
        parts.timer.now() < bodiesUntil && callers.engine.busyConnections > 0

    private suspend fun hasWork(): Boolean =
        parts.requestLimiter.hasRequests || !parts.control.decide { parts.ownership.hasReleasedAll() }

    private fun startLoops() {
        repeatEvery(MEMBER_TICK_MILLIS) { parts.control.decide { tickMembers() } }
        repeatEvery(SESSION_TICK_MILLIS) { parts.control.decide { parts.session.tick() } }
        repeatEvery(OWNERSHIP_TICK_MILLIS) { parts.control.decide { parts.ownership.tick() } }
        repeatEvery(timing.headPollMillis) { if (!parts.configuration.isLoaded) loadConfiguration() }
        repeatEvery(SEAT_REVIEW_MILLIS) { if (!parts.isStopping) parts.seats.review() }
        repeatEvery(LOAD_PERMIT_MILLIS) {
            if (parts.weightStore.hasWaitingRequests) parts.control.decide { parts.weightStore.advance() }
        }
        repeatEvery(IDEMPOTENCY_RECORD_MILLIS) { parts.atMostOnceCalls.settleRecords(System.currentTimeMillis()) }
        scope.launch {
            while (!parts.suspectRequests.loadRecords(System.currentTimeMillis())) delay(SUSPECT_READ_RETRY_MILLIS)
        }
    }

    private fun tickMembers() {
        parts.freshnessMonitor.evaluate()
        parts.members.tick()
        parts.metrics.freshness(
            when (parts.freshnessMonitor.state) {
                FreshnessState.CURRENT -> org.lentilquay.daemon.metrics.FreshnessLabel.CURRENT
                FreshnessState.OUTAGE -> org.lentilquay.daemon.metrics.FreshnessLabel.MAJORITY
                FreshnessState.ISOLATED -> org.lentilquay.daemon.metrics.FreshnessLabel.ISOLATED
            },
        )
        parts.metrics.memberStates(
            parts.membership.members().mapNotNull(parts.membership::stateOf).groupingBy { it }.eachCount(),
        )
        parts.metrics.requestsInProgress(parts.activeCalls.count)
        parts.metrics.ownedServers(parts.owned.all.size)
        parts.metrics.quotaSeats(parts.seats.held.size)
    }

    private suspend fun loadConfiguration() {
        parts.configuration.pollHead()
        if (!parts.configuration.isLoaded) {
            parts.control.decide { parts.membership.readyMembers() }
                .firstOrNull { it != settings.vm }
                ?.let { parts.configuration.loadFrom(it) }
        }
    }

    /** Runs [action] immediately and then every [millis]; a failure is logged and does not end the loop. */
    private fun repeatEvery(millis: Long, action: suspend () -> Unit) = scope.launch {
        runLogged(action)
        parts.timer.ticks(millis).collect { if (it is TimerEvent.Tick) runLogged(action) }
    }

    @Suppress("TooGenericExceptionCaught") // A loop that ends would leave the VM partly working.
    private suspend fun runLogged(action: suspend () -> Unit) {
        try {
            action()
        } catch (fault: kotlinx.coroutines.CancellationException) {
            throw fault
        } catch (fault: Exception) {
            log.error(fault) { "control loop run failed; the loop continues" }
        }
    }

    /** Applies a new configuration to all components. Called on the control thread. */
    private fun configurationApplied(result: OfferResult.Applied) {
        val configuration = result.configuration
        parts.servers.configurationChanged(configuration)
        parts.buckets.configure(configuration.teams.values, parts.timer.now())
        reconfigureOwned()
        parts.freshnessMonitor.cancelCallsOfWithdrawnKeys()
        parts.metrics.configurationRevision(configuration.revision)
    }

    private fun reconfigureOwned() = parts.owned.all.forEach { owned ->
        parts.servers.server(owned.server.id)?.let { owned.reconfigure(it, parts.servers.isAvailable(it)) }
    }

    private inner class MembershipChanges : MembershipListener {
        override fun peerConfirmed(revision: Long, sentAt: Long) = parts.freshness.peerConfirmed(revision, sentAt)

        override fun revisionAnnounced(vm: VmId, revision: Long) {
            if (revision > parts.store.revision) scope.launch { parts.configuration.revisionAnnounced(revision, vm) }
        }

        override fun processEnded(vm: VmId) = parts.ownership.processEnded(vm)

        override fun replaced(by: Incarnation) = replacedBy(by.toString())

        override fun availabilityChanged() = reconfigureOwned()

        override fun ownStatus() = parts.freshnessMonitor.ownStatus(parts.status.isReady())
    }

    private inner class CoordinationRequests : CoordinationHandler {
        override suspend fun probe(from: VmId, probe: PeerRequest.Probe) = parts.members.answerProbe(from, probe)

        override suspend fun probeVia(request: PeerRequest.ProbeVia) = parts.members.answerProbeVia(request)

        override suspend fun loadPermit(from: VmId, request: PeerRequest.LoadPermit): PeerAnswer =
            parts.weightStore.request(from, request)

        override suspend fun loadDone(request: PeerRequest.LoadDone): PeerAnswer =
            if (parts.control.decide { parts.weightStore.done(request) }) PeerAnswer.Done else PeerAnswer.NotOwner(null)

        override suspend fun acknowledge(request: PeerRequest.ActiveRuns) = parts.ownership.acknowledge(request)

        override suspend fun suspectNotice(notice: PeerRequest.SuspectNotice): PeerAnswer {
            parts.suspectRequests.noticeReceived(notice)
            return PeerAnswer.Done
        }

        override suspend fun callStatus(request: PeerRequest.IdempotencyStatus): PeerAnswer =
            PeerAnswer.IdempotencyStatusAnswer(parts.atMostOnceCalls.status(request.nonce))
    }
}

/** Exits at once, because a later process runs with this VM's id and this one must no longer act. */
internal fun replacedBy(incarnation: String): Nothing {
    log.error { "a later process with incarnation $incarnation runs with this VM's id; exiting" }
    // Halting skips the shutdown hook, whose planned stop would release what the later process holds.
    Runtime.getRuntime().halt(REPLACED_EXIT_CODE)
    exitProcess(REPLACED_EXIT_CODE)
}

/** Tries to bind [address], because Ktor reports a bind failure on another thread and without the address. */
private fun requireBindable(name: String, address: String) {
    val target = ipAddressOf(address) ?: throw BindException("$address for $name is not of the form ip:port")
    try {
        ServerSocket().use { it.bind(InetSocketAddress(target.ip, target.port)) }
    } catch (fault: BindException) {
        throw BindException("cannot listen for $name at $address: ${fault.message}").apply { initCause(fault) }
    }
}

private fun listen(
    address: String,
    limits: CallerLimits,
    capacity: CallerCapacity,
    routes: Route.() -> Unit,
): CallerServer {
    val properties = serverConfig { module { routing { routes() } } }
    return embeddedServer(CallerEngineFactory, properties) {
        this.limits = limits
        this.capacity = capacity
        connector {
            host = address.substringBeforeLast(':')
            port = address.substringAfterLast(':').toInt()
        }
    }
}

private typealias CallerServer = EmbeddedServer<CallerEngine, CallerEngineConfiguration>

private const val REPLACED_EXIT_CODE = 3
private const val MEMBER_TICK_MILLIS = 100L
private const val SESSION_TICK_MILLIS = 200L
private const val OWNERSHIP_TICK_MILLIS = 200L
private const val SUSPECT_READ_RETRY_MILLIS = 2_000L
private const val SEAT_REVIEW_MILLIS = 2_000L
private const val IDEMPOTENCY_RECORD_MILLIS = 1_000L

/** Interval of granting permits that became free with time; returned permits are granted at once. */
private const val LOAD_PERMIT_MILLIS = 25L

/** Time in which the platform's load balancer is expected to see that a VM is not ready. */
private const val LOAD_BALANCER_DELAY_MILLIS = 2_000L
private const val DRAIN_POLL_MILLIS = 50L

/** How long a planned stop waits for bodies, so that a caller that sends none does not use up the whole drain time. */
private const val BODY_DRAIN_MILLIS = 10_000L
private const val LISTENER_GRACE_MILLIS = 500L
