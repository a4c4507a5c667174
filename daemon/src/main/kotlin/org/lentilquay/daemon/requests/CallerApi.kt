/*
 * The listener for callers: OpenAI-compatible inference, the list of models, and plain services. It reads and bounds
 * the request and leaves the rest to the handlers.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.HttpHeaders
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.header
import io.ktor.server.request.receiveChannel
import io.ktor.server.request.uri
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.server.routing.route
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.failed

/** A caller's request, read whole. */
class CallerRequest(val call: ApplicationCall, val presentedKey: String?, val body: ByteArray)

/** Decides whether this VM takes new requests, and bounds their number and size. */
class RequestLimiter(
    private val activeCalls: ActiveCalls,
    private val maximumBodyBytes: Int,
    private val maximumHeaderBytes: Int,
    private val maximumRequests: Int,
) {
    @Volatile
    var isOpen: Boolean = true

    /** Reads the request of [call], or says why it is refused. */
    suspend fun read(call: ApplicationCall): Outcome<CallerRequest> {
        val refusal = refusal(call)
        if (refusal != null) return Outcome.Failed(refusal)
        val body = call.receiveChannel().readRemaining(maximumBodyBytes + 1L).readByteArray()
        val presented = call.request.header(HttpHeaders.Authorization)?.let(::bearerText)
        return when {
            body.size > maximumBodyBytes -> tooLarge()
            presented != null && holdsKey(call, body, presented) -> failed(
                ErrorKind.KEY_IN_REQUEST,
                "the key stands in the body, path, query or another header; send it only as 'Authorization: Bearer'",
            )
            else -> Outcome.Success(CallerRequest(call, presented, body))
        }
    }

    private fun refusal(call: ApplicationCall): Failure? = when {
        !isOpen -> Failure(ErrorKind.SHUTTING_DOWN, "this VM is stopping; send the request again")
        activeCalls.count >= maximumRequests ->
            Failure(ErrorKind.OVERLOADED, "this VM has $maximumRequests requests in progress")
        (call.request.contentLength() ?: 0) > maximumBodyBytes -> tooLarge().failure
        headerBytes(call) > maximumHeaderBytes ->
            Failure(ErrorKind.MALFORMED_REQUEST, "the headers are larger than $maximumHeaderBytes bytes")
        else -> null
    }

    private fun tooLarge() =
        failed(ErrorKind.BODY_TOO_LARGE, "the body is larger than $maximumBodyBytes bytes")
}

/** Installs the routes for callers. */
fun Route.callerRoutes(gate: RequestLimiter, inference: InferenceHandler, services: ServiceHandler) {
    InferenceForm.entries.forEach { form ->
        post(form.path) { gate.serve(call) { inference.handle(form, it) } }
    }
    get("/v1/models") { gate.serve(call) { inference.listModels(it) } }
    route("/services/{route}/{path...}") {
        handle { gate.serve(call) { services.handle(it) } }
    }
}

private suspend fun RequestLimiter.serve(call: ApplicationCall, handle: suspend (CallerRequest) -> Unit) =
    when (val read = read(call)) {
        is Outcome.Failed -> call.respondFailure(read.failure)
        is Outcome.Success -> handle(read.value)
    }

private fun bearerText(header: String): String? =
    header.takeIf { it.startsWith(BEARER, ignoreCase = true) }?.substring(BEARER.length)?.trim()?.ifEmpty { null }

/** Whether the key stands anywhere but in the authorization header, from where it could reach a backend server. */
private fun holdsKey(call: ApplicationCall, body: ByteArray, key: String): Boolean =
    key in call.request.uri ||
        key in body.decodeToString() ||
        call.request.headers.entries().any { (name, values) ->
            !name.equals(HttpHeaders.Authorization, ignoreCase = true) && values.any { key in it }
        }

private fun headerBytes(call: ApplicationCall): Int =
    call.request.headers.entries().sumOf { (name, values) -> values.sumOf { name.length + it.length } }

private const val BEARER = "Bearer "
