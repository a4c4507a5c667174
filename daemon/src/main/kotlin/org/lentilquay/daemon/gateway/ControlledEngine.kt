/*
 * An engine that this VM controls: polls its reports, sends the orders that the engine controller decides on, one at a
 * time, and lets requests wait until their adapter is loaded.
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

/** Interval between reports in general, and while the next order depends on a new report. */
private const val REPORT_MILLIS = 1_500L
private const val URGENT_REPORT_MILLIS = 150L

/** Longest interval between two checks for a due order. */
private const val ORDER_CHECK_MILLIS = 100L

class ControlledEngine(
    initial: RegisteredServer,
    initialFence: Long,
    /** The id of this VM. */
    private val vm: String,
    profile: EngineProfile,
    private val client: EngineControlClient,
    private val control: ControlThread,
    private val mayOrder: () -> Boolean,
    private val now: () -> Long,
    /** The time for which adapters count as used; null if nobody asks for their number. */
    private val usedMillis: Long? = null,
) {
    private val controller = EngineController(profile)
    private val orderDue = Channel<Unit>(Channel.CONFLATED)

    /** Incremented when waiting requests should check their adapter again. */
    private val changes = MutableStateFlow(0L)
    private var jobs: List<Job> = emptyList()

    @Volatile
    var server: RegisteredServer = initial

    /** The fencing number of this VM; it rises when the controller record is written again. */
    @Volatile
    var fence: Long = initialFence
        private set

    fun start(scope: CoroutineScope) {
        jobs = listOf(scope.launch { pollReports() }, scope.launch { sendOrders() })
    }

    /** Sends orders with the number [fence] from now on. */
    fun renumbered(fence: Long) {
        this.fence = fence
    }

    /** Stops reports and orders. */
    fun stop() = jobs.forEach { it.cancel() }

    /** The state of the engine for the member record of this VM. Call on the control thread. */
    fun state(): EngineRecord = EngineRecord(
        server = server.id,
        fence = fence,
        running = controller.running,
        queued = controller.queued,
        adapters = controller.readyAdapters(now()).entries
            .groupBy({ it.key.model }, { "${it.key.adapter}@${it.value}" })
            .ifEmpty { server.models.associateWith { emptyList() } },
        usedAdapters = usedMillis?.let { controller.usedAdapters(now() - it) },
    )

    /** Whether the engine has reported that it holds no base model. Call on the control thread. */
    val isEmpty: Boolean get() = controller.expectedOrders != null && !controller.hasModel

    /** Sets the base model that an empty engine is to load. Call on the control thread. */
    fun assignModel(model: String?) = controller.assignModel(model).also { orderDue.trySend(Unit) }

    /** Records the start or, if [use] lasts for 0 ms, the end of the use of an adapter. Call on the control thread. */
    fun recordUse(use: PeerRequest.AdapterUse) {
        if (use.forMillis > 0) {
            controller.useStarted(use.requestId, use.adapter, now() + use.forMillis, now())
        } else {
            controller.useEnded(use.requestId, use.adapter, now())
        }
    }

    /** Reserves a batch slot for a request, or refuses it. Call on the control thread. */
    fun reserve(slot: PeerRequest.ClaimPlace): PeerAnswer {
        val until = now() + slot.forMillis
        return when (controller.reserve(slot.requestId, slot.adapter, until, now(), slot.mayQueue)) {
            ReservationResult.GRANTED -> PeerAnswer.Done
            ReservationResult.BATCH_FULL -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.BATCH_FULL)
            ReservationResult.NOT_HELD -> PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_HELD)
        }
    }

    /** Records that [version] of [adapter] exists. Call on the control thread. */
    fun versionAnnounced(adapter: AdapterName, version: Long) {
        controller.versionAnnounced(adapter, version)
        orderDue.trySend(Unit)
    }

    /** Waits until the adapter of [request] is loaded, and then reserves a batch slot if [request] asks for one. */
    suspend fun ensureLoaded(request: PeerRequest.EnsureAdapter): PeerAnswer {
        if (request.wasMissing) control.decide { controller.adapterMissing(request.adapter, now()) }
        val answer = withTimeoutOrNull(request.waitMillis) { awaitReady(request) }
            ?: return PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NOT_IN_TIME)
        val slot = request.claim
        if (slot == null || answer !is PeerAnswer.AdapterReady) return answer
        val reserved = control.decide { reserve(slot) }
        return if (reserved == PeerAnswer.Done) answer else reserved
    }

    private suspend fun awaitReady(request: PeerRequest.EnsureAdapter): PeerAnswer {
        while (true) {
            val seen = changes.value
            val availability = control.decide {
                controller.requestAdapter(request.adapter, request.version, now(), request.mayQueue)
            }
            when (availability) {
                is AdapterAvailability.Ready -> return PeerAnswer.AdapterReady(availability.version)
                is AdapterAvailability.Loading ->
                    withTimeoutOrNull((availability.readyAt - now()).coerceAtLeast(1)) { changes.first { it != seen } }
                is AdapterAvailability.Waiting -> {
                    orderDue.trySend(Unit)
                    withTimeoutOrNull(ORDER_CHECK_MILLIS) { changes.first { it != seen } }
                }
                is AdapterAvailability.Full ->
                    return PeerAnswer.AdapterUnavailable(AdapterUnavailableReason.NO_FREE_PLACE)
            }
        }
    }

    private suspend fun pollReports() {
        val steps = LoopSteps("reports of ${server.id}")
        var failures = 0
        while (true) {
            val isDone = steps.run { failures = if (applyReport(failures == 0)) 0 else failures + 1 }
            val isUrgent = isDone && control.decide { controller.needsReport } && failures == 0
            delay(if (isUrgent) URGENT_REPORT_MILLIS else REPORT_MILLIS)
        }
    }

    /** Reads a report and applies it; returns false if there is none. */
    private suspend fun applyReport(isFailureLogged: Boolean): Boolean {
        val askedAt = now()
        when (val read = client.report(server)) {
            is ReadResult.Read -> {
                control.decide { controller.applyReport(read.value, askedAt, now()) }
                notifyChange()
                return true
            }
            is ReadResult.Unavailable -> {
                if (isFailureLogged) {
                    log.event("engine report failed", "server" to server.id, "reason" to read.reason)
                }
                return false
            }
        }
    }

    private suspend fun sendOrders() {
        val steps = LoopSteps("orders to ${server.id}")
        while (true) {
            val isDone = steps.run {
                val next = control.decide { if (mayOrder()) controller.nextOrder(now()) else null }
                if (next == null) {
                    withTimeoutOrNull(ORDER_CHECK_MILLIS) { orderDue.receive() }
                } else {
                    send(next)
                }
            }
            if (!isDone) delay(ORDER_CHECK_MILLIS)
        }
    }

    private suspend fun send(order: EngineOrder) {
        val expected = control.decide { controller.expectedOrders }
        var outcome = OrderOutcome.UNKNOWN
        try {
            outcome =
                client.send(server, order, OrderEnvelope(vm, fence, expected)) { control.decide { mayOrder() } }
        } finally {
            control.decide { controller.orderEnded(order, outcome, now()) }
        }
        if (outcome != OrderOutcome.ACCEPTED && outcome != OrderOutcome.ALREADY_DONE) {
            log.event(
                "engine order failed",
                "server" to server.id,
                "order" to order,
                "expected" to expected,
                "outcome" to outcome,
                "fence" to fence,
            )
        } else if (order is EngineOrder.LoadModel) {
            log.event("base model load ordered", "server" to server.id, "model" to order.model, "fence" to fence)
        }
        notifyChange()
    }

    private fun notifyChange() {
        changes.value++
        orderDue.trySend(Unit)
    }
}
