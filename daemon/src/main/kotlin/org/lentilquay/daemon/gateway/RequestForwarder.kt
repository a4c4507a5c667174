/*
 * Handles a caller's request: matches the route, checks key and rate, picks a backend server, makes the attempts, and
 * answers. A request that may have run is sent again only where its route allows that; a refusal which promises that
 * the request did not run is given only if no backend server can have started it.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.io.IOException
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.coordination.gateway.pickService
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.requests.Quota
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.TeamAccess
import org.lentilquay.transport.http.HttpConnectionPool
import kotlin.random.Random

private val log = KotlinLogging.logger {}

/** A request with less time left before its deadline is not sent. */
private const val MINIMUM_REMAINING_MILLIS = 15L

/** Attempts to send one request, including those after which it did not run. */
private const val MAXIMUM_SENDS = 5

/** `Retry-After` when no server has a free slot; loading an adapter takes a quarter of a second. */
internal const val NO_SLOT_RETRY_AFTER_MILLIS = 400L

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

/** Delay before the servers are asked again to go on with a stream that has begun. */
private const val RESUME_RETRY_MILLIS = 200L

/** Waits for tokens from this length on are added to the trace; it is the time of two calls to another VM. */
private const val TRACED_WAIT_MILLIS = 20L

/** Time reserved before the deadline for the response to reach the caller. */
private const val RESPONSE_MARGIN_MILLIS = 5L

internal class RequestForwarder(
    private val headerNames: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val quota: Quota,
    private val fleet: PeerCaller,
    servers: HttpConnectionPool,
    private val crashes: CrashDetector,
    private val metrics: GatewayMetrics,
    private val scope: CoroutineScope,
    private val now: () -> Long,
    /** When a planned stop ends the requests in progress, or null if none is about to. */
    private val requestsEndAt: () -> Long? = { null },
) : CallerHandler {
    private val startedAt = now()
    private val picker = ServerPicker(headerNames, state, control, fleet, scope, now)
    private val runner = AttemptRunner(headerNames, servers, now) { target, notice ->
        scope.launch(control.dispatcher) {
            state.health.answerStarted(target.server.id, target.attempt)
            notice?.let { state.serverNoticed(target.server, it) }
        }
    }

    override suspend fun handle(request: CallerRequest, writer: ResponseWriter) {
        val trace = RequestTrace(now)
        var status = 0
        var routed: RoutedRequest? = null
        var attempts: RequestAttempts? = null
        try {
            status = when (val admitted = admit(request, trace)) {
                is Admission.Refused -> refuse(writer, admitted.failure, trace)
                is Admission.Admitted -> {
                    routed = admitted.routed
                    attempts = RequestAttempts(admitted.routed, writer, trace)
                    run(admitted, attempts)
                }
            }
        } catch (cancelled: CancellationException) {
            if (writer.isStarted || !isStopEnd(cancelled)) throw cancelled
            val failure = stoppedFailure(mayHaveRun = attempts?.mayHaveRun ?: false)
            status = withContext(NonCancellable) { refuse(writer, failure, trace) }
        } finally {
            logRequest(request, routed, status, trace)
        }
    }

    /** Whether [cancelled], or what caused it, ends the request because the time of a planned stop has passed. */
    private fun isStopEnd(cancelled: CancellationException): Boolean =
        generateSequence<Throwable>(cancelled) { it.cause }.any { it is StopEndedException }

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
        val quarantine = quarantineOf(routed)
        return when {
            endAt != null && routed.deadlineAt > endAt -> Admission.Refused(stoppedFailure(mayHaveRun = false))
            quarantine != null -> refused(ErrorKind.NO_CAPACITY, quarantine.reason, quarantine.remainingMillis)
            else -> charge(routed, trace)
        }
    }

    /** The current configuration; waits for the first one while this process starts. */
    private suspend fun awaitRules(request: CallerRequest): RequestRules? {
        val until = minOf(request.arrivedAt + MAXIMUM_START_WAIT_MILLIS, startedAt + START_PHASE_MILLIS)
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
        val callerWait = head.header(headerNames.deadline)?.trim()?.toLongOrNull() ?: Long.MAX_VALUE
        val timeout = if (route.timeoutMillis > 0) route.timeoutMillis else Long.MAX_VALUE
        val maximumWait = minOf(callerWait, timeout, Int.MAX_VALUE.toLong())
        val service = route.pickService(Random).service
        val named = if (rules.configuration.services[service]?.engine == null) null else head.header(headerNames.model)
        val (model, adapter) = named?.let { modelOf(it) } ?: (null to null)
        val deadlineAt = request.arrivedAt + maximumWait - RESPONSE_MARGIN_MILLIS
        val parts = sharedPromptParts(head.header(headerNames.promptParts))
        val isResumed = head.header(headerNames.lastEventId) != null
        return RoutedRequest(request, id, route, service, access, model, adapter, deadlineAt, parts, isResumed)
    }

    /**
     * The quarantine of a request, or null. Its refusal promises that the request did not run, which the caller of a
     * non-repeatable call needs to know; on this platform a status of 422 makes no such promise.
     */
    private suspend fun quarantineOf(routed: RoutedRequest): RequestQuarantine? =
        if (crashes.hasSuspects) crashes.quarantine(hashOf(routed.request), routed.promptParts) else null

    /** A hash of the content of a request, equal for all copies of it on all VMs. */
    private fun hashOf(request: CallerRequest): String {
        val head = request.head
        val key = head.header(headerNames.key).orEmpty()
        return sha256Of("${head.method} ${head.target}\n$key\n".encodeToByteArray() + request.body)
    }

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
        val outcome = quota.admit(team.id, routed.id, minOf(tokens, team.burstTokens))
        val waited = now() - askedAt
        if (waited >= TRACED_WAIT_MILLIS) trace.addNote("waited $waited ms for $tokens tokens")
        return when (outcome) {
            is Outcome.Success -> Admission.Admitted(routed, outcome.value)
            is Outcome.Failed -> Admission.Refused(outcome.failure)
        }
    }

    private suspend fun run(admitted: Admission.Admitted, attempts: RequestAttempts): Int {
        try {
            control.decide { state.retries.recordRequest(admitted.routed.service, now()) }
            return attempts.complete()
        } finally {
            admitted.charge?.let { quota.settle(it, if (attempts.mayHaveRun) it.tokens else 0) }
        }
    }

    /** Makes the attempts of one request and decides after each whether another one follows. */
    private inner class RequestAttempts(
        private val routed: RoutedRequest,
        private val writer: ResponseWriter,
        private val trace: RequestTrace,
    ) {
        private val excluded = HashSet<ServerId>()

        /** The engines that refused the request because they do not hold its adapter; they may load it. */
        private val withoutAdapter = HashSet<ServerId>()

        /** Attempts after which the request may have run. */
        private var runs = 0
        private var sends = 0

        /** Whether a retry was taken from the budget and not used yet. */
        private var hasReservedRetry = false

        /** The server that has reserved a place for a stream that leaves its server, or null. */
        private var nextTarget: AttemptTarget? = null
        private var resumeAfter: String? = null

        /** The last error response of a backend server, which the caller gets if no attempt succeeds. */
        private var errorResponse: BufferedResponse? = null
        val mayHaveRun: Boolean get() = runs > 0

        /** Makes attempts until the request is answered, and returns the status of the response. */
        suspend fun complete(): Int {
            var status: Int? = null
            try {
                while (status == null) status = tryOnce()
            } finally {
                withContext(NonCancellable) { takeNextTarget()?.let { release(it) } }
            }
            return status
        }

        /** Makes one attempt; returns the status of the response, or null if another attempt is to follow. */
        private suspend fun tryOnce(): Int? {
            if (routed.deadlineAt - now() < MINIMUM_REMAINING_MILLIS) return fail("no time is left before the deadline")
            quarantineOf(routed)?.let { return fail(it.reason, it.remainingMillis) }
            val target = takeNextTarget() ?: when (val found = picker.pick(routed, excluded, withoutAdapter, trace)) {
                is Outcome.Success -> found.value
                is Outcome.Failed -> return afterNoServer(found.failure)
            }
            val outcome = attempt(target)
            return when (val result = outcome.result) {
                is AttemptResult.Delivered -> result.status
                is AttemptResult.NotRun -> afterRefusal(target, result, outcome.isAdapterMissing)
                is AttemptResult.Failed -> afterFailure(target, result)
                is AttemptResult.BrokenStream -> afterBrokenStream(target, result)
            }
        }

        /** A stream that has begun waits for a server, because its caller can no longer be refused. */
        private suspend fun afterNoServer(failure: Failure): Int? {
            if (!writer.isStarted) return fail(failure.message, failure.retryAfterMillis ?: NO_SLOT_RETRY_AFTER_MILLIS)
            // The servers that were left may take requests again, and no other one does.
            excluded.clear()
            delay(RESUME_RETRY_MILLIS)
            return null
        }

        private suspend fun afterRefusal(
            target: AttemptTarget,
            result: AttemptResult.NotRun,
            isAdapterMissing: Boolean,
        ): Int? {
            if (isAdapterMissing) withoutAdapter += target.server.id else excluded += target.server.id
            return when {
                ++sends >= MAXIMUM_SENDS -> fail(result.reason)
                result.hasArrived && !awaitRetry() -> fail("${result.reason}, the retry budget is exhausted")
                else -> null
            }
        }

        private suspend fun afterFailure(target: AttemptTarget, result: AttemptResult.Failed): Int? {
            errorResponse = result.answer ?: errorResponse
            excluded += target.server.id
            return if (canRunAgain() && tryRetry()) null else fail(result.reason)
        }

        private suspend fun afterBrokenStream(target: AttemptTarget, result: AttemptResult.BrokenStream): Int? {
            resumeAfter = result.lastEventId
            excluded += target.server.id
            val canResume = routed.route.isResumable && result.lastEventId != null && canRunAgain()
            if (!canResume || !tryRetry()) throw IOException("the stream broke off: ${result.reason}")
            return null
        }

        private suspend fun attempt(target: AttemptTarget): AttemptOutcome {
            val startedAt = now()
            val progress = AttemptProgress(routed.promptParts, startedAt)
            var outcome = AttemptOutcome(
                AttemptResult.Failed("the caller disconnected or the time ran out"),
                ServerOutcome.UNKNOWN,
            )
            try {
                val mayRetry = routed.route.mayRunAgain && runs + 1 < routed.route.maximumAttempts
                val stream = StreamProgress(resumeAfter, { crashes.firstEvent(progress) }) { isStalled ->
                    mayRetry && tryMove(target.server.id, isStalled)
                }
                // The request may have become quarantined while it waited for a server.
                outcome = quarantineOf(routed)?.let { notSent(it.reason) }
                    ?: runner.run(routed, target, writer, mayRetry, stream)
            } finally {
                // Also after a cancellation: the server may have run the request, so its tokens count as used.
                if (outcome.result !is AttemptResult.NotRun) runs++
                trace.addAttempt(target.server.id, startedAt, outcome.result)
                withContext(NonCancellable) { ended(routed, target, outcome, progress) }
            }
            return outcome
        }

        private fun notSent(reason: String) =
            AttemptOutcome(AttemptResult.NotRun(reason, hasArrived = false), ServerOutcome.UNKNOWN)

        private fun canRunAgain() =
            routed.route.mayRunAgain && runs < routed.route.maximumAttempts && sends++ < MAXIMUM_SENDS

        /** Reserves a retry, and a place at another server, for a stream that is about to leave the server [left]. */
        private suspend fun tryMove(left: ServerId, isStalled: () -> Boolean): Boolean {
            hasReservedRetry = hasReservedRetry || tryRetry()
            if (!hasReservedRetry) return false
            // In the scope of the forwarder, so that a place that is found after the end of the stream is released.
            val search = scope.async { picker.pick(routed, excluded + left, withoutAdapter, RequestTrace(now)) }
            val found = try {
                (search.await() as? Outcome.Success)?.value
            } catch (cancelled: CancellationException) {
                scope.launch { (search.await() as? Outcome.Success)?.let { release(it.value) } }
                throw cancelled
            }
            when {
                found == null -> trace.addNote("stays at $left, no other server takes the stream")
                isStalled() -> nextTarget = found
                else -> release(found)
            }
            return nextTarget != null
        }

        private fun takeNextTarget(): AttemptTarget? = nextTarget.also { nextTarget = null }

        /** Frees the place of an attempt that is not made. */
        private suspend fun release(target: AttemptTarget) =
            control.decide { picker.attemptEnded(routed, target, notSent("not needed")) }

        /** Takes a retry from the budget. A stream that has begun waits for one, as its caller cannot be refused. */
        private suspend fun awaitRetry(): Boolean {
            while (!tryRetry()) {
                if (!writer.isStarted || routed.deadlineAt - now() < MINIMUM_REMAINING_MILLIS) return false
                delay(RESUME_RETRY_MILLIS)
            }
            return true
        }

        private suspend fun tryRetry(): Boolean {
            val isReserved = hasReservedRetry
            hasReservedRetry = false
            return isReserved || control.decide { state.retries.tryAcquire(routed.service, now()) }
        }

        private suspend fun fail(reason: String, retryAfterMillis: Long = NO_SLOT_RETRY_AFTER_MILLIS): Int {
            if (writer.isStarted) throw IOException("the stream broke off: $reason")
            val answer = errorResponse
            if (answer != null) {
                writer.respond(answer.status, answer.headers, answer.body)
                return answer.status
            }
            val failure = if (runs == 0) notRunFailure(reason, retryAfterMillis) else unknownOutcome(reason)
            return refuse(writer, failure, trace)
        }
    }

    private suspend fun ended(
        routed: RoutedRequest,
        target: AttemptTarget,
        outcome: AttemptOutcome,
        progress: AttemptProgress,
    ) = control.decide {
        picker.attemptEnded(routed, target, outcome)
        if (outcome.serverOutcome == ServerOutcome.LOST) {
            crashes.connectionLost(target.server, hashOf(routed.request), progress)
        } else {
            crashes.ended(progress, outcome.result)
        }
    }

    private suspend fun refuse(writer: ResponseWriter, failure: Failure, trace: RequestTrace): Int {
        trace.addNote("${failure.kind.code}: ${failure.message}")
        writer.respond(failure.kind.status, failureHeaders(failure), failure.message.encodeToByteArray())
        return failure.kind.status
    }

    private fun refused(kind: ErrorKind, message: String, retryAfterMillis: Long? = null) =
        Admission.Refused(Failure(kind, message, retryAfterMillis))

    private fun logRequest(request: CallerRequest, routed: RoutedRequest?, status: Int, trace: RequestTrace) {
        val millis = now() - request.arrivedAt
        metrics.requestEnded(routed?.route?.kind, status, millis)
        log.event(
            "request",
            "id" to (request.head.header(headerNames.requestId) ?: ""),
            "status" to if (status == 0) "cut" else status,
            "millis" to millis,
            "route" to routed?.route?.name,
            "team" to routed?.access?.team?.id,
            "adapter" to routed?.adapter,
            "tokens" to request.head.header(headerNames.tokens),
            "configuration" to state.rules?.configuration?.version,
            "steps" to trace,
        )
    }
}
