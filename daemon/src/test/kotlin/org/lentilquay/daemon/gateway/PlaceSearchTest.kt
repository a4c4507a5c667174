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
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.state.gateway.WeightedService
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private const val SLOTS = 2
private val ADAPTER = AdapterName("base", "a1")
private val FULL = PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.BATCH_FULL)

/**
 * A VM in a fleet as large as an engine has places. Each engine in [engines], which names the adapters that it holds,
 * has a controller of its own, whose calls [answer] answers.
 */
private class SearchWorld(
    engines: Map<String, List<String>>,
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
    private val headers = HeaderNames("r", "d", "m", "t", "l", "k", "team", "s", "e", "n", "i", "v", "p", emptySet())
    private val search = PlaceSearch(headers, state, control, fleet, scope, now)

    init {
        val servers = engines.keys.map { engine(it) }
        val members = engines.entries.associate { (id, held) ->
            val state = EngineRecord(ServerId(id), 1, 0, 0, mapOf(ADAPTER.model to held))
            VmId("controller of $id") to MemberRecord("127.0.0.1:1", EAST, Incarnation(1), 1, engines = listOf(state))
        }
        val idle = VmId("idle") to MemberRecord("127.0.0.1:1", EAST, Incarnation(1), 1)
        state.serversChanged(servers.associateBy { it.id }, 1)
        state.membersChanged(members + idle, emptySet())
    }

    private fun engine(id: String) =
        RegisteredServer(ServerId(id), "models", "127.0.0.1:1", EAST, SLOTS, false, 0, 1, setOf(ADAPTER.model))

    fun findLater() = scope.async { find() }

    suspend fun find(): Outcome<Target> {
        val request = CallerRequest(CallerHead("POST", "/", emptyList()), ByteArray(0), now())
        val route = GatewayRoute(
            "route", "h", "/", RouteKind.STREAM, listOf(WeightedService("models", 1)), 5_000, 300, 1, 0, true, false,
        )
        val plan = RequestPlan(request, "r1", route, "models", null, ADAPTER.model, ADAPTER, now() + 2_000)
        return search.find(plan, emptySet(), emptySet(), RequestTrace(now))
    }

    override fun close() {
        scope.cancel()
        control.close()
    }
}

private fun Outcome<Target>.server() = shouldBeInstanceOf<Outcome.Success<Target>>().value.server.id.text

private fun PeerRequest.claimOrNull(): PeerRequest.ClaimPlace? = when (this) {
    is PeerRequest.ClaimPlace -> this
    is PeerRequest.EnsureAdapter -> claim
    else -> null
}

/** Guards against requests for a popular adapter that all VMs of a large fleet send to one engine. */
class PlaceSearchTest : FunSpec({
    test("a request goes to the next engine that holds its adapter when the controller of the first has no place") {
        SearchWorld(mapOf("e1" to listOf("a1@1"), "e2" to listOf("a1@1"))) { request ->
            if (request.claimOrNull()?.server == ServerId("e2")) PeerAnswer.Done else FULL
        }.use { world ->
            world.find().server() shouldBe "e2"
            // The controller that granted the place knows of the use.
            world.calls.filterIsInstance<PeerRequest.AdapterUse>().shouldBeEmpty()
        }
    }

    test("the adapter is loaded on another engine when all that hold it are full, with a place there") {
        SearchWorld(mapOf("e1" to listOf("a1@1"), "e2" to emptyList())) { request ->
            if (request is PeerRequest.EnsureAdapter) PeerAnswer.AdapterReady(1) else FULL
        }.use { world ->
            world.find().server() shouldBe "e2"
            world.calls.last().claimOrNull()?.server shouldBe ServerId("e2")
        }
    }

    test("a request is sent when the controller does not answer, and refused as not run while all are full") {
        SearchWorld(mapOf("e1" to listOf("a1@1"))) { null }.use { it.find().server() shouldBe "e1" }
        SearchWorld(mapOf("e1" to listOf("a1@1"))) { FULL }.use { world ->
            world.find().shouldBeInstanceOf<Outcome.Failed>()
            world.calls.mapNotNull { it.claimOrNull()?.mayQueue }.distinct() shouldBe listOf(false, true)
        }
    }

    test("an engine that has dropped the adapter is asked to load it") {
        SearchWorld(mapOf("e1" to listOf("a1@1"))) { request ->
            when (request) {
                is PeerRequest.EnsureAdapter -> PeerAnswer.AdapterReady(1)
                else -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_HELD)
            }
        }.use { it.find().server() shouldBe "e1" }
    }

    // Pattern: every engine of a large fleet is full; on emberline-tt-grown one request in fifty asked 65 of them.
    test("a request asks only a few of many full engines before it waits for a place") {
        SearchWorld((1..40).associate { "e$it" to emptyList() }) {
            PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NO_FREE_PLACE)
        }.use { world ->
            world.find().shouldBeInstanceOf<Outcome.Failed>()
            val asked = world.calls.filterIsInstance<PeerRequest.EnsureAdapter>()
            asked.takeWhile { !it.mayQueue }.size shouldBeLessThanOrEqual 40 / 5
            asked.any { it.mayQueue } shouldBe true
        }
    }

    // Guards against places that stay taken for as long as a request may last.
    test("the place of a request whose caller left while it was asked for is given back") {
        val asked = CompletableDeferred<Unit>()
        SearchWorld(mapOf("e1" to listOf("a1@1"))) { request ->
            if (request is PeerRequest.AdapterUse) return@SearchWorld PeerAnswer.Done
            asked.complete(Unit)
            awaitCancellation()
        }.use { world ->
            val search = world.findLater()
            asked.await()
            search.cancelAndJoin()
            eventually(2.seconds) {
                world.calls.last() shouldBe PeerRequest.AdapterUse(ServerId("e1"), ADAPTER, "r1", forMillis = 0)
            }
        }
    }
})
