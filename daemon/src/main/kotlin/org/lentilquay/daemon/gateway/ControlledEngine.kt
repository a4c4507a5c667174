/*
 * One engine that this VM controls: reads its reports, sends the orders that the controller decides on, one at a time,
 * and lets requests wait until their adapter is ready.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.gateway.AdapterAvailability
import org.lentilquay.coordination.gateway.EngineController
import org.lentilquay.coordination.gateway.EngineOrder
import org.lentilquay.coordination.gateway.OrderOutcome
import org.lentilquay.coordination.gateway.ReservationResult
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.EngineProfile
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.transport.platform.ReadResult

private val log = KotlinLogging.logger {}

/** Interval of reports in general, and while the next order waits for one, in milliseconds. */
private const val REPORT_MILLIS = 1_500L
private const val URGENT_REPORT_MILLIS = 150L

/** Longest time between two looks for orders that are due, in milliseconds. */
private const val ORDER_MILLIS = 100L

class ControlledEngine(
    initial: RegisteredServer,
    val fence: Long,
    private val owner: String,
    profile: EngineProfile,
    private val orders: EngineControlClient,
    private val control: ControlThread,
    private val mayOrder: () -> Boolean,
    private val now: () -> Long,
) {
    private val controller = EngineController(profile)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private val changes = MutableStateFlow(0L)
    private var jobs: List<Job> = emptyList()

    @Volatile
    var server: RegisteredServer = initial

    fun start(scope: CoroutineScope) {
        jobs = listOf(scope.launch { report() }, scope.launch { order() })
    }

    /** Gives no further orders. */
    fun stop() = jobs.forEach { it.cancel() }

    /** What the other VMs are told. Call on the control thread. */
    fun state(): EngineRecord = EngineRecord(
        server = server.id,
        fence = fence,
        running = controller.running,
        queued = controller.queued,
        adapters = controller.readyAdapters(now()).entries
            .groupBy({ it.key.model }, { "${it.key.adapter}@${it.value}" })
            .ifEmpty { server.models.associateWith { emptyList() } },
    )

    /** Whether the engine holds no base model. Call on the control thread. */
    val isEmpty: Boolean get() = controller.expectedOrders != null && !controller.hasModel

    /** The base model that an empty engine is to load. Call on the control thread. */
    fun assignModel(model: String?) = controller.assignModel(model).also { wake.trySend(Unit) }

    /** Notes the begin or the end of a use. Call on the control thread. */
    fun used(use: PeerRequest.AdapterUse) {
        if (use.forMillis > 0) {
            controller.useStarted(use.requestId, use.adapter, now() + use.forMillis, now())
        } else {
            controller.useEnded(use.requestId, use.adapter, now())
        }
    }

    /** Decides whether a request may be sent to the engine. Call on the control thread. */
    fun claim(claim: PeerRequest.ClaimPlace): PeerAnswer {
        val until = now() + claim.forMillis
        return when (controller.reserve(claim.requestId, claim.adapter, until, now(), claim.mayQueue)) {
            ReservationResult.GRANTED -> PeerAnswer.Done
            ReservationResult.BATCH_FULL -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.BATCH_FULL)
            ReservationResult.NOT_HELD -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_HELD)
        }
    }

    /** A newer version of [adapter] exists. Call on the control thread. */
    fun announced(adapter: AdapterName, version: Long) {
        controller.versionAnnounced(adapter, version)
        wake.trySend(Unit)
    }

    /** Makes the adapter ready that [request] asks for. */
    suspend fun ensure(request: PeerRequest.EnsureAdapter): PeerAnswer {
        if (request.wasMissing) control.decide { controller.adapterMissing(request.adapter, now()) }
        val answer = withTimeoutOrNull(request.waitMillis) { awaitReady(request) }
            ?: return PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_IN_TIME)
        val claim = request.claim
        if (claim == null || answer !is PeerAnswer.AdapterReady) return answer
        val granted = control.decide { claim(claim) }
        return if (granted == PeerAnswer.Done) answer else granted
    }

    private suspend fun awaitReady(request: PeerRequest.EnsureAdapter): PeerAnswer {
        while (true) {
            val seen = changes.value
            val standing = control.decide {
                controller.requestAdapter(request.adapter, request.version, now(), request.mayQueue)
            }
            when (standing) {
                is AdapterAvailability.Ready -> return PeerAnswer.AdapterReady(standing.version)
                is AdapterAvailability.Loading ->
                    withTimeoutOrNull((standing.readyAt - now()).coerceAtLeast(1)) { changes.first { it != seen } }
                is AdapterAvailability.Waiting -> {
                    wake.trySend(Unit)
                    withTimeoutOrNull(ORDER_MILLIS) { changes.first { it != seen } }
                }
                is AdapterAvailability.Full ->
                    return PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NO_FREE_PLACE)
            }
        }
    }

    private suspend fun report() {
        var failures = 0
        while (true) {
            val askedAt = now()
            when (val read = orders.report(server)) {
                is ReadResult.Read -> {
                    failures = 0
                    control.decide { controller.applyReport(read.value, askedAt, now()) }
                    changed()
                }
                is ReadResult.Unavailable -> if (failures++ == 0) {
                    log.event("engine gives no report", "server" to server.id, "reason" to read.reason)
                }
            }
            val isUrgent = control.decide { controller.needsReport } && failures == 0
            delay(if (isUrgent) URGENT_REPORT_MILLIS else REPORT_MILLIS)
        }
    }

    private suspend fun order() {
        while (true) {
            val next = control.decide { if (mayOrder()) controller.nextOrder(now()) else null }
            if (next == null) {
                withTimeoutOrNull(ORDER_MILLIS) { wake.receive() }
            } else {
                send(next)
            }
        }
    }

    private suspend fun send(order: EngineOrder) {
        val expected = control.decide { controller.expectedOrders }
        var outcome = OrderOutcome.UNKNOWN
        try {
            outcome = orders.send(server, order, OrderEnvelope(owner, fence, expected))
        } finally {
            control.decide { controller.orderEnded(order, outcome, now()) }
        }
        if (outcome != OrderOutcome.ACCEPTED && outcome != OrderOutcome.ALREADY_DONE) {
            log.event(
                "order failed",
                "server" to server.id,
                "order" to order,
                "expected" to expected,
                "outcome" to outcome,
            )
        } else if (order is EngineOrder.LoadModel) {
            log.event("base model ordered", "server" to server.id, "model" to order.model, "fence" to fence)
        }
        changed()
    }

    private fun changed() {
        changes.value++
        wake.trySend(Unit)
    }
}
