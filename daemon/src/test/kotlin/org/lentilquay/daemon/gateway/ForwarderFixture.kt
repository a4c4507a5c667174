/*
 * Backend servers on local sockets and a request forwarder in front of them, for tests of what callers and other VMs
 * receive.
 */
package org.lentilquay.daemon.gateway

import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.io.readString
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.coordination.gateway.usage.UsageCounter
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.requests.Quota
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.TeamAccess
import org.lentilquay.state.gateway.WeightedService
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.HttpConnectionPool
import org.lentilquay.transport.peer.PeerCallResult
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private val TEAM = Team(TeamId("kitchen"), tokensPerSecond = 1_000, burstTokens = 1_000)
private val OTHER_VM = VmId("vm-2")

internal val HEADERS = HeaderNames(
    requestId = "Request",
    deadline = "Patience",
    model = "Base",
    tokens = "Tokens",
    lastEventId = "Last-Event-Id",
    key = "Key",
    team = "Team",
    signature = "Proof",
    expectedServer = "Server",
    notRun = "Not-Run",
    serverId = "Server-Id",
    leaving = "Leaving",
    expectedVersion = "Version",
    priority = "Priority",
    promptParts = "Parts",
    reserved = setOf("key", "team"),
)

/** A backend server that reads each request and then runs [act] on the connection. */
internal class Backend(private val id: String, private val act: Backend.(Socket, CallerHead) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    val requests = AtomicInteger()

    /** The head of the request on each connection. */
    val heads = ConcurrentHashMap<Socket, String>()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return)
        val lines = head.trim().split("\r\n")
        val headers = lines.drop(1).map { it.substringBefore(':') to it.substringAfter(':').trim() }
        val request = CallerHead(lines.first().substringBefore(' '), lines.first().split(' ')[1], headers)
        input.readNBytes(request.header("Content-Length")?.toInt() ?: 0)
        heads[socket] = head.toString()
        requests.incrementAndGet()
        act(socket, request)
    }

    fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

    /** Answers [request] with success, as a backend server does whose answer counts. */
    fun answer(socket: Socket, request: CallerHead) {
        val id = request.header("Request")
        val answer = "HTTP/1.1 200 OK\r\nRequest: $id\r\nProof: p\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok"
        socket.use { it.getOutputStream().write(answer.encodeToByteArray()) }
    }

    /** Ends as a crashed server process does: the connection is reset and no further one is accepted. */
    fun crash(socket: Socket) {
        close()
        reset(socket)
    }

    val isCrashed: Boolean get() = listener.isClosed

    fun registered() = RegisteredServer(
        id = ServerId(id),
        service = "desk",
        address = "127.0.0.1:${listener.localPort}",
        domain = EAST,
        batchSlots = 4,
        isDraining = false,
        coldMillis = 0,
        startedAtEpochMillis = 1,
        models = emptySet(),
    )

    override fun close() = listener.close()
}

/** A forwarder in front of [backends], and another VM whose received messages are recorded. */
internal class ForwarderFixture(
    private val backends: List<Backend>,
    kind: RouteKind,
    isResumable: Boolean = false,
    maximumAttempts: Int = if (isResumable) 2 else 1,
    targetLatencyMillis: Long = 1_000,
    requestsEndAt: () -> Long? = { null },
) : AutoCloseable {
    val received = CopyOnWriteArrayList<PeerRequest>()
    val settled = CopyOnWriteArrayList<Long>()

    /** The counts of requests that began to run, in one window. */
    val counter = UsageCounter(Long.MAX_VALUE / 2).apply { setOffset(0, 0) }

    /** How long each request could have waited for tokens. */
    val tokenWaits = CopyOnWriteArrayList<Long>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()
    private val now = { System.nanoTime() / 1_000_000 }
    private val options = gatewayOptions(VmId("vm-1"))
    private val state = GatewayState(options, Incarnation(1), now)
    private val fleet = object : PeerCaller {
        override val own = options.vm

        override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
            received += request
            return PeerCallResult.TimedOut
        }
    }
    private val quota = object : Quota {
        override suspend fun admit(
            team: TeamId,
            requestId: String,
            tokens: Long,
            maximumWaitMillis: Long,
        ): Outcome<Charge> {
            tokenWaits += maximumWaitMillis
            return Outcome.Success(Charge(team, 1, tokens))
        }

        override fun settle(charge: Charge, actual: Long) {
            settled += actual
        }
    }
    private val network = TcpNetwork()
    private val crashes = CrashDetector({ fleet }, control, scope, { setOf(options.vm, OTHER_VM) }, ::accepts, now)
    val forwarder = RequestForwarder(
        HEADERS, state, control, quota, fleet, HttpConnectionPool(network), crashes, GatewayMetrics(), scope, now,
        requestsEndAt, counter,
    )
    private val route = GatewayRoute(
        name = "desk",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        services = listOf(WeightedService("desk", 1)),
        timeoutMillis = 5_000,
        targetLatencyMillis = targetLatencyMillis,
        maximumAttempts = maximumAttempts,
        priority = 0,
        isOpen = false,
        isResumable = isResumable,
    )

    suspend fun open() = control.decide {
        val configuration = GatewayConfiguration(
            version = 1,
            routes = listOf(route),
            services = mapOf("desk" to ServiceProfile("desk", 0, 0.0, null)),
            teams = mapOf(TEAM.id to TeamAccess(TEAM, defaultTokenCharge = 200, priority = null)),
            teamByKeyHash = mapOf(sha256Of("secret") to TEAM.id),
            callerLimits = CallerLimits(16_384, 1_024, 3_000, 15_000),
        )
        state.operatorChanged(OperatorState(configuration), 1)
        state.serversChanged(backends.map { it.registered() }.associateBy { it.id }, 1)
    }

    /** Gives this VM the whole allowance of retries, as in a fleet of one; before that it has one retry. */
    suspend fun allowRetries() = control.decide { state.retries.membersChanged(1) }

    /** Removes the crashed servers from the registered ones, as the platform does after some seconds. */
    suspend fun removeCrashed() = control.decide {
        state.serversChanged(backends.filter { !it.isCrashed }.map { it.registered() }.associateBy { it.id }, 2)
    }

    /** Registers all servers, and [leaving] ones as draining with the time left of each in milliseconds. */
    suspend fun announceLeaving(leaving: Map<Backend, Long>) = control.decide {
        val servers = backends.map { backend ->
            backend.registered().let { it.copy(isDraining = backend in leaving, remainingMillis = leaving[backend]) }
        }
        state.serversChanged(servers.associateBy { it.id }, 2)
    }

    /** Whether [backend] gets no requests because of its own answers. */
    suspend fun isClosed(backend: Backend): Boolean =
        control.decide { !state.selection.isOpen(backend.registered(), now()) }

    /** Sends one request, with [promptParts] if there are any, and returns the response as the caller receives it. */
    suspend fun ask(
        id: String,
        body: String,
        promptParts: String? = null,
        deadlineMillis: Int = 4_000,
        method: String = "POST",
    ): String {
        val output = ByteChannel(autoFlush = true)
        val headers = listOf("Host" to "h", "Request" to id, "Key" to "secret", "Patience" to "$deadlineMillis") +
            listOfNotNull(promptParts?.let { "Parts" to it })
        val request = CallerRequest(CallerHead(method, "/orders", headers), body.encodeToByteArray(), now())
        forwarder.handle(request, ResponseWriter(output, now) { true }.apply { requestMethod = method })
        output.flushAndClose()
        return output.readRemaining().readString()
    }

    /** Sends one request and cancels it, as a disconnect of its caller does, once [hasArrived] returns. */
    suspend fun askAndDisconnect(id: String, hasArrived: suspend () -> Unit) {
        val work = scope.launch { ask(id, "left") }
        hasArrived()
        work.cancel(CallerDisconnected(null))
        work.join()
    }

    private suspend fun accepts(address: String): Boolean = runCatching {
        Socket("127.0.0.1", address.substringAfter(':').toInt()).use { true }
    }.getOrDefault(false)

    override fun close() {
        backends.forEach { it.close() }
        scope.cancel()
        control.close()
    }
}
