package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.GatewayConfiguration
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.state.gateway.WeightedService
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 2

/** Each of the three VMs of the fleet gets a fifth of it as its rate, with a burst of one request. */
private const val COLD_REQUESTS_PER_SECOND = 10.0
private val ADAPTER = AdapterName("base", "a1")
private val FULL = PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.BATCH_FULL)

/**
 * A picker on a VM of a fleet in which each engine has its own controller. [engines] maps the id of each engine to the
 * adapters that it holds; [answer] answers the calls to the controllers.
 */
private class PickerFixture(
    engines: Map<String, List<String>>,
    /** The duration of the cold start in which all engines are, 0 for none. */
    private val coldMillis: Long = 0,
    private val answer: suspend (PeerRequest) -> PeerAnswer?,
) : AutoCloseable {
    val calls = CopyOnWriteArrayList<PeerRequest>()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val control = ControlThread()
    private val now = { System.nanoTime() / 1_000_000 }
    private val state = GatewayState(gatewayOptions(VmId("vm-1")), Incarnation(1), now)
    private val fleet = object : PeerCaller {
        override val own = VmId("vm-1")

        override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
            calls += request
            return answer(request)?.let { PeerCallResult.Answered(it) } ?: PeerCallResult.TimedOut
        }
    }
    private val headers =
        HeaderNames("r", "d", "m", "t", "l", "k", "team", "s", "e", "n", "i", "g", "v", "p", "pp", emptySet())
    private val picker = ServerPicker(headers, state, control, fleet, scope, now)

    init {
        val servers = engines.keys.map { engine(it) }
        val members = engines.entries.associate { (id, held) ->
            val state = EngineRecord(ServerId(id), 1, 0, 0, mapOf(ADAPTER.model to held))
            VmId("controller of $id") to MemberRecord("127.0.0.1:1", EAST, Incarnation(1), 1, engines = listOf(state))
        }
        val idle = VmId("idle") to MemberRecord("127.0.0.1:1", EAST, Incarnation(1), 1)
        val services = mapOf("models" to ServiceProfile("models", coldMillis, COLD_REQUESTS_PER_SECOND, null))
        val limits = CallerLimits(16_384, 1_024, 3_000, 15_000)
        state.operatorChanged(
            OperatorState(GatewayConfiguration(1, emptyList(), services, emptyMap(), emptyMap(), limits)),
            1,
        )
        state.serversChanged(servers.associateBy { it.id }, 1)
        state.membersChanged(members + idle, emptySet())
    }

    private fun engine(id: String) =
        RegisteredServer(ServerId(id), "models", "127.0.0.1:1", EAST, SLOTS, false, coldMillis, 1, setOf(ADAPTER.model))

    fun pickAsync() = scope.async { pick() }

    suspend fun pick(): Outcome<AttemptTarget> {
        val request = CallerRequest(CallerHead("POST", "/", emptyList()), ByteArray(0), now())
        val route = GatewayRoute(
            "route", "h", "/", RouteKind.STREAM, listOf(WeightedService("models", 1)), 5_000, 300, 1, 0, true, false,
        )
        val routed = RoutedRequest(request, "r1", route, "models", null, ADAPTER.model, ADAPTER, now() + 2_000)
        return picker.pick(routed, emptySet(), emptySet(), RequestTrace(now))
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

private fun Outcome<AttemptTarget>.server() = shouldBeInstanceOf<Outcome.Success<AttemptTarget>>().value.server.id.text

private fun PeerRequest.reservationOrNull(): PeerRequest.ClaimPlace? = when (this) {
    is PeerRequest.ClaimPlace -> this
    is PeerRequest.EnsureAdapter -> claim
    else -> null
}

/** Guards against requests for a popular adapter that all VMs of a large fleet send to the same engine. */
class ServerPickerTest : FunSpec({
    test("when an engine has no free batch slot, the request goes to the next engine that holds its adapter") {
        PickerFixture(mapOf("e1" to listOf("a1@1"), "e2" to listOf("a1@1"))) { request ->
            if (request.reservationOrNull()?.server == ServerId("e2")) PeerAnswer.Done else FULL
        }.use { fixture ->
            fixture.pick().server() shouldBe "e2"
            // The reservation already tells the controller of the use, so no notice follows.
            fixture.calls.filterIsInstance<PeerRequest.AdapterUse>().shouldBeEmpty()
        }
    }

    test("when all engines that hold the adapter are full, it is loaded on another one, with a slot reserved there") {
        PickerFixture(mapOf("e1" to listOf("a1@1"), "e2" to emptyList())) { request ->
            if (request is PeerRequest.EnsureAdapter) PeerAnswer.AdapterReady(1) else FULL
        }.use { fixture ->
            fixture.pick().server() shouldBe "e2"
            fixture.calls.last().reservationOrNull()?.server shouldBe ServerId("e2")
        }
    }

    test("a request is sent without a reservation if the controller is silent, and fails if all engines are full") {
        PickerFixture(mapOf("e1" to listOf("a1@1"))) { null }.use { it.pick().server() shouldBe "e1" }
        PickerFixture(mapOf("e1" to listOf("a1@1"))) { FULL }.use { fixture ->
            fixture.pick().shouldBeInstanceOf<Outcome.Failed>()
            fixture.calls.mapNotNull { it.reservationOrNull()?.mayQueue }.distinct() shouldBe listOf(false, true)
        }
    }

    test("when an engine no longer holds the adapter, its controller is asked to load it") {
        PickerFixture(mapOf("e1" to listOf("a1@1"))) { request ->
            when (request) {
                is PeerRequest.EnsureAdapter -> PeerAnswer.AdapterReady(1)
                else -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_HELD)
            }
        }.use { it.pick().server() shouldBe "e1" }
    }

    // Guards against long searches when every engine of a large fleet is full: one request in fifty asked 65 engines.
    test("when 40 engines are full, a request asks at most 8 of them before it queues") {
        PickerFixture((1..40).associate { "e$it" to emptyList() }) {
            PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NO_FREE_PLACE)
        }.use { fixture ->
            fixture.pick().shouldBeInstanceOf<Outcome.Failed>()
            val asked = fixture.calls.filterIsInstance<PeerRequest.EnsureAdapter>()
            asked.takeWhile { !it.mayQueue }.size shouldBeLessThanOrEqual 40 / 5
            asked.any { it.mayQueue } shouldBe true
        }
    }

    // Guards against slots that stay reserved until the deadline of a request that was cancelled.
    test("a reservation is released when the request is cancelled before the controller answers") {
        val asked = CompletableDeferred<Unit>()
        PickerFixture(mapOf("e1" to listOf("a1@1"))) { request ->
            if (request is PeerRequest.AdapterUse) return@PickerFixture PeerAnswer.Done
            asked.complete(Unit)
            awaitCancellation()
        }.use { fixture ->
            val picked = fixture.pickAsync()
            asked.await()
            picked.cancelAndJoin()
            eventually(2.seconds) {
                fixture.calls.last() shouldBe PeerRequest.AdapterUse(ServerId("e1"), ADAPTER, "r1", forMillis = 0)
            }
        }
    }

    // After many crashes all engines are cold and empty; requests that had their adapter loaded came without any limit.
    test("requests whose adapter was loaded on a cold engine are sent within its cold start limit") {
        PickerFixture(mapOf("e1" to emptyList()), coldMillis = 3_000) { request ->
            if (request is PeerRequest.EnsureAdapter) PeerAnswer.AdapterReady(1) else PeerAnswer.Done
        }.use { fixture ->
            val picked = List(8) { fixture.pickAsync() }.awaitAll()
            picked.count { it is Outcome.Success } shouldBe 1
        }
    }
})
