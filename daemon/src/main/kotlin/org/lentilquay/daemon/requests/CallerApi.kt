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
    /** Whether new requests are accepted; false during a planned stop. */
    @Volatile
    var isOpen: Boolean = true

    private val admittedCount = AtomicInteger()
    private val bodiesBeingRead = AtomicInteger()

    /**
     * Whether accepted requests are in progress, from the check of the head to the end of the handling. Requests whose
     * body is still being read count only if [includesBodies].
     */
    fun hasRequests(includesBodies: Boolean): Boolean {
        val admitted = admittedCount.get()
        return if (includesBodies) admitted > 0 else admitted > bodiesBeingRead.get()
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
        val body = when (val read = readCounted(call)) {
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
        // Counted before isOpen is read: a planned stop sets isOpen first and then reads the count, so it misses none.
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

    private suspend fun readCounted(call: ApplicationCall): Outcome<ByteArray> {
        bodiesBeingRead.incrementAndGet()
        return try {
            call.readBody(maximumBodyBytes)
        } finally {
            bodiesBeingRead.decrementAndGet()
        }
    }

    private fun refusal(call: ApplicationCall): Failure? = when {
        !isOpen -> Failure(ErrorKind.SHUTTING_DOWN, "this VM is stopping; send the request again")
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
