/*
 * Takes a caller's request through the gateway: route, key and rate, the choice of a backend server, the attempts, and
 * the answer. A request that may have run is sent again only where its route allows that; a refusal that promises that
 * the request did not run is given only if no backend server can have begun it.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
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
private const val MILLIS_PER_SECOND = 1_000.0

/** A request with less time than this left is not sent, in milliseconds. */
private const val LEAST_MILLIS = 15L

/** Sends of one request, including those that did not run. */
private const val MAXIMUM_SENDS = 5

/** Advice to callers when there is no place, in milliseconds: loads take a quarter of a second. */
internal const val PLACE_ADVICE_MILLIS = 400L

/** Advice to callers while this VM has no configuration yet, in milliseconds. */
private const val START_ADVICE_MILLIS = 500L

/**
 * A process that has just started reads its configuration within half a second. Requests wait for it that long, in the
 * first seconds of the process only: later the platform's store is out, and nobody knows for how long.
 */
private const val START_PATIENCE_MILLIS = 500L
private const val STARTING_MILLIS = 2_000L
private const val START_POLL_MILLIS = 10L

/** A shorter wait for tokens is not noted with the request, in milliseconds: two calls to another VM. */
private const val NOTED_WAIT_MILLIS = 20L

/** Time that is left for the way of an answer back to the caller, in milliseconds. */
private const val RETURN_MILLIS = 5L

internal class RequestForwarding(
    private val names: HeaderNames,
    private val state: GatewayState,
    private val control: ControlThread,
    private val quota: Quota,
    private val fleet: PeerCaller,
    servers: HttpConnectionPool,
    private val crashes: CrashWatch,
    private val metrics: GatewayMetrics,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) : CallerHandler {
    private val startedAt = now()
    private val places = PlaceSearch(names, state, control, fleet, scope, now)
    private val attempts = ServerAttempt(names, servers, now) { target ->
        scope.launch(control.dispatcher) { state.health.answerStarted(target.server.id, target.attempt) }
    }

    override suspend fun handle(request: CallerRequest, writer: AnswerWriter) {
        val trace = RequestTrace(now)
        var status = 0
        var plan: RequestPlan? = null
        try {
            status = when (val admitted = admit(request, trace)) {
                is Admission.Refused -> refuse(writer, admitted.failure, trace)
                is Admission.Admitted -> {
                    plan = admitted.plan
                    run(admitted, writer, trace)
                }
            }
        } finally {
            report(request, plan, status, trace)
        }
    }

    private sealed interface Admission {
        class Admitted(val plan: RequestPlan, val charge: Charge?) : Admission

        class Refused(val failure: Failure) : Admission
    }

    private suspend fun admit(request: CallerRequest, trace: RequestTrace): Admission {
        val rules = awaitRules(request)
            ?: return refused(ErrorKind.CONFIGURATION_STALE, "no configuration is known yet", START_ADVICE_MILLIS)
        val head = request.head
        val route = rules.routes.match(head.header("Host").orEmpty(), head.path)
            ?: return refused(ErrorKind.ROUTE_UNKNOWN, "no route for ${head.path}")
        val id = head.all(names.requestId).singleOrNull()
            ?: return refused(ErrorKind.MALFORMED_REQUEST, "one ${names.requestId} header is needed")
        val access = if (route.isOpen || rules.configuration.teams.isEmpty()) {
            null
        } else {
            teamOf(rules, head) ?: return refused(ErrorKind.KEY_INVALID, "the key is not known")
        }
        return crashQuarantine(request) ?: charge(planOf(request, id, route, access, rules), trace)
    }

    private suspend fun awaitRules(request: CallerRequest): RequestRules? {
        val until = minOf(request.arrivedAt + START_PATIENCE_MILLIS, startedAt + STARTING_MILLIS)
        while (state.rules == null && now() < until) delay(START_POLL_MILLIS)
        return state.rules
    }

    private fun planOf(
        request: CallerRequest,
        id: String,
        route: GatewayRoute,
        access: TeamAccess?,
        rules: RequestRules,
    ): RequestPlan {
        val head = request.head
        val patience = head.header(names.deadline)?.trim()?.toLongOrNull() ?: Long.MAX_VALUE
        val bound = if (route.timeoutMillis > 0) route.timeoutMillis else Long.MAX_VALUE
        val allowed = minOf(patience, bound, Int.MAX_VALUE.toLong())
        val service = route.pickService(Random).service
        val named = if (rules.configuration.services[service]?.engine == null) null else head.header(names.model)
        val (model, adapter) = named?.let { modelOf(it) } ?: (null to null)
        val deadlineAt = request.arrivedAt + allowed - RETURN_MILLIS
        return RequestPlan(request, id, route, service, access, model, adapter, deadlineAt)
    }

    /**
     * Refuses a request that crashes servers. The refusal promises that it has not run, which a caller of a call that
     * may not be repeated needs to know; on this platform a status of 422 promises nothing.
     */
    private suspend fun crashQuarantine(request: CallerRequest): Admission.Refused? {
        if (!crashes.hasSuspects) return null
        val remaining = crashes.quarantineMillis(fingerprint(request)) ?: return null
        return refused(ErrorKind.NO_CAPACITY, "the request has crashed the backend servers that ran it", remaining)
    }

    /** The same for each copy of a request, whatever VM it comes to. */
    private fun fingerprint(request: CallerRequest): String {
        val head = request.head
        val key = head.header(names.key).orEmpty()
        return sha256Of("${head.method} ${head.target}\n$key\n".encodeToByteArray() + request.body)
    }

    private fun teamOf(rules: RequestRules, head: CallerHead): TeamAccess? {
        val key = head.all(names.key).singleOrNull() ?: return null
        return rules.configuration.teamByKeyHash[sha256Of(key)]?.let { rules.configuration.teams[it] }
    }

    private suspend fun charge(plan: RequestPlan, trace: RequestTrace): Admission {
        val team = plan.access?.team
        if (team == null || team.tokensPerSecond <= 0) return Admission.Admitted(plan, null)
        val tokens = tokenCount(plan.request.head.header(names.tokens)) ?: plan.access.defaultTokenCharge
        val askedAt = now()
        // A request that is larger than the burst takes all of it.
        val outcome = quota.admit(team.id, plan.id, minOf(tokens, team.burstTokens))
        val waited = now() - askedAt
        if (waited >= NOTED_WAIT_MILLIS) trace.note("waited $waited ms for $tokens tokens")
        return when (outcome) {
            is Outcome.Success -> Admission.Admitted(plan, outcome.value)
            is Outcome.Failed -> Admission.Refused(outcome.failure)
        }
    }

    private suspend fun run(admitted: Admission.Admitted, writer: AnswerWriter, trace: RequestTrace): Int {
        val plan = admitted.plan
        control.decide { state.retries.recordRequest(plan.service, now()) }
        val run = ForwardedRun(plan, writer, trace)
        try {
            return run.complete()
        } finally {
            admitted.charge?.let { quota.settle(it, if (run.mayHaveRun) it.tokens else 0) }
        }
    }

    /** The attempts for one request. */
    private inner class ForwardedRun(
        private val plan: RequestPlan,
        private val writer: AnswerWriter,
        private val trace: RequestTrace,
    ) {
        private val excluded = HashSet<ServerId>()

        /** The engines that refused the request because they do not hold its adapter. */
        private val missing = HashSet<ServerId>()
        private var runs = 0
        private var sends = 0
        private var resumeAfter: String? = null
        private var failedAnswer: WholeAnswerFromServer? = null
        val mayHaveRun: Boolean get() = runs > 0

        /** Tries until the request is answered, and returns the status of the answer. */
        suspend fun complete(): Int {
            var status: Int? = null
            while (status == null) status = tryOnce()
            return status
        }

        /** One attempt; null if another one is to follow. */
        private suspend fun tryOnce(): Int? {
            if (plan.deadlineAt - now() < LEAST_MILLIS) return fail("no time is left")
            val target = when (val found = places.find(plan, excluded, missing, trace)) {
                is Outcome.Success -> found.value
                is Outcome.Failed -> return fail(found.failure.message)
            }
            val end = attempt(target)
            return when (val result = end.result) {
                is AttemptResult.Delivered -> result.status
                is AttemptResult.NotRun -> afterRefusal(target, result, end.isAdapterMissing)
                is AttemptResult.Failed -> afterFailure(target, result)
                is AttemptResult.BrokenStream -> afterBreak(target, result)
            }
        }

        private suspend fun afterRefusal(
            target: Target,
            result: AttemptResult.NotRun,
            isAdapterMissing: Boolean,
        ): Int? {
            if (isAdapterMissing) missing += target.server.id else excluded += target.server.id
            return when {
                ++sends >= MAXIMUM_SENDS -> fail(result.reason)
                result.hasArrived && !takeRetry() -> fail("${result.reason}, no retry left")
                else -> null
            }
        }

        private suspend fun afterFailure(target: Target, result: AttemptResult.Failed): Int? {
            failedAnswer = result.answer ?: failedAnswer
            excluded += target.server.id
            return if (canRunAgain() && takeRetry()) null else fail(result.reason)
        }

        private suspend fun afterBreak(target: Target, result: AttemptResult.BrokenStream): Int? {
            resumeAfter = result.lastEventId
            excluded += target.server.id
            val canResume = plan.route.isResumable && result.lastEventId != null && canRunAgain()
            if (!canResume || !takeRetry()) throw IOException("the stream broke off: ${result.reason}")
            return null
        }

        private suspend fun attempt(target: Target): AttemptEnd {
            val startedAt = now()
            var end = AttemptEnd(AttemptResult.Failed("the caller left or the time ran out"), ServerOutcome.UNKNOWN)
            try {
                val mayRetry = plan.route.mayRunAgain && runs + 1 < plan.route.maximumAttempts
                end = attempts.run(plan, target, writer, mayRetry, resumeAfter)
            } finally {
                // Also when the caller left: the server may have run the request, so its tokens are used.
                if (end.result !is AttemptResult.NotRun) runs++
                trace.step(target.server.id, startedAt, end.result)
                withContext(NonCancellable) { ended(plan, target, end) }
            }
            return end
        }

        private fun canRunAgain() =
            plan.route.mayRunAgain && runs < plan.route.maximumAttempts && sends++ < MAXIMUM_SENDS

        private suspend fun takeRetry(): Boolean = control.decide { state.retries.tryAcquire(plan.service, now()) }

        private suspend fun fail(reason: String): Int {
            if (writer.isStarted) throw IOException("the stream broke off: $reason")
            val answer = failedAnswer
            if (answer != null) {
                writer.whole(answer.status, answer.headers, answer.body)
                return answer.status
            }
            val failure = if (runs == 0) notRunFailure(reason, PLACE_ADVICE_MILLIS) else unknownFailure(reason)
            return refuse(writer, failure, trace)
        }
    }

    private suspend fun ended(plan: RequestPlan, target: Target, end: AttemptEnd) = control.decide {
        places.ended(plan, target, end)
        if (end.outcome == ServerOutcome.LOST) crashes.connectionLost(target.server, fingerprint(plan.request))
    }

    private suspend fun refuse(writer: AnswerWriter, failure: Failure, trace: RequestTrace): Int {
        trace.note("${failure.kind.code}: ${failure.message}")
        val headers = buildList {
            add("Content-Type" to "text/plain")
            val advice = failure.retryAfterMillis ?: return@buildList
            add("Retry-After" to "%.3f".format(java.util.Locale.ROOT, advice / MILLIS_PER_SECOND))
        }
        writer.whole(failure.kind.status, headers, failure.message.encodeToByteArray())
        return failure.kind.status
    }

    private fun refused(kind: ErrorKind, message: String, retryAfterMillis: Long? = null) =
        Admission.Refused(Failure(kind, message, retryAfterMillis))

    private fun report(request: CallerRequest, plan: RequestPlan?, status: Int, trace: RequestTrace) {
        val millis = now() - request.arrivedAt
        metrics.requestEnded(plan?.route?.kind, status, millis)
        log.event(
            "request",
            "id" to (request.head.header(names.requestId) ?: ""),
            "status" to if (status == 0) "cut" else status,
            "millis" to millis,
            "route" to plan?.route?.name,
            "team" to plan?.access?.team?.id,
            "adapter" to plan?.adapter,
            "tokens" to request.head.header(names.tokens),
            "configuration" to state.rules?.configuration?.version,
            "steps" to trace,
        )
    }
}
