/*
 * Picks the backend server for one attempt of a request. For an engine, it reserves a batch slot with the controller of
 * the engine and has the adapter loaded if necessary, and it waits while all engines are full.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.ServerChoice
import org.lentilquay.coordination.gateway.ServerRequirements
import org.lentilquay.coordination.gateway.departureOf
import org.lentilquay.coordination.gateway.usage.UsageCounter
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.peer.PeerCallResult

/** Longest wait for an engine to load an adapter; a load takes about 270 ms. */
private const val MAXIMUM_LOAD_WAIT_MILLIS = 700L

/** Timeout of the notice to a controller that the use of an adapter starts or ends. */
private const val USE_NOTICE_TIMEOUT_MILLIS = 300L

/**
 * Timeout of a batch slot reservation, a few times the duration of a call between failure domains. After it the request
 * is sent without a reservation, because only the engine itself can tell that it is full.
 */
private const val RESERVATION_TIMEOUT_MILLIS = 100L

/** Time that a call to another VM may take in addition to the load that it waits for. */
private const val PEER_CALL_MARGIN_MILLIS = 200L

/** Delay before all engines are tried again after all were full. */
private const val FULL_RETRY_MILLIS = 60L

/**
 * Engines that one round asks for a slot before the request waits. When all engines of a large fleet are full, asking
 * each of them takes longer than it takes until a slot becomes free.
 */
private const val ENGINES_PER_ROUND = 8

/**
 * Prompt tokens whose prefill slows down an engine as much as one more running request: about 25 ms of engine time.
 */
private const val PROMPT_TOKENS_PER_BATCH_SLOT = 500.0

internal class ServerPicker(
    private val headerNames: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val fleet: PeerCaller,
    private val scope: CoroutineScope,
    private val now: () -> Long,
    /** Counts the requests that wait for a server; null if no duty needs them. */
    private val counter: UsageCounter? = null,
) {
    /**
     * Picks a server for [routed] that is not in [excluded]. The first round accepts only slots that are free at once;
     * later rounds may queue at an engine. Fails when the target latency of the route or the deadline has passed. The
     * engines in [withoutAdapter] have refused the request because they do not hold its adapter.
     */
    suspend fun pick(
        routed: RoutedRequest,
        excluded: Set<ServerId>,
        withoutAdapter: Set<ServerId>,
        trace: RequestTrace,
    ): Outcome<AttemptTarget> {
        counter?.waitingChanged(routed.service, 1)
        try {
            return pickWaiting(routed, excluded, withoutAdapter, trace)
        } finally {
            counter?.waitingChanged(routed.service, -1)
        }
    }

    private suspend fun pickWaiting(
        routed: RoutedRequest,
        excluded: Set<ServerId>,
        withoutAdapter: Set<ServerId>,
        trace: RequestTrace,
    ): Outcome<AttemptTarget> {
        val rejected = HashSet(excluded)
        var mayQueue = false
        while (true) {
            when (val choice = choose(routed, excluded, rejected)) {
                is ServerChoice.Send -> {
                    val reservation = reserve(routed, choice, mayQueue, trace)
                    sendAfterReservation(routed, choice, reservation)?.let { return Outcome.Success(it) }
                    // After a missing adapter the next choice differs, because the selection has recorded it.
                    if (reservation != SlotReservation.ADAPTER_MISSING) rejected += choice.server.id
                }
                is ServerChoice.Load -> {
                    val answer = load(routed, choice, mayQueue, withoutAdapter, trace)
                    sendAfterLoad(routed, choice, answer)?.let { return Outcome.Success(it) }
                    rejected += choice.server.id
                }
                is ServerChoice.Unavailable -> {
                    val isBlocked = rejected.size == excluded.size
                    refusal(routed, choice, isBlocked)?.let { return Outcome.Failed(it) }
                    if (mayQueue || isBlocked) delay(FULL_RETRY_MILLIS)
                    mayQueue = true
                    rejected.clear()
                    rejected += excluded
                }
            }
        }
    }

    /**
     * The refusal of a request that waited as long as it may. If it [isBlocked] because all servers have asked for a
     * pause that lasts longer, it is refused at once, with the end of the pause as the time to come back.
     */
    private fun refusal(routed: RoutedRequest, choice: ServerChoice.Unavailable, isBlocked: Boolean): Failure? {
        val waitsUntil = minOf(routed.targetAt, routed.deadlineAt)
        val reopensAt = choice.reopensAt?.takeIf { isBlocked && it > waitsUntil }
        return when {
            reopensAt != null -> notRunFailure("all backend servers of the service pause", reopensAt - now())
            now() > waitsUntil -> notRunFailure(choice.reason, NO_SLOT_RETRY_AFTER_MILLIS)
            else -> null
        }
    }

    private suspend fun choose(routed: RoutedRequest, excluded: Set<ServerId>, rejected: Set<ServerId>): ServerChoice {
        if (rejected.size - excluded.size >= ENGINES_PER_ROUND) return ServerChoice.Unavailable("engines are full")
        val requirements = ServerRequirements(routed.service, routed.model, routed.adapter, rejected)
        return control.decide { state.selection.choose(requirements, now()) }
    }

    private suspend fun load(
        routed: RoutedRequest,
        choice: ServerChoice.Load,
        mayQueue: Boolean,
        withoutAdapter: Set<ServerId>,
        trace: RequestTrace,
    ): PeerAnswer? {
        val startedAt = now()
        val maximumWait = minOf(MAXIMUM_LOAD_WAIT_MILLIS, routed.deadlineAt - now())
        val server = choice.server.id
        val reservation = if (choice.needsReservation) reservationRequest(routed, server, mayQueue) else null
        val isMissing = server in withoutAdapter
        val request =
            PeerRequest.EnsureAdapter(
                server,
                routed.adapter!!,
                choice.version,
                maximumWait,
                mayQueue,
                isMissing,
                reservation,
            )
        val result = releaseOnCancellation(choice.controller, reservation) {
            fleet.call(choice.controller, request, maximumWait + PEER_CALL_MARGIN_MILLIS)
        }
        val answer = result.answerOrNull()
        if (answer == null) {
            release(choice.controller, reservation)
            control.decide { state.selection.memberUnreachable(choice.controller, now()) }
        }
        trace.addNote("load on $server by ${choice.controller} ${now() - startedAt} ms: ${answer ?: result}")
        return answer
    }

    /** Starts the attempt of a request after its [reservation]; null if that was refused or the server closed since. */
    private suspend fun sendAfterReservation(
        routed: RoutedRequest,
        choice: ServerChoice.Send,
        reservation: SlotReservation,
    ): AttemptTarget? {
        val isReserved = when (reservation) {
            SlotReservation.GRANTED -> true
            SlotReservation.UNKNOWN -> false
            SlotReservation.FULL, SlotReservation.ADAPTER_MISSING -> return null
        }
        val controller = choice.reservationController.takeIf { isReserved }
        return startAttempt(routed, choice, isReserved) ?: releaseSlot(routed, choice.server.id, controller)
    }

    /** Releases the slot that [controller] has reserved, if there is one. */
    private fun releaseSlot(routed: RoutedRequest, server: ServerId, controller: VmId?): AttemptTarget? {
        if (controller != null) release(controller, reservationRequest(routed, server, mayQueue = false))
        return null
    }

    /**
     * Starts the attempt of a request after the [answer] to its load; null if the adapter is not loaded, or if the
     * engine is cold and takes no more requests for now.
     */
    private suspend fun sendAfterLoad(
        routed: RoutedRequest,
        choice: ServerChoice.Load,
        answer: PeerAnswer?,
    ): AttemptTarget? {
        val version = (answer as? PeerAnswer.AdapterReady)?.version ?: return null
        val server = choice.server
        val isAcquired = control.decide {
            state.selection.recordAdapter(routed.adapter!!, server.id, version, now())
            state.selection.acquireIfCold(server, now())
        }
        val started =
            if (isAcquired) startAttempt(routed, ServerChoice.Send(server, version), choice.needsReservation) else null
        return started ?: releaseSlot(routed, server.id, choice.controller.takeIf { choice.needsReservation })
    }

    private enum class SlotReservation { GRANTED, FULL, ADAPTER_MISSING, UNKNOWN }

    /** Reserves a batch slot with the engine's controller; other VMs may have filled it since its last report. */
    private suspend fun reserve(
        routed: RoutedRequest,
        choice: ServerChoice.Send,
        mayQueue: Boolean,
        trace: RequestTrace,
    ): SlotReservation {
        val controller = choice.reservationController ?: return SlotReservation.UNKNOWN
        val server = choice.server.id
        val reservation = reservationRequest(routed, server, mayQueue)
        val result = releaseOnCancellation(controller, reservation) {
            fleet.call(controller, reservation, RESERVATION_TIMEOUT_MILLIS)
        }
        val answer = result.answerOrNull()
        if (answer == PeerAnswer.Done) return SlotReservation.GRANTED
        trace.addNote("reservation on $server by $controller: ${answer ?: result}")
        return control.decide {
            when ((answer as? PeerAnswer.AdapterUnavailable)?.reason) {
                AdapterUnavailableReason.BATCH_FULL ->
                    SlotReservation.FULL.also { state.health.markFull(server, now()) }
                AdapterUnavailableReason.NOT_HELD ->
                    SlotReservation.ADAPTER_MISSING.also {
                        state.selection.recordAdapter(reservation.adapter, server, null, now())
                    }
                AdapterUnavailableReason.NOT_CONTROLLER,
                AdapterUnavailableReason.NO_FREE_PLACE,
                AdapterUnavailableReason.NOT_IN_TIME,
                ->
                    SlotReservation.UNKNOWN
                null -> SlotReservation.UNKNOWN.also { state.selection.memberUnreachable(controller, now()) }
            }
        }
    }

    private fun reservationRequest(routed: RoutedRequest, server: ServerId, mayQueue: Boolean) =
        PeerRequest.ClaimPlace(server, routed.adapter!!, routed.id, millisLeft(routed), mayQueue)

    private fun PeerCallResult.answerOrNull(): PeerAnswer? = (this as? PeerCallResult.Answered)?.answer

    /** Makes [call], and releases the slot of [reservation] if the caller's request is cancelled meanwhile. */
    private suspend fun releaseOnCancellation(
        controller: VmId,
        reservation: PeerRequest.ClaimPlace?,
        call: suspend () -> PeerCallResult,
    ): PeerCallResult = try {
        call()
    } catch (cancelled: CancellationException) {
        release(controller, reservation)
        throw cancelled
    }

    /** Tells [controller] that the slot of [reservation], which may have been granted, will not be used. */
    private fun release(controller: VmId, reservation: PeerRequest.ClaimPlace?) {
        if (reservation == null) return
        val end = PeerRequest.AdapterUse(reservation.server, reservation.adapter, reservation.requestId, forMillis = 0)
        scope.launch { fleet.call(controller, end, USE_NOTICE_TIMEOUT_MILLIS) }
    }

    private fun millisLeft(routed: RoutedRequest): Long = (routed.deadlineAt - now()).coerceAtLeast(1)

    /**
     * Records the start of an attempt at the server of [choice]. Unless a slot [isReserved] with its controller, the
     * controller is notified of the use of the adapter. Null if an answer or a short notice has said since the choice
     * that the server takes no more requests.
     */
    private suspend fun startAttempt(
        routed: RoutedRequest,
        choice: ServerChoice.Send,
        isReserved: Boolean,
    ): AttemptTarget? =
        control.decide {
            val isLeaving = departureOf(state.departures.value, choice.server) != null
            if (isLeaving || !state.selection.isOpen(choice.server, now())) return@decide null
            val overdueAt = now() + routed.route.targetLatencyMillis * 2
            val isVersioned = routed.adapter != null && routed.adapter in state.operator.adapterVersions
            if (!isReserved) routed.adapter?.let { notifyUse(routed, choice.server.id, it, millisLeft(routed)) }
            val attempt = state.health.started(choice.server.id, overdueAt, promptWork(routed))
            AttemptTarget(choice.server, choice.adapterVersion.takeIf { isVersioned }, attempt)
        }

    /** Notifies the controller of [server] of the use of [adapter], so that it does not unload it meanwhile. */
    private fun notifyUse(routed: RoutedRequest, server: ServerId, adapter: AdapterName, forMillis: Long) {
        val controller = state.selection.controllerOf(server) ?: return
        val use = PeerRequest.AdapterUse(server, adapter, routed.id, forMillis)
        scope.launch { fleet.call(controller, use, USE_NOTICE_TIMEOUT_MILLIS) }
    }

    /** The cost of the prompt in batch slots: an engine's prefill slows down all its other requests. */
    private fun promptWork(routed: RoutedRequest): Double {
        if (routed.model == null) return 0.0
        val prompt = routed.request.head.header(headerNames.tokens)?.substringBefore(',')?.trim()?.toLongOrNull() ?: 0
        return prompt / PROMPT_TOKENS_PER_BATCH_SLOT
    }

    /** Records the end of an attempt at [target]. Call on the control thread. */
    fun attemptEnded(routed: RoutedRequest, target: AttemptTarget, outcome: AttemptOutcome) {
        state.health.ended(target.server.id, target.attempt, outcome.serverOutcome, now())
        val adapter = routed.adapter ?: return
        notifyUse(routed, target.server.id, adapter, forMillis = 0)
        if (outcome.isAdapterMissing) state.selection.recordAdapter(adapter, target.server.id, null, now())
    }
}
