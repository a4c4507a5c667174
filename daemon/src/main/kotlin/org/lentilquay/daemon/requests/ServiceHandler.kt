/*
 * Handles calls to plain services. Calls whose method is non-repeatable on their route use an idempotency record and
 * are dispatched at most once. Other calls are sent again to another server if the first one is lost.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.uri
import io.ktor.server.response.header
import io.ktor.server.response.respondBytes
import org.lentilquay.coordination.configuration.AccessDecision
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.RunState
import org.lentilquay.state.ServerId
import org.lentilquay.state.failed
import org.lentilquay.transport.engine.ServiceCall
import org.lentilquay.transport.engine.ServiceCallResult
import org.lentilquay.transport.engine.ServiceClient
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.forwardedRequestHeaders
import java.util.UUID

/** A service call that passed the access check. */
class AdmittedServiceCall(
    val requestId: String,
    val access: AccessDecision.Allowed,
    val target: RouteTarget.ServiceTarget,
    val call: ServiceCall,
    val fingerprint: String,
)

/** The complete response of a service, as it is sent to the caller and stored in the idempotency record. */
class ServiceReply(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray)

/** The result of one attempt at a service call. */
sealed interface ServiceAttempt {
    class Answered(val reply: ServiceReply) : ServiceAttempt

    /** No byte of the call was written to a backend server. */
    class NotRun(val failure: Failure, val server: ServerId? = null) : ServiceAttempt

    /** The call was written, and its outcome is unknown. */
    class Unknown(val reason: String, val server: ServerId) : ServiceAttempt
}

/** Sends service calls to backend servers at which a slot was reserved. */
class ServiceDispatcher(
    private val reservations: ReservationClient,
    private val services: ServiceClient,
    private val now: () -> Long,
) {
    /** Makes attempt number [attempt], at a server outside [excluded] if there is one. */
    suspend fun attempt(admitted: AdmittedServiceCall, attempt: Int, excluded: Set<ServerId>): ServiceAttempt {
        val reservation = when (val reserved = reservations.reserve(reservationRequest(admitted, attempt, excluded))) {
            is Outcome.Failed -> return ServiceAttempt.NotRun(reserved.failure)
            is Outcome.Success -> reserved.value
        }
        val refusal = expiryFailure(reservation)
        if (refusal != null) {
            reservations.release(reservation, RunOutcome.NOT_STARTED, null)
            return ServiceAttempt.NotRun(refusal)
        }
        var outcome = RunOutcome.CANCELLED
        try {
            val headers = listOf(EngineHeaders.REQUEST_ID to reservation.attemptId)
            val result = when (val answer = services.forward(reservation.address, admitted.call, headers)) {
                is ServiceCallResult.NotWritten ->
                    ServiceAttempt.NotRun(notReached(reservation, answer.reason), reservation.server)
                is ServiceCallResult.LostAfterWriting -> ServiceAttempt.Unknown(answer.reason, reservation.server)
                is ServiceCallResult.Answered -> {
                    answer.notice?.let { reservations.noticed(reservation, answer.incarnation, it) }
                    reservations.progress(reservation, null)
                    readAnswer(answer, reservation)
                }
            }
            outcome = if (result is ServiceAttempt.Answered) RunOutcome.COMPLETED else RunOutcome.CONNECTION_LOST
            return result
        } finally {
            reservations.release(reservation, outcome, null)
        }
    }

    private suspend fun readAnswer(answer: ServiceCallResult.Answered, reservation: Reservation): ServiceAttempt =
        answer.body.use { body ->
            when (val whole = body.readFully(MAXIMUM_RESPONSE_BYTES)) {
                is BodyReadResult.Complete ->
                    ServiceAttempt.Answered(ServiceReply(answer.status, answer.headers, whole.bytes))
                is BodyReadResult.TooLarge -> ServiceAttempt.Unknown("the response is too large", reservation.server)
                is BodyReadResult.Lost -> ServiceAttempt.Unknown(whole.reason, reservation.server)
            }
        }

    private fun expiryFailure(reservation: Reservation): Failure? = Failure(
        ErrorKind.NO_CAPACITY,
        "the reservation expired before the call could start",
    ).takeIf { now() > reservation.dispatchDeadline }

    private fun notReached(reservation: Reservation, reason: String) =
        Failure(ErrorKind.NO_CAPACITY, "backend server ${reservation.server} was not reached: $reason")

    private fun reservationRequest(
        admitted: AdmittedServiceCall,
        attempt: Int,
        excluded: Set<ServerId>,
    ) = ReservationRequest(
        attemptId = "${admitted.requestId}-$attempt",
        target = ReservationTarget.Service(admitted.target.service),
        team = admitted.access.team,
        estimatedTokens = SERVICE_CALL_TOKENS,
        priority = Priority.SHORT,
        waitMillis = admitted.access.route.maximumWaitMillis,
        fingerprint = admitted.fingerprint,
        isSuspect = false,
        excluded = excluded,
    )
}

class ServiceHandler(
    private val view: () -> ConfigurationView,
    private val quota: Quota,
    private val dispatcher: ServiceDispatcher,
    private val atMostOnce: AtMostOnceCalls,
    private val activeCalls: ActiveCalls,
    private val metrics: RequestMetrics,
    private val now: () -> Long,
) {
    suspend fun handle(received: CallerRequest) {
        val activeCall = activeCalls.begin(null)
        val startedAt = now()
        try {
            when (val outcome = admitAndRun(received)) {
                is Outcome.Failed -> {
                    metrics.failed(outcome.failure.kind)
                    received.call.respondFailure(outcome.failure)
                }
                is Outcome.Success -> {
                    metrics.serviceAnswered(now() - startedAt)
                    received.call.respondReply(outcome.value)
                }
            }
        } finally {
            activeCalls.end(activeCall)
        }
    }

    private suspend fun admitAndRun(received: CallerRequest): Outcome<ServiceReply> {
        val current = view()
        val route = RouteId(received.call.parameters["route"].orEmpty())
        val allowed = when (val verdict = current.access.authorize(route, received.presentedKey, current.freshness)) {
            is AccessDecision.Refused -> return Outcome.Failed(verdict.failure)
            is AccessDecision.Allowed -> verdict
        }
        val target = allowed.route.target as? RouteTarget.ServiceTarget
            ?: return failed(ErrorKind.ROUTE_UNKNOWN, "route $route leads to an adapter; call /v1/chat/completions")
        val admitted = admittedCall(received, allowed, target)
        val charge = when (val taken = quota.admit(allowed.team, admitted.requestId, SERVICE_CALL_TOKENS)) {
            is Outcome.Failed -> return taken
            is Outcome.Success -> taken.value
        }
        val outcome = if (admitted.call.method in target.nonRepeatableMethods) {
            atMostOnce.run(admitted, received.call.request.header(IDEMPOTENCY_KEY_HEADER))
        } else {
            runRepeatable(admitted)
        }
        val isNotRun = outcome is Outcome.Failed && outcome.failure.kind.run == RunState.NOT_RUN
        quota.settle(charge, if (isNotRun) 0 else SERVICE_CALL_TOKENS)
        return outcome
    }

    private suspend fun runRepeatable(admitted: AdmittedServiceCall): Outcome<ServiceReply> {
        val excluded = mutableSetOf<ServerId>()
        var mayHaveRun = false
        var last = Failure(ErrorKind.BACKEND_FAILED, "no backend server answered")
        repeat(MAXIMUM_REPEATABLE_ATTEMPTS) { attempt ->
            when (val result = dispatcher.attempt(admitted, attempt, excluded)) {
                is ServiceAttempt.Answered -> return Outcome.Success(result.reply)
                is ServiceAttempt.NotRun -> {
                    last = result.failure
                    result.server?.let { excluded += it }
                }
                is ServiceAttempt.Unknown -> {
                    mayHaveRun = true
                    excluded += result.server
                    last = Failure(ErrorKind.BACKEND_FAILED, "the response was lost: ${result.reason}")
                }
            }
        }
        return Outcome.Failed(if (mayHaveRun) Failure(ErrorKind.BACKEND_FAILED, last.message) else last)
    }

    private fun admittedCall(
        received: CallerRequest,
        allowed: AccessDecision.Allowed,
        target: RouteTarget.ServiceTarget,
    ): AdmittedServiceCall {
        val request = received.call.request
        val prefix = "/services/${allowed.route.id}"
        val pathAndQuery = request.uri.removePrefix(prefix).let { if (it.startsWith("/")) it else "/$it" }
        val headers = request.headers.entries().flatMap { (name, values) -> values.map { name to it } }
        val method = request.httpMethod.value
        return AdmittedServiceCall(
            requestId = "req-${UUID.randomUUID()}",
            access = allowed,
            target = target,
            call = ServiceCall(method, pathAndQuery, forwardedRequestHeaders(headers), received.body),
            fingerprint = callFingerprint(allowed.team.text, method, pathAndQuery, received.body),
        )
    }
}

/**
 * Sends a new or replayed reply to the caller. The Content-Type is passed on as the service sent it, because Ktor's
 * parser rejects values that callers accept.
 */
private suspend fun ApplicationCall.respondReply(reply: ServiceReply) {
    reply.headers.forEach { (name, value) -> response.header(name, value) }
    respondBytes(reply.body, contentType = null, HttpStatusCode.fromValue(reply.status))
}

/** Identifies a non-repeatable call, so that it runs at most once however often it is sent. */
const val IDEMPOTENCY_KEY_HEADER: String = "Idempotency-Key"

/** Tokens charged for a call to a plain service. */
private const val SERVICE_CALL_TOKENS = 16L

/** Attempts of one repeatable call, over all servers. */
private const val MAXIMUM_REPEATABLE_ATTEMPTS = 3

/** Longest response of a service that is passed on. */
private const val MAXIMUM_RESPONSE_BYTES = 8 shl 20
