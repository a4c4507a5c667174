/*
 * The HTTP routes for callers: OpenAI-compatible inference, the list of models, and plain services. A request is read
 * and checked against the limits of this VM here; handlers do the rest.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.uri
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import org.lentilquay.daemon.requests.engine.ARRIVED_AT
import org.lentilquay.daemon.requests.engine.monotonicMillis
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.failed
import java.util.concurrent.atomic.AtomicInteger

/** A caller's request with its complete body; [presentedKey] is the bearer token. */
class CallerRequest(val call: ApplicationCall, val presentedKey: String?, val body: ByteArray)

/** Limits the number and the size of requests, and rejects new ones while this VM stops. */
class RequestLimiter(
    private val activeCalls: ActiveCalls,
    private val maximumBodyBytes: Int,
    private val maximumHeaderBytes: Int,
    private val maximumRequests: Int,
) {
    /** When a planned stop began to refuse requests; null before. */
    @Volatile
    private var closedAt: Long? = null

    private val admittedCount = AtomicInteger()

    /** Whether accepted requests are in progress, from the check of the head to the end of the handling. */
    val hasRequests: Boolean get() = admittedCount.get() > 0

    /** Refuses requests whose heads arrive from now on. */
    fun close() {
        closedAt = monotonicMillis()
    }

    /** Reads the request of [call] and passes it to [handle], or responds with the failure that rejects it. */
    suspend fun serve(call: ApplicationCall, handle: suspend (CallerRequest) -> Unit) {
        val refusal = readAndHandle(call, handle)
        if (refusal != null) call.respondFailure(refusal)
    }

    /** Reads the request of [call], or returns the failure with which it is rejected. */
    suspend fun read(call: ApplicationCall): Outcome<CallerRequest> {
        val refusal = refusal(call)
        if (refusal != null) return Outcome.Failed(refusal)
        val body = when (val read = call.readBody(maximumBodyBytes)) {
            is Outcome.Failed -> return read
            is Outcome.Success -> read.value
        }
        val presented = call.request.header(HttpHeaders.Authorization)?.let(::bearerToken)
        return when {
            presented != null && containsKey(call, body, presented) -> failed(
                ErrorKind.KEY_IN_REQUEST,
                "the key also appears in the body, path, query or another header; use only 'Authorization: Bearer'",
            )
            else -> Outcome.Success(CallerRequest(call, presented, body))
        }
    }

    private suspend fun readAndHandle(call: ApplicationCall, handle: suspend (CallerRequest) -> Unit): Failure? {
        // Counted before closedAt is read: a planned stop sets it first and then reads the count, so it misses none.
        admittedCount.incrementAndGet()
        try {
            return when (val read = read(call)) {
                is Outcome.Failed -> read.failure
                is Outcome.Success -> {
                    handle(read.value)
                    null
                }
            }
        } finally {
            admittedCount.decrementAndGet()
        }
    }

    /** Whether the head of the request arrived after a planned stop had begun to refuse requests. */
    private fun hasArrivedLate(call: ApplicationCall): Boolean {
        val closed = closedAt ?: return false
        return (call.attributes.getOrNull(ARRIVED_AT) ?: closed) >= closed
    }

    private fun refusal(call: ApplicationCall): Failure? = when {
        hasArrivedLate(call) ->
            Failure(ErrorKind.SHUTTING_DOWN, "this VM is stopping; send the request again")
        activeCalls.count >= maximumRequests ->
            Failure(ErrorKind.OVERLOADED, "this VM already has $maximumRequests requests in progress")
        (call.request.contentLength() ?: 0) > maximumBodyBytes -> bodyTooLarge(maximumBodyBytes).failure
        headerBytes(call) > maximumHeaderBytes ->
            Failure(ErrorKind.MALFORMED_REQUEST, "the headers are larger than $maximumHeaderBytes bytes")
        else -> null
    }
}

/** Installs the routes for callers. */
fun Route.callerRoutes(limiter: RequestLimiter, inference: InferenceHandler, services: ServiceHandler) {
    InferenceForm.entries.forEach { form ->
        post(form.path) { limiter.serve(call) { inference.handle(form, it) } }
    }
    get("/v1/models") { limiter.serve(call) { inference.listModels(it) } }
    route("/services/{route}/{path...}") {
        handle { limiter.serve(call) { services.handle(it) } }
    }
}

private fun bearerToken(header: String): String? =
    header.takeIf { it.startsWith(BEARER_PREFIX, ignoreCase = true) }
        ?.substring(BEARER_PREFIX.length)?.trim()?.ifEmpty { null }

/** Whether the key appears anywhere but in the Authorization header, from where it could reach a backend server. */
private fun containsKey(call: ApplicationCall, body: ByteArray, key: String): Boolean =
    key in call.request.uri ||
        key in body.decodeToString() ||
        call.request.headers.entries().any { (name, values) ->
            !name.equals(HttpHeaders.Authorization, ignoreCase = true) && values.any { key in it }
        }

private fun headerBytes(call: ApplicationCall): Int =
    call.request.headers.entries().sumOf { (name, values) -> values.sumOf { name.length + it.length } }

private const val BEARER_PREFIX = "Bearer "
