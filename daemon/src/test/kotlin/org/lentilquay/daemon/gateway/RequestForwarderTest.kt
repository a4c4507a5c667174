package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.readRemaining
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.readString
import org.lentilquay.coordination.configuration.sha256Of
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
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private val TEAM = Team(TeamId("kitchen"), tokensPerSecond = 1_000, burstTokens = 1_000)
private val OTHER_VM = VmId("vm-2")

private val HEADERS = HeaderNames(
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
    expectedVersion = "Version",
    priority = "Priority",
    reserved = setOf("key", "team"),
)

/** A backend server that reads the head of each request and then runs [act] on the connection. */
internal class Backend(val id: String, private val act: Backend.(Socket) -> Unit) : AutoCloseable {
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
        heads[socket] = head.toString()
        requests.incrementAndGet()
        act(socket)
    }

    fun reset(socket: Socket) {
        socket.setSoLinger(true, 0)
        socket.close()
    }

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
) : AutoCloseable {
    val received = CopyOnWriteArrayList<PeerRequest>()
    val settled = CopyOnWriteArrayList<Long>()
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
        override suspend fun admit(team: TeamId, requestId: String, tokens: Long): Outcome<Charge> =
            Outcome.Success(Charge(team, 1, tokens))

        override fun settle(charge: Charge, actual: Long) {
            settled += actual
        }
    }
    private val network = TcpNetwork()
    private val crashes = CrashDetector(fleet, control, scope, { setOf(options.vm, OTHER_VM) }, ::accepts, now)
    val forwarder = RequestForwarder(
        HEADERS, state, control, quota, fleet, HttpConnectionPool(network), crashes, GatewayMetrics(), scope, now,
    )
    private val route = GatewayRoute(
        name = "desk",
        host = "h",
        pathPrefix = "/",
        kind = kind,
        services = listOf(WeightedService("desk", 1)),
        timeoutMillis = 5_000,
        targetLatencyMillis = 1_000,
        maximumAttempts = if (isResumable) 2 else 1,
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

    /** Sends one request and returns the response as the caller receives it. */
    suspend fun ask(id: String, body: String): String {
        val output = ByteChannel(autoFlush = true)
        val headers = listOf("Host" to "h", "Request" to id, "Key" to "secret", "Patience" to "4000")
        val request = CallerRequest(CallerHead("POST", "/orders", headers), body.encodeToByteArray(), now())
        forwarder.handle(request, ResponseWriter(output, now) { true })
        output.flushAndClose()
        return output.readRemaining().readString()
    }

    /** Sends one request and cancels it, as a disconnect of its caller does, once [hasArrived] returns. */
    suspend fun askAndDisconnect(id: String, hasArrived: suspend () -> Unit) {
        val work = scope.launch { ask(id, "left") }
        hasArrived()
        work.cancelAndJoin()
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

/**
 * Guards against tokens that are returned for work that was done, requests that crash one server after another, and
 * requests that are rejected because a process has just started.
 */
class RequestForwarderTest : FunSpec({
    test("the tokens of a request that may have run stay charged when its caller disconnects") {
        val backend = Backend("s1") { }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.askAndDisconnect("r1") { eventually(5.seconds) { backend.requests.get() shouldBe 1 } }
            fixture.settled.toList() shouldBe listOf(200L)
        }
    }

    // After all processes of a fleet were killed, 64 to 121 requests arrived before the first configuration was read.
    test("a request that arrives just after the start of the process waits for the first configuration") {
        val backend = Backend("s1") { socket -> reset(socket) }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.askAndDisconnect("r1") {
                delay(100.milliseconds)
                backend.requests.get() shouldBe 0
                fixture.open()
                eventually(5.seconds) { backend.requests.get() shouldBe 1 }
            }
        }
    }

    test("without a configuration two seconds after the start, a request is rejected at once with a Retry-After") {
        ForwarderFixture(emptyList(), RouteKind.RUN_ONCE).use { fixture ->
            fixture.ask("r1", "early") shouldContain "503"
            delay(2.seconds)
            val (answer, time) = measureTimedValue { fixture.ask("r2", "late") }
            answer shouldContain "Retry-After: 0.500"
            time.inWholeMilliseconds shouldBeLessThan 400
        }
    }

    test("a request that crashed three servers is quarantined, all VMs are notified, and others still run") {
        val backends = List(3) { number ->
            Backend("s$number") { socket ->
                close()
                reset(socket)
            }
        } + Backend("s3") { socket -> reset(socket) }
        ForwarderFixture(backends, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            suspend fun crashed() = eventually(5.seconds) { backends.take(3).sumOf { it.requests.get() } shouldBe 3 }
            var sent = 0
            while (backends.take(3).sumOf { it.requests.get() } < 3) {
                fixture.ask("r${sent++}", "bad") shouldContain "50"
                check(sent < 200) { "the request did not reach every server" }
            }
            crashed()
            eventually(5.seconds) { fixture.received.count { it is PeerRequest.SuspectNotice } shouldBe 3 }
            val reached = backends.last().requests.get()
            fixture.ask("again", "bad").let { answer ->
                answer shouldContain "503"
                answer shouldContain "Retry-After: 59"
            }
            backends.last().requests.get() shouldBe reached
            fixture.ask("other", "good") shouldContain "502"
            backends.last().requests.get() shouldBe reached + 1
        }
    }

    test("a request is not suspect when the server resets its connection but still accepts new ones") {
        val backend = Backend("s1") { socket -> reset(socket) }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            val answers = List(6) { fixture.ask("r$it", "same").substringAfter(' ').substringBefore(' ') }
            answers shouldContain "502"
            Thread.sleep(400)
            fixture.received.filterIsInstance<PeerRequest.SuspectNotice>() shouldBe emptyList()
        }
    }
})
