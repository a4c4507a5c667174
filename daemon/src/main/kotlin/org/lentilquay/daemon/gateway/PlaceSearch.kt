/*
 * Finds the backend server for one attempt of a request: asks the VMs in control of engines to load its adapter, and
 * waits while all places are taken.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.ServerChoice
import org.lentilquay.coordination.gateway.ServerRequirements
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.AdapterUnavailableReason
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.peer.PeerCallResult

/** Longest wait for an engine to load an adapter, in milliseconds; a load takes about 270. */
private const val LOAD_PATIENCE_MILLIS = 700L

/** Bound on telling another VM about the use of an adapter, in milliseconds. */
private const val USE_MILLIS = 300L

/**
 * Bound on asking another VM for a place, in milliseconds: a few times a call between failure domains. After it the
 * request is sent all the same, because only the engine can refuse it for certain.
 */
private const val CLAIM_MILLIS = 100L

/** Time that a call to another VM may take beyond the work that it asks for, in milliseconds. */
private const val PEER_MARGIN_MILLIS = 200L

/** Pause before a place is sought again while all are taken, in milliseconds. */
private const val PLACE_PAUSE_MILLIS = 60L

/**
 * Engines that are asked for a place before a request waits for one. When all of a large fleet are full, asking every
 * one takes longer than a place takes to become free.
 */
private const val MAXIMUM_ASKED = 8

/** Prompt tokens whose reading slows an engine as much as one more running request; about 25 ms of its time. */
private const val PROMPT_TOKENS_PER_PLACE = 500.0

internal class PlaceSearch(
    private val names: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val fleet: PeerCaller,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    /**
     * Finds a place for [plan]. Several engines are asked for a free place first; while there is none, it waits for
     * one until the answer is sure to be late. The adapter was not found on the engines in [missing].
     */
    suspend fun find(
        plan: RequestPlan,
        excluded: Set<ServerId>,
        missing: Set<ServerId>,
        trace: RequestTrace,
    ): Outcome<Target> {
        val unable = HashSet(excluded)
        var mayQueue = false
        while (true) {
            when (val choice = choose(plan, excluded, unable)) {
                is ServerChoice.Send -> when (claim(plan, choice, mayQueue, trace)) {
                    Claim.GRANTED -> return Outcome.Success(begin(plan, choice, isUseKnown = true))
                    Claim.NOT_DECIDED -> return Outcome.Success(begin(plan, choice, isUseKnown = false))
                    Claim.FULL -> unable += choice.server.id
                    // The choice knows it now.
                    Claim.NOT_HELD -> Unit
                }
                is ServerChoice.Load -> when (val answer = load(plan, choice, mayQueue, missing, trace)) {
                    is PeerAnswer.AdapterReady -> {
                        val version = answer.version
                        control.decide {
                            state.selection.recordAdapter(plan.adapter!!, choice.server.id, version, now())
                        }
                        val send = ServerChoice.Send(choice.server, version)
                        return Outcome.Success(begin(plan, send, isUseKnown = choice.needsReservation))
                    }
                    else -> unable += choice.server.id
                }
                is ServerChoice.Unavailable -> {
                    if (now() > minOf(plan.targetAt, plan.deadlineAt)) {
                        return Outcome.Failed(notRunFailure(choice.reason, PLACE_ADVICE_MILLIS))
                    }
                    if (mayQueue || unable.size == excluded.size) delay(PLACE_PAUSE_MILLIS)
                    mayQueue = true
                    unable.clear()
                    unable += excluded
                }
            }
        }
    }

    private suspend fun choose(plan: RequestPlan, excluded: Set<ServerId>, unable: Set<ServerId>): ServerChoice {
        if (unable.size - excluded.size >= MAXIMUM_ASKED) return ServerChoice.Unavailable("no engine asked has a place")
        val wish = ServerRequirements(plan.service, plan.model, plan.adapter, unable)
        return control.decide { state.selection.choose(wish, now()) }
    }

    private suspend fun load(
        plan: RequestPlan,
        choice: ServerChoice.Load,
        mayQueue: Boolean,
        missing: Set<ServerId>,
        trace: RequestTrace,
    ): PeerAnswer? {
        val startedAt = now()
        val wait = minOf(LOAD_PATIENCE_MILLIS, plan.deadlineAt - now())
        val server = choice.server.id
        val claim = if (choice.needsReservation) placeClaim(plan, server, mayQueue) else null
        val isMissing = server in missing
        val request =
            PeerRequest.EnsureAdapter(server, plan.adapter!!, choice.version, wait, mayQueue, isMissing, claim)
        val result = releasingWhenCancelled(choice.controller, claim) {
            fleet.call(choice.controller, request, wait + PEER_MARGIN_MILLIS)
        }
        val answer = result.answerOrNull()
        if (answer == null) {
            release(choice.controller, claim)
            control.decide { state.selection.memberUnreachable(choice.controller, now()) }
        }
        trace.note("load on $server by ${choice.controller} ${now() - startedAt} ms: ${answer ?: result}")
        return answer
    }

    private enum class Claim { GRANTED, FULL, NOT_HELD, NOT_DECIDED }

    /** Asks the VM in control of an engine that other VMs may have filled since its last report. */
    private suspend fun claim(
        plan: RequestPlan,
        choice: ServerChoice.Send,
        mayQueue: Boolean,
        trace: RequestTrace,
    ): Claim {
        val controller = choice.reservationController ?: return Claim.NOT_DECIDED
        val server = choice.server.id
        val claim = placeClaim(plan, server, mayQueue)
        val result = releasingWhenCancelled(controller, claim) { fleet.call(controller, claim, CLAIM_MILLIS) }
        val answer = result.answerOrNull()
        if (answer == PeerAnswer.Done) return Claim.GRANTED
        trace.note("place on $server by $controller: ${answer ?: result}")
        return control.decide {
            when ((answer as? PeerAnswer.AdapterUnavailable)?.reason) {
                AdapterUnavailableReason.BATCH_FULL -> Claim.FULL.also { state.health.markFull(server, now()) }
                AdapterUnavailableReason.NOT_HELD ->
                    Claim.NOT_HELD.also { state.selection.recordAdapter(claim.adapter, server, null, now()) }
                AdapterUnavailableReason.NOT_CONTROLLER,
                AdapterUnavailableReason.NO_FREE_PLACE,
                AdapterUnavailableReason.NOT_IN_TIME,
                ->
                    Claim.NOT_DECIDED
                null -> Claim.NOT_DECIDED.also { state.selection.memberUnreachable(controller, now()) }
            }
        }
    }

    private fun placeClaim(plan: RequestPlan, server: ServerId, mayQueue: Boolean) =
        PeerRequest.ClaimPlace(server, plan.adapter!!, plan.id, millisLeft(plan), mayQueue)

    private fun PeerCallResult.answerOrNull(): PeerAnswer? = (this as? PeerCallResult.Answered)?.answer

    /** Gives the place of [claim] back if the request that makes [call] ends meanwhile. */
    private suspend fun releasingWhenCancelled(
        controller: VmId,
        claim: PeerRequest.ClaimPlace?,
        call: suspend () -> PeerCallResult,
    ): PeerCallResult = try {
        call()
    } catch (cancelled: CancellationException) {
        release(controller, claim)
        throw cancelled
    }

    /** Tells [controller] that the request of [claim], which may have been granted, does not come. */
    private fun release(controller: VmId, claim: PeerRequest.ClaimPlace?) {
        if (claim == null) return
        val end = PeerRequest.AdapterUse(claim.server, claim.adapter, claim.requestId, forMillis = 0)
        scope.launch { fleet.call(controller, end, USE_MILLIS) }
    }

    private fun millisLeft(plan: RequestPlan): Long = (plan.deadlineAt - now()).coerceAtLeast(1)

    /** Notes the attempt at the server of [choice]; its controller is told unless [isUseKnown] there. */
    private suspend fun begin(plan: RequestPlan, choice: ServerChoice.Send, isUseKnown: Boolean): Target =
        control.decide {
            val overdueAt = now() + plan.route.targetLatencyMillis * 2
            val isVersioned = plan.adapter != null && plan.adapter in state.operator.adapterVersions
            if (!isUseKnown) plan.adapter?.let { tellUse(plan, choice.server.id, it, millisLeft(plan)) }
            val attempt = state.health.started(choice.server.id, overdueAt, promptWork(plan))
            Target(choice.server, choice.adapterVersion.takeIf { isVersioned }, attempt)
        }

    /** Tells the controller of [server] about a use, so that it does not unload the adapter meanwhile. */
    private fun tellUse(plan: RequestPlan, server: ServerId, adapter: AdapterName, forMillis: Long) {
        val controller = state.selection.controllerOf(server) ?: return
        val use = PeerRequest.AdapterUse(server, adapter, plan.id, forMillis)
        scope.launch { fleet.call(controller, use, USE_MILLIS) }
    }

    /** An engine reads long prompts at the cost of all its other requests. */
    private fun promptWork(plan: RequestPlan): Double {
        if (plan.model == null) return 0.0
        val prompt = plan.request.head.header(names.tokens)?.substringBefore(',')?.trim()?.toLongOrNull() ?: 0
        return prompt / PROMPT_TOKENS_PER_PLACE
    }

    /** An attempt at [target] has ended. Call on the control thread. */
    fun ended(plan: RequestPlan, target: Target, end: AttemptEnd) {
        state.health.ended(target.server.id, target.attempt, end.outcome, now())
        val adapter = plan.adapter ?: return
        tellUse(plan, target.server.id, adapter, forMillis = 0)
        if (end.isAdapterMissing) state.selection.recordAdapter(adapter, target.server.id, null, now())
    }
}
