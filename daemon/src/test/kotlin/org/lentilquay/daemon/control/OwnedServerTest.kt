package org.lentilquay.daemon.control

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.collections.shouldHaveSize
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.lentilquay.coordination.allocation.ServerAllocator
import org.lentilquay.coordination.allocation.serverAllocator
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.settings.TimingSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.daemon.timer.ManualTimer
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.Configuration
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.engine.EngineClient
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.time.Duration.Companion.seconds

private val front = VmId("vm-front")
private val server = BackendServer(
    id = ServerId("engine"),
    kind = ServerKind.ENGINE,
    address = "127.0.0.1:1",
    domain = DomainId("east"),
    serves = "base",
    checksFencing = true,
    adapterSlots = 2,
    maximumInFlight = 8,
    coldInFlight = 2,
)
private val report = LoadReport(
    incarnation = 1,
    asOfMillis = 1,
    state = EngineState.WARM,
    slots = 2,
    loaded = emptyList(),
    running = emptyMap(),
    maximumInFlight = 8,
)

/** Grants permits only to the adapters in [granted], and records the requested and returned ones. */
private class RecordedPermits(private val granted: Set<String> = emptySet()) : LoadPermitSource {
    val requested = ConcurrentLinkedQueue<LoadAttempt>()
    val released = ConcurrentLinkedQueue<LoadAttempt>()
    private var number = 0

    override fun newAttempt(server: ServerId, adapter: AdapterVersion) =
        LoadAttempt("load-${number++}", server, adapter)

    override suspend fun acquire(attempt: LoadAttempt, waitingRequests: Int) {
        requested += attempt
        if (attempt.adapter.adapter !in granted) awaitCancellation()
    }

    override suspend fun release(attempt: LoadAttempt) {
        released += attempt
    }
}

/** Never completes an order, like an adapter load that is still in progress. */
private object NeverEndingOrders : OrderRecorder {
    override suspend fun begin(server: BackendServer, order: AdapterOrder): Boolean = awaitCancellation()

    override suspend fun finished(server: BackendServer, isCertain: Boolean) = Unit
}

private class OwnedServerFixture(val permits: RecordedPermits) {
    val scope = CoroutineScope(SupervisorJob())
    private val control = ControlThread()
    private val timer = ManualTimer(10_000)
    private val engines = EngineClient()
    private val context =
        ControlContext(control, timer, TimingSettings(), engines, Metrics()) { Configuration() }
    private val allocator: ServerAllocator = serverAllocator(server, fence = 1, acquiredAt = 0)
    private val owned = OwnedServer(server, allocator, context, permits, NeverEndingOrders, scope) {}

    suspend fun ready() = control.decide {
        owned.update { claimSucceeded(timer.now(), 1, it) }
        owned.update { report(report, it) }
    }

    fun reserve(id: String, adapter: String) = scope.launch {
        val request = PeerRequest.Reserve(
            requestId = id,
            server = server.id,
            adapter = AdapterVersion(adapter, 1),
            team = TeamId("vans"),
            estimatedTokens = 10,
            priority = Priority.SHORT,
            waitMillis = 3_000,
            spillMillis = 3_000,
            fingerprint = id,
        )
        owned.reserve(request, front)
    }

    suspend fun release(id: String) = control.decide {
        owned.update { release(id, RunOutcome.NOT_STARTED, null, it) }
    }

    suspend fun stop() = control.decide { owned.stop() }

    fun close() {
        scope.cancel()
        control.close()
        engines.close()
    }
}

class OwnedServerTest : FunSpec({
    // Guards against permits that occupy parallel loads of the weight store for 10 s after each handover.
    test("when ownership ends, the permits of waiting loads and of loads in progress are returned") {
        val fixture = OwnedServerFixture(RecordedPermits(granted = setOf("ordered")))
        val permits = fixture.permits
        fixture.ready()
        listOf("ordered", "waiting").forEach { fixture.reserve(it, it) }
        eventually(5.seconds) { permits.requested.map { it.adapter.adapter }.toSet() shouldHaveSize 2 }
        fixture.stop()
        eventually(5.seconds) { permits.released shouldContainExactlyInAnyOrder permits.requested.toSet() }
        fixture.close()
    }

    // Guards against reuse of a returned load id, which the owner of the weight store rejects for 30 s.
    test("a load that was cancelled and is requested again has a new id") {
        val fixture = OwnedServerFixture(RecordedPermits())
        fixture.ready()
        repeat(2) { round ->
            fixture.reserve("r$round", "again")
            eventually(5.seconds) { fixture.permits.requested.map { it.id }.toSet() shouldHaveSize round + 1 }
            fixture.release("r$round")
        }
        eventually(5.seconds) { fixture.permits.released.map { it.id }.toSet() shouldHaveSize 2 }
        fixture.close()
    }
})
