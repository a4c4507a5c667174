/*
 * Renders failures as responses for callers and operators: an error body in the form of the OpenAI API, the HTTP status
 * of the error kind and, if the caller should wait, a Retry-After header in whole seconds.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.Json
import org.lentilquay.daemon.gateway.RenderedFailure
import org.lentilquay.protocol.ErrorBody
import org.lentilquay.protocol.ErrorDetail
import org.lentilquay.state.Failure
import org.lentilquay.state.RetryAdvice

/** The error body for this failure. */
fun Failure.body(): ErrorBody = ErrorBody(
    ErrorDetail(
        message = message,
        type = if (kind.status < FIRST_SERVER_ERROR_STATUS) "invalid_request_error" else "server_error",
        code = kind.code,
        run = kind.run.text,
        retry = kind.advice.text,
        retryAfterMillis = advisedWaitMillis(),
    ),
)

/** The event that ends a stream which cannot be completed; it is not followed by `[DONE]`. */
fun Failure.streamEvent(): String = "data: ${Json.encodeToString(body())}\n\n"

/** Responds to the call with [failure]. */
suspend fun ApplicationCall.respondFailure(failure: Failure) {
    failure.retryAfterSeconds()?.let { response.header(HttpHeaders.RetryAfter, it) }
    respondText(
        Json.encodeToString(failure.body()),
        ContentType.Application.Json,
        HttpStatusCode.fromValue(failure.kind.status),
    )
}

/** The response to a request that was refused with [failure] before it had been read. */
internal fun renderFailure(failure: Failure): RenderedFailure {
    val retryAfter = failure.retryAfterSeconds()?.let { HttpHeaders.RetryAfter to it }
    val type = HttpHeaders.ContentType to ContentType.Application.Json.toString()
    return RenderedFailure(listOfNotNull(type, retryAfter), Json.encodeToString(failure.body()).encodeToByteArray())
}

private fun Failure.retryAfterSeconds(): String? =
    advisedWaitMillis()?.let { ((it + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString() }

private fun Failure.advisedWaitMillis(): Long? =
    if (kind.advice == RetryAdvice.RETRY_AFTER) retryAfterMillis ?: DEFAULT_RETRY_AFTER_MILLIS else null

private const val FIRST_SERVER_ERROR_STATUS = 500
private const val MILLIS_PER_SECOND = 1000L

/** `Retry-After` of failures that give none. */
private const val DEFAULT_RETRY_AFTER_MILLIS = 1000L
