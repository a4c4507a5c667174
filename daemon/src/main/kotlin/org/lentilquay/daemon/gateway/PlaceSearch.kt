/*
 * Finds the backend server for one attempt of a request: asks the VMs in control of engines to load its adapter, and
 * waits while all places are taken.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.ServerChoice
import org.lentilquay.coordination.gateway.ServerWish
import org.lentilquay.daemon.control.FleetCalls
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.peer.PeerCallResult

/** Longest wait for an engine to load an adapter, in milliseconds; a load takes about 270. */
private const val LOAD_PATIENCE_MILLIS = 700L

/** Bound on telling another VM about the use of an adapter, in milliseconds. */
private const val USE_MILLIS = 300L

/** Time that a call to another VM may take beyond the work that it asks for, in milliseconds. */
private const val PEER_MARGIN_MILLIS = 200L

/** Pause before a place is sought again while all are taken, in milliseconds. */
private const val PLACE_PAUSE_MILLIS = 60L

/** Prompt tokens whose reading slows an engine as much as one more running request; about 25 ms of its time. */
private const val PROMPT_TOKENS_PER_PLACE = 500.0

internal class PlaceSearch(
    private val names: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val fleet: FleetCalls,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    /**
     * Finds a place for [plan]. All engines are asked for a free place first; while there is none, it waits for one
     * until the answer is sure to be late. The adapter was not found on the engines in [missing].
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
            val wish = ServerWish(plan.service, plan.model, plan.adapter, unable)
            when (val choice = control.decide { state.selection.choose(wish, now()) }) {
                is ServerChoice.Send -> return Outcome.Success(begin(plan, choice))
                is ServerChoice.Load -> when (val answer = load(plan, choice, mayQueue, missing, trace)) {
                    is PeerAnswer.AdapterReady -> {
                        val version = answer.version
                        control.decide { state.selection.learned(plan.adapter!!, choice.server.id, version, now()) }
                        return Outcome.Success(begin(plan, ServerChoice.Send(choice.server, version)))
                    }
                    else -> unable += choice.server.id
                }
                is ServerChoice.Nowhere -> {
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
        val request =
            PeerRequest.EnsureAdapter(server, plan.adapter!!, choice.version, wait, mayQueue, server in missing)
        val result = fleet.call(choice.controller, request, wait + PEER_MARGIN_MILLIS)
        val answer = (result as? PeerCallResult.Answered)?.answer
        if (answer == null) control.decide { state.selection.memberUnreachable(choice.controller, now()) }
        trace.note("load on ${choice.server.id} by ${choice.controller} ${now() - startedAt} ms: ${answer ?: result}")
        return answer
    }

    private suspend fun begin(plan: RequestPlan, choice: ServerChoice.Send): Target = control.decide {
        val overdueAt = now() + plan.route.targetMillis * 2
        val isVersioned = plan.adapter != null && plan.adapter in state.operator.adapterVersions
        plan.adapter?.let { tellUse(plan, choice.server.id, it, (plan.deadlineAt - now()).coerceAtLeast(1)) }
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
        if (end.isAdapterMissing) state.selection.learned(adapter, target.server.id, null, now())
    }
}
