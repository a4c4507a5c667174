/*
 * One backend server that this VM owns: feeds the allocator with reservations, ownership claims, load reports and
 * ticks, and executes its decisions on the engine. Reservation requests are long-polled. Orders for one adapter run
 * one after the other, outside the control thread. Times are in milliseconds.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.AllocatorSnapshot
import org.lentilquay.coordination.allocation.LoadResult
import org.lentilquay.coordination.allocation.ReserveDecision
import org.lentilquay.coordination.allocation.ServerAllocator
import org.lentilquay.coordination.allocation.UnloadResult
import org.lentilquay.daemon.metrics.OrderKindLabel
import org.lentilquay.daemon.metrics.ReservationOutcome
import org.lentilquay.daemon.timer.TimerEvent
import org.lentilquay.protocol.EngineErrorCodes
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadAdapterOrder
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.UnloadAdapterOrder
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.OrderKind
import org.lentilquay.state.ServerKind
import org.lentilquay.state.VmId
import org.lentilquay.transport.engine.OrderResult
import org.lentilquay.transport.engine.ReportResult

class OwnedServer(
    initial: BackendServer,
    private val allocator: ServerAllocator,
    private val context: ControlContext,
    private val permits: LoadPermitSource,
    private val orders: OrderRecorder,
    private val parent: CoroutineScope,
    /** Called on the control thread when the server rejects the fencing number of this VM as stale. */
    private val onDeposed: () -> Unit,
) {
    private val scope = context.childScope(parent)

    /** Answers that long-polling reservation requests wait for, by request id. Used on the control thread. */
    private val waiting = HashMap<String, CompletableDeferred<PeerAnswer>>()

    /** Loads that were not ordered yet, and the jobs that wait for their permits. Used on the control thread. */
    private val loadAttempts = HashMap<AdapterVersion, LoadAttempt>()
    private val permitJobs = HashMap<AdapterVersion, Job>()
    private val control = context.control
    private val now get() = context.timer.now()

    /** Whether every member has acknowledged the fencing number. Changed on the control thread. */
    var isAcknowledgedByAll: Boolean = false
        private set

    @Volatile
    var server: BackendServer = initial
        private set

    /** The fencing number of this ownership. */
    val fence: Long get() = allocator.fence

    /** Starts claims, reports and ticks. */
    fun start() {
        scope.launch { context.timer.ticks(TICK_INTERVAL_MILLIS).collect(::onTick) }
        if (server.kind == ServerKind.ENGINE) {
            scope.launch { repeatEvery(context.timing.claimMillis, ::claim) }
            scope.launch { repeatEvery(context.timing.loadReportMillis, ::readReport) }
        } else {
            scope.launch { repeatEvery(context.timing.loadReportMillis, ::reportServiceAsWarm) }
        }
    }

    /** Stops all work for the server; waiting reservation requests get `NotOwner`. Call on the control thread. */
    fun stop() {
        waiting.values.forEach { it.complete(PeerAnswer.NotOwner(null)) }
        waiting.clear()
        scope.cancel()
        loadAttempts.keys.toList().forEach(::cancelPermit)
    }

    /** Answers a reservation request; if it is queued, waits for a batch slot for up to one long poll. */
    suspend fun reserve(request: PeerRequest.Reserve, from: VmId): PeerAnswer =
        reserveOrWait(request, from).also { context.metrics.reservation(outcomeOf(it)) }

    private suspend fun reserveOrWait(request: PeerRequest.Reserve, from: VmId): PeerAnswer {
        val laterAnswer = CompletableDeferred<PeerAnswer>()
        val immediate = control.decide {
            val decision = allocator.reserve(request, from, now)
            if (decision is ReserveDecision.Queued) waiting[request.requestId] = laterAnswer
            perform(allocator.tick(now))
            answerOf(decision, request)
        }
        if (immediate !is PeerAnswer.Queued) return immediate
        val answer = withTimeoutOrNull(context.timing.reservePollMillis) { laterAnswer.await() }
        if (answer != null) return answer
        control.decide { waiting.remove(request.requestId, laterAnswer) }
        return if (laterAnswer.isCompleted) laterAnswer.await() else immediate
    }

    /** Runs [decision] on the allocator and performs its effects. Call on the control thread. */
    fun update(decision: ServerAllocator.(now: Long) -> List<AllocatorEffect>) = perform(allocator.decision(now))

    /** Every member has acknowledged the fencing number. Call on the control thread. */
    fun acknowledgedByAll() {
        isAcknowledgedByAll = true
        update { allVmsAcknowledged(it) }
    }

    fun snapshot(): AllocatorSnapshot = allocator.snapshot(now)

    /** Applies a changed configuration of the server. Call on the control thread. */
    fun reconfigure(changed: BackendServer, mayTakeWork: Boolean) {
        server = changed
        update { reconfigure(changed, mayTakeWork, context.teamWeights(), it) }
    }

    private suspend fun onTick(event: TimerEvent) = control.decide {
        if (event is TimerEvent.Paused) update { resumedAfterPause(it) } else update { tick(it) }
    }

    private suspend fun claim() {
        val sentAt = now
        when (val result = context.engines.claim(server.address, fence)) {
            is OrderResult.Done -> control.decide {
                update { claimSucceeded(sentAt, result.engineTimeMillis ?: 0, it) }
            }
            is OrderResult.StaleFence -> control.decide {
                update { claimRejected(it) }
                onDeposed()
            }
            else -> Unit
        }
    }

    private suspend fun readReport() {
        val result = context.engines.loadReport(server.address)
        if (result is ReportResult.Received) control.decide { update { report(result.report, it) } }
    }

    /**
     * Reports a plain service as warm, because such services send no load reports. Requests with an unknown outcome
     * count as running until the allocator's own timeout.
     */
    private suspend fun reportServiceAsWarm() = control.decide {
        val incarnation = allocator.serverIncarnation ?: UNKNOWN_INCARNATION
        val report = LoadReport(
            incarnation = incarnation,
            asOfMillis = now,
            state = EngineState.WARM,
            slots = 0,
            loaded = emptyList(),
            running = emptyMap(),
            maximumInFlight = server.maximumInFlight,
        )
        update { report(report, it) }
    }

    private suspend fun repeatEvery(millis: Long, action: suspend () -> Unit) {
        action()
        context.timer.ticks(millis).collect { action() }
    }

    private fun perform(effects: List<AllocatorEffect>) = effects.forEach { effect ->
        when (effect) {
            is AllocatorEffect.Grant ->
                answer(effect.requestId, granted(effect.requestId, effect.adapter, effect.waitedForLoad))
            is AllocatorEffect.Refuse -> answer(effect.requestId, PeerAnswer.Refused(effect.failure))
            is AllocatorEffect.NotOwner -> answer(effect.requestId, PeerAnswer.NotOwner(null))
            is AllocatorEffect.RequestLoadPermit -> acquirePermit(effect)
            is AllocatorEffect.CancelLoadPermit -> cancelPermit(effect.adapter)
            is AllocatorEffect.Load -> startLoad(effect.adapter)
            is AllocatorEffect.Unload -> scope.launch { unload(effect.adapter) }
        }
    }

    private fun outcomeOf(answer: PeerAnswer): ReservationOutcome = when (answer) {
        is PeerAnswer.Granted -> ReservationOutcome.GRANTED
        is PeerAnswer.Queued -> ReservationOutcome.QUEUED
        is PeerAnswer.Busy -> ReservationOutcome.BUSY
        is PeerAnswer.NotOwner -> ReservationOutcome.NOT_OWNER
        else -> ReservationOutcome.REFUSED
    }

    private fun answer(requestId: String, answer: PeerAnswer) {
        waiting.remove(requestId)?.complete(answer)
    }

    private fun answerOf(decision: ReserveDecision, request: PeerRequest.Reserve): PeerAnswer = when (decision) {
        is ReserveDecision.Granted -> granted(request.requestId, request.adapter, decision.waitedForLoad)
        is ReserveDecision.Queued -> PeerAnswer.Queued(decision.expectedWaitMillis)
        is ReserveDecision.Busy -> PeerAnswer.Busy(decision.expectedWaitMillis)
        is ReserveDecision.Refused -> PeerAnswer.Refused(decision.failure)
        ReserveDecision.NotOwner -> PeerAnswer.NotOwner(null)
    }

    private fun granted(requestId: String, adapter: AdapterVersion?, waitedForLoad: Boolean) = PeerAnswer.Granted(
        requestId = requestId,
        server = server.id,
        address = server.address,
        fence = fence,
        adapter = adapter,
        waitedForLoad = waitedForLoad,
        incarnation = allocator.serverIncarnation,
    )

    private fun acquirePermit(demand: AllocatorEffect.RequestLoadPermit) {
        val attempt = loadAttempts.getOrPut(demand.adapter) { permits.newAttempt(server.id, demand.adapter) }
        permitJobs.remove(demand.adapter)?.cancel()
        permitJobs[demand.adapter] = scope.launch {
            permits.acquire(attempt, demand.waitingRequests)
            control.decide {
                if (loadAttempts[demand.adapter] == attempt) update { loadPermitted(demand.adapter, it) }
            }
        }
    }

    private fun cancelPermit(adapter: AdapterVersion) {
        permitJobs.remove(adapter)?.cancel()
        loadAttempts.remove(adapter)?.let(::release)
    }

    /**
     * Runs in the scope of the process, so that it completes after the ownership has ended: a permit that is not
     * returned occupies a parallel load of the weight store until it expires.
     */
    private fun release(attempt: LoadAttempt) {
        parent.launch { permits.release(attempt) }
    }

    private fun startLoad(adapter: AdapterVersion) {
        permitJobs.remove(adapter)
        val attempt = loadAttempts.remove(adapter)
        scope.launch { load(adapter) }.invokeOnCompletion { attempt?.let(::release) }
    }

    private suspend fun load(adapter: AdapterVersion) {
        val order = LoadAdapterOrder(adapter.engineName, "weights/${adapter.adapter}/${adapter.version}")
        val result = send(AdapterOrder(OrderKind.LOAD, adapter)) { context.engines.load(server.address, fence, order) }
        val loaded = result?.let { loadResult(it) } ?: LoadResult.NOT_SENT
        control.decide { update { loadFinished(adapter, loaded, it) } }
    }

    private suspend fun unload(adapter: AdapterVersion) {
        val order = UnloadAdapterOrder(adapter.engineName)
        val result = send(AdapterOrder(OrderKind.UNLOAD, adapter)) {
            context.engines.unload(server.address, fence, order)
        }
        val unloaded = result?.let { unloadResult(it) } ?: UnloadResult.NOT_SENT
        control.decide { update { unloadFinished(adapter, unloaded, it) } }
    }

    /** Records and sends an order; null if it may not be sent. */
    private suspend fun send(order: AdapterOrder, action: suspend () -> OrderResult): OrderResult? {
        if (!orders.begin(server, order)) return null
        var result: OrderResult = OrderResult.OutcomeUnknown("the order was cancelled")
        try {
            result = action()
        } finally {
            val isCertain = result !is OrderResult.OutcomeUnknown
            withContext(NonCancellable) { orders.finished(server, isCertain) }
        }
        val kind = if (order.kind == OrderKind.LOAD) OrderKindLabel.LOAD else OrderKindLabel.UNLOAD
        context.metrics.ordered(kind, result)
        return result
    }

    private suspend fun loadResult(result: OrderResult): LoadResult = when (result) {
        is OrderResult.Done -> LoadResult.LOADED
        is OrderResult.StaleFence -> LoadResult.NOT_SENT.also { claimRejectedByEngine() }
        is OrderResult.Rejected ->
            if (result.code == EngineErrorCodes.NO_FREE_SLOT) LoadResult.NO_FREE_SLOT else LoadResult.FAILED
        is OrderResult.NotWritten -> LoadResult.NOT_SENT
        is OrderResult.OutcomeUnknown -> LoadResult.UNKNOWN
    }

    private suspend fun unloadResult(result: OrderResult): UnloadResult = when (result) {
        is OrderResult.Done -> UnloadResult.UNLOADED
        is OrderResult.StaleFence -> UnloadResult.NOT_SENT.also { claimRejectedByEngine() }
        is OrderResult.Rejected ->
            if (result.code == EngineErrorCodes.ADAPTER_NOT_LOADED) {
                UnloadResult.UNLOADED
            } else {
                UnloadResult.STILL_LOADED
            }
        is OrderResult.NotWritten -> UnloadResult.NOT_SENT
        is OrderResult.OutcomeUnknown -> UnloadResult.UNKNOWN
    }

    private suspend fun claimRejectedByEngine() = control.decide {
        update { claimRejected(it) }
        onDeposed()
    }
}

/** Interval of the allocator's ticks, which handle timeouts. */
private const val TICK_INTERVAL_MILLIS = 50L

/** Incarnation of a plain service that reports none. */
private const val UNKNOWN_INCARNATION = 1L
