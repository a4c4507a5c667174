/*
 * One backend server that this VM owns: connects the allocator's decisions with the engine. Polls of reservations are
 * held for a moment; claims, reports and ticks run for as long as the server is owned. Orders are carried out one after
 * the other for each adapter, outside the control thread.
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
    /** Called when the server knows a later owner. */
    private val deposed: () -> Unit,
) {
    private val scope = context.childScope(parent)
    private val waiting = HashMap<String, CompletableDeferred<PeerAnswer>>()

    /** Loads without an order yet, and the jobs that seek their permits. Used on the control thread. */
    private val plannedLoads = HashMap<AdapterVersion, LoadAttempt>()
    private val permitSeekers = HashMap<AdapterVersion, Job>()
    private val control = context.control
    private val now get() = context.timer.now()

    /** Whether every member has acknowledged the fence. Changed on the control thread. */
    var isAcknowledgedByAll: Boolean = false
        private set

    @Volatile
    var server: BackendServer = initial
        private set
    val fence: Long get() = allocator.fence

    /** Starts claims, reports and ticks. */
    fun start() {
        scope.launch { context.timer.ticks(TICK_MILLIS).collect(::onTick) }
        if (server.kind == ServerKind.ENGINE) {
            scope.launch { every(context.timing.claimMillis, ::claim) }
            scope.launch { every(context.timing.loadReportMillis, ::readReport) }
        } else {
            scope.launch { every(context.timing.loadReportMillis, ::assumeReport) }
        }
    }

    /** Ends all activity for the server; held polls are answered as not owner. Call on the control thread. */
    fun stop() {
        waiting.values.forEach { it.complete(PeerAnswer.NotOwner(null)) }
        waiting.clear()
        scope.cancel()
        plannedLoads.keys.toList().forEach(::stopSeeking)
    }

    /** Answers a reservation, waiting a moment for a place. */
    suspend fun reserve(request: PeerRequest.Reserve, from: VmId): PeerAnswer =
        place(request, from).also { context.metrics.reservation(outcomeOf(it)) }

    private suspend fun place(request: PeerRequest.Reserve, from: VmId): PeerAnswer {
        val held = CompletableDeferred<PeerAnswer>()
        val immediate = control.decide {
            val decision = allocator.reserve(request, from, now)
            if (decision is ReserveDecision.Queued) waiting[request.requestId] = held
            perform(allocator.tick(now))
            answerOf(decision, request)
        }
        if (immediate !is PeerAnswer.Queued) return immediate
        val answer = withTimeoutOrNull(context.timing.reservePollMillis) { held.await() }
        if (answer != null) return answer
        control.decide { waiting.remove(request.requestId, held) }
        return if (held.isCompleted) held.await() else immediate
    }

    /** Runs [decision] on the allocator and carries out its effects. Call on the control thread. */
    fun update(decision: ServerAllocator.(now: Long) -> List<AllocatorEffect>) = perform(allocator.decision(now))

    /** Every member has acknowledged the fence. Call on the control thread. */
    fun acknowledgedByAll() {
        isAcknowledgedByAll = true
        update { allVmsAcknowledged(it) }
    }

    fun snapshot(): AllocatorSnapshot = allocator.snapshot(now)

    /** Takes over a changed configuration of the server. Call on the control thread. */
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
                deposed()
            }
            else -> Unit
        }
    }

    private suspend fun readReport() {
        val result = context.engines.loadReport(server.address)
        if (result is ReportResult.Received) control.decide { update { report(result.report, it) } }
    }

    /** Plain services send no reports; the allocator keeps its doubt after a lost connection for its own bound. */
    private suspend fun assumeReport() = control.decide {
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

    private suspend fun every(millis: Long, action: suspend () -> Unit) {
        action()
        context.timer.ticks(millis).collect { action() }
    }

    private fun perform(effects: List<AllocatorEffect>) = effects.forEach { effect ->
        when (effect) {
            is AllocatorEffect.Grant ->
                answer(effect.requestId, granted(effect.requestId, effect.adapter, effect.waitedForLoad))
            is AllocatorEffect.Refuse -> answer(effect.requestId, PeerAnswer.Refused(effect.failure))
            is AllocatorEffect.NotOwner -> answer(effect.requestId, PeerAnswer.NotOwner(null))
            is AllocatorEffect.RequestLoadPermit -> seekPermit(effect)
            is AllocatorEffect.CancelLoadPermit -> stopSeeking(effect.adapter)
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

    private fun seekPermit(wish: AllocatorEffect.RequestLoadPermit) {
        val load = plannedLoads.getOrPut(wish.adapter) { permits.plan(server.id, wish.adapter) }
        permitSeekers.remove(wish.adapter)?.cancel()
        permitSeekers[wish.adapter] = scope.launch {
            permits.acquire(load, wish.waitingRequests)
            control.decide {
                if (plannedLoads[wish.adapter] == load) update { loadPermitted(wish.adapter, it) }
            }
        }
    }

    private fun stopSeeking(adapter: AdapterVersion) {
        permitSeekers.remove(adapter)?.cancel()
        plannedLoads.remove(adapter)?.let(::release)
    }

    /** Outlives the ownership: a permit that is not given back blocks a place of the weight store until it expires. */
    private fun release(load: LoadAttempt) {
        parent.launch { permits.release(load) }
    }

    private fun startLoad(adapter: AdapterVersion) {
        permitSeekers.remove(adapter)
        val permit = plannedLoads.remove(adapter)
        scope.launch { load(adapter) }.invokeOnCompletion { permit?.let(::release) }
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

    /** Sends an order if it may be sent; null if not. */
    private suspend fun send(order: AdapterOrder, action: suspend () -> OrderResult): OrderResult? {
        if (!orders.begin(server, order)) return null
        var result: OrderResult = OrderResult.OutcomeUnknown("the order was interrupted")
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
        is OrderResult.StaleFence -> LoadResult.NOT_SENT.also { rejectClaim() }
        is OrderResult.Rejected ->
            if (result.code == EngineErrorCodes.NO_FREE_SLOT) LoadResult.NO_FREE_SLOT else LoadResult.FAILED
        is OrderResult.NotWritten -> LoadResult.NOT_SENT
        is OrderResult.OutcomeUnknown -> LoadResult.UNKNOWN
    }

    private suspend fun unloadResult(result: OrderResult): UnloadResult = when (result) {
        is OrderResult.Done -> UnloadResult.UNLOADED
        is OrderResult.StaleFence -> UnloadResult.NOT_SENT.also { rejectClaim() }
        is OrderResult.Rejected ->
            if (result.code == EngineErrorCodes.ADAPTER_NOT_LOADED) {
                UnloadResult.UNLOADED
            } else {
                UnloadResult.STILL_LOADED
            }
        is OrderResult.NotWritten -> UnloadResult.NOT_SENT
        is OrderResult.OutcomeUnknown -> UnloadResult.UNKNOWN
    }

    private suspend fun rejectClaim() = control.decide {
        update { claimRejected(it) }
        deposed()
    }
}

/** Interval, in milliseconds, at which the allocator does what is due. */
private const val TICK_MILLIS = 50L

/** Stands for the process of a plain service that names no incarnation. */
private const val UNKNOWN_INCARNATION = 1L
