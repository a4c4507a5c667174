/*
 * Handles a caller's request: matches the route, checks key and rate, has the attempts made, and logs the outcome. A
 * refusal which promises that the request did not run is given only if no backend server can have started it.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.coordination.gateway.pickService
import org.lentilquay.coordination.gateway.usage.UsageCounter
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.requests.Quota
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.TeamAccess
import org.lentilquay.transport.http.HttpConnectionPool
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** `Retry-After` while this VM has not read a configuration yet. */
private const val START_RETRY_AFTER_MILLIS = 500L

/**
 * How long a request waits for the first configuration. A process reads it within half a second of its start, so
 * requests wait only during [START_PHASE_MILLIS]; a process that still has none then cannot reach the table service,
 * and nobody knows how long that lasts.
 */
private const val MAXIMUM_START_WAIT_MILLIS = 500L
private const val START_PHASE_MILLIS = 2_000L
private const val START_POLL_MILLIS = 10L

/** Waits for tokens from this length on are added to the trace; it is the time of two calls to another VM. */
private const val TRACED_WAIT_MILLIS = 20L

/** Time reserved before the deadline for the response to reach the caller. */
private const val RESPONSE_MARGIN_MILLIS = 5L

/** The status of a refusal for lack of room. */
private const val NO_ROOM_STATUS = 503

internal class RequestForwarder(
    private val headerNames: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val quota: Quota,
    fleet: PeerCaller,
    servers: HttpConnectionPool,
    private val crashes: CrashDetector,
    private val metrics: GatewayMetrics,
    private val scope: CoroutineScope,
    private val now: () -> Long,
    /** When a planned stop ends the requests in progress, or null if none is about to. */
    private val requestsEndAt: () -> Long? = { null },
    /** Counts the requests that began to run and the demand; null if no duty needs them. */
    private val counter: UsageCounter? = null,
) : CallerHandler {
    private val startedAt = now()
    private val runner = AttemptRunner(headerNames, servers, now, ::began, state.departures) { target, notice ->
        scope.launch(control.dispatcher) {
            state.health.answerStarted(target.server.id, target.attempt)
            notice?.let { state.serverNoticed(target.server, it) }
        }
    }
    private val context = AttemptContext(
        picker = ServerPicker(headerNames, state, control, fleet, scope, now, counter),
        runner = runner,
        crashes = crashes,
        retries = state.retries,
        departures = state.departures,
        onMove = metrics::streamMoved,
        control = control,
        scope = scope,
        now = now,
    )

    override suspend fun handle(request: CallerRequest, writer: ResponseWriter) {
        val trace = RequestTrace(now)
        var status = 0
        var routed: RoutedRequest? = null
        var attempts: RequestAttempts? = null
        var interruption: Interruption? = null
        try {
            status = when (val admitted = admit(request, trace)) {
                is Admission.Refused -> refuse(writer, admitted.failure, trace)
                is Admission.Admitted -> {
                    routed = admitted.routed
                    attempts = RequestAttempts(context, admitted.routed, writer, trace)
                    run(admitted, attempts)
                }
            }
        } catch (cancelled: CancellationException) {
            interruption = interruptionOf(cancelled)
            if (writer.isStarted || interruption != Interruption.StopEnded) throw cancelled
            val failure = stoppedFailure(mayHaveRun = attempts?.mayHaveRun ?: false)
            status = withContext(NonCancellable) { refuse(writer, failure, trace) }
        } catch (failure: IOException) {
            interruption = interruptionOf(failure)
            throw failure
        } finally {
            // The caller may close its connection as soon as it has the whole response.
            if (writer.isEnded) status = writer.status
            val millis = now() - request.arrivedAt
            metrics.requestEnded(routed?.route?.kind, status, millis)
            if (status == NO_ROOM_STATUS) routed?.let { counter?.refused(it.service) }
            val unanswered = if (isAnswered(status)) null else Unanswered(interruption, writer, now())
            logRequest(RequestRecord(request, routed, status, millis, unanswered), trace)
        }
    }

    private fun began(routed: RoutedRequest) {
        routed.access?.let { counter?.began(it.team.id, now()) }
    }

    private fun stoppedFailure(mayHaveRun: Boolean): Failure {
        val message = "this VM stops before the request can end"
        return if (mayHaveRun) unknownOutcome(message) else Failure(ErrorKind.SHUTTING_DOWN, message, 0)
    }

    private sealed interface Admission {
        class Admitted(val routed: RoutedRequest, val charge: Charge?) : Admission

        class Refused(val failure: Failure) : Admission
    }

    private suspend fun admit(request: CallerRequest, trace: RequestTrace): Admission {
        val rules = awaitRules(request)
            ?: return refused(
                ErrorKind.CONFIGURATION_STALE,
                "this VM has no configuration yet",
                START_RETRY_AFTER_MILLIS,
            )
        val head = request.head
        val route = rules.routes.match(head.header("Host").orEmpty(), head.path)
            ?: return refused(ErrorKind.ROUTE_UNKNOWN, "no route for ${head.path}")
        val id = head.headerValues(headerNames.requestId).singleOrNull()
            ?: return refused(ErrorKind.MALFORMED_REQUEST, "exactly one ${headerNames.requestId} header is required")
        val access = if (route.isOpen || rules.configuration.teams.isEmpty()) {
            null
        } else {
            teamOf(rules, head) ?: return refused(ErrorKind.KEY_INVALID, "the API key is missing or unknown")
        }
        val routed = routedRequest(request, id, route, access, rules)
        val endAt = requestsEndAt()
        val quarantine = crashes.quarantineOf(routed)
        return when {
            endAt != null && routed.deadlineAt > endAt -> Admission.Refused(stoppedFailure(mayHaveRun = false))
            quarantine != null -> refused(ErrorKind.NO_CAPACITY, quarantine.reason, quarantine.remainingMillis)
            else -> charge(routed, trace)
        }
    }

    /** The current configuration; waits for the first one while this process starts. */
    private suspend fun awaitRules(request: CallerRequest): RequestRules? {
        val maximumWait = minOf(callerWaitMillis(request.head) - RESPONSE_MARGIN_MILLIS, MAXIMUM_START_WAIT_MILLIS)
        val until = minOf(request.arrivedAt + maximumWait, startedAt + START_PHASE_MILLIS)
        while (state.rules == null && now() < until) delay(START_POLL_MILLIS)
        return state.rules
    }

    private fun routedRequest(
        request: CallerRequest,
        id: String,
        route: GatewayRoute,
        access: TeamAccess?,
        rules: RequestRules,
    ): RoutedRequest {
        val head = request.head
        val timeout = if (route.timeoutMillis > 0) route.timeoutMillis else Long.MAX_VALUE
        val maximumWait = minOf(callerWaitMillis(head), timeout, Int.MAX_VALUE.toLong())
        val service = route.pickService(Random).service
        val named = if (rules.configuration.services[service]?.engine == null) null else head.header(headerNames.model)
        val (model, adapter) = named?.let { modelOf(it) } ?: (null to null)
        val deadlineAt = request.arrivedAt + maximumWait - RESPONSE_MARGIN_MILLIS
        val parts = sharedPromptParts(head.header(headerNames.promptParts))
        val isResumed = head.header(headerNames.lastEventId) != null
        val key = head.header(headerNames.key).orEmpty()
        return RoutedRequest(request, id, route, service, access, model, adapter, deadlineAt, parts, isResumed, key)
    }

    /** How long the caller says that it waits for the response. */
    private fun callerWaitMillis(head: CallerHead): Long =
        head.header(headerNames.deadline)?.trim()?.toLongOrNull()?.coerceAtLeast(0) ?: Long.MAX_VALUE

    private fun teamOf(rules: RequestRules, head: CallerHead): TeamAccess? {
        val key = head.headerValues(headerNames.key).singleOrNull() ?: return null
        return rules.configuration.teamByKeyHash[sha256Of(key)]?.let { rules.configuration.teams[it] }
    }

    private suspend fun charge(routed: RoutedRequest, trace: RequestTrace): Admission {
        val team = routed.access?.team
        if (team == null || team.tokensPerSecond <= 0) return Admission.Admitted(routed, null)
        val tokens = tokenCount(routed.request.head.header(headerNames.tokens)) ?: routed.access.defaultTokenCharge
        val askedAt = now()
        // A request that needs more tokens than the bucket can hold is charged the whole bucket.
        val maximumWait = routed.deadlineAt - MINIMUM_REMAINING_MILLIS - askedAt
        val outcome = quota.admit(team.id, routed.id, minOf(tokens, team.burstTokens), maximumWait)
        val waited = now() - askedAt
        if (waited >= TRACED_WAIT_MILLIS) trace.addNote("waited $waited ms for $tokens tokens")
        return when (outcome) {
            is Outcome.Success -> Admission.Admitted(routed, outcome.value)
            is Outcome.Failed -> Admission.Refused(outcome.failure)
        }
    }

    private suspend fun run(admitted: Admission.Admitted, attempts: RequestAttempts): Int {
        try {
            counter?.arrived(admitted.routed.service)
            control.decide { state.retries.recordRequest(admitted.routed.service, now()) }
            return attempts.complete()
        } finally {
            admitted.charge?.let { quota.settle(it, if (attempts.mayHaveRun) it.tokens else 0) }
        }
    }

    private fun refused(kind: ErrorKind, message: String, retryAfterMillis: Long? = null) =
        Admission.Refused(Failure(kind, message, retryAfterMillis))

    private fun logRequest(record: RequestRecord, trace: RequestTrace) {
        val configuration = "configuration" to state.rules?.configuration?.version
        log.event("request", record.fields(headerNames) + configuration + ("steps" to trace))
    }
}
