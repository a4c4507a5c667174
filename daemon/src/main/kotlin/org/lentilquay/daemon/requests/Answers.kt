/*
 * Answers to callers and operators for failures: the table of error kinds rendered as an OpenAI-style body, an HTTP
 * status and, where the caller should wait, a Retry-After header in whole seconds.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ErrorBody
import org.lentilquay.protocol.ErrorDetail
import org.lentilquay.state.Failure
import org.lentilquay.state.RetryAdvice

/** The body that describes this failure. */
fun Failure.body(): ErrorBody = ErrorBody(
    ErrorDetail(
        message = message,
        type = if (kind.status < FIRST_SERVER_STATUS) "invalid_request_error" else "server_error",
        code = kind.code,
        run = kind.run.text,
        retry = kind.advice.text,
        retryAfterMillis = retryAfter(),
    ),
)

/** The event that ends a stream which cannot be completed; no `[DONE]` follows it. */
fun Failure.streamEvent(): String = "data: ${Json.encodeToString(body())}\n\n"

/** Answers the call with this failure. */
suspend fun ApplicationCall.respondFailure(failure: Failure) {
    failure.retryAfter()?.let { wait ->
        response.header(HttpHeaders.RetryAfter, ((wait + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND).toString())
    }
    respondText(
        Json.encodeToString(failure.body()),
        ContentType.Application.Json,
        HttpStatusCode.fromValue(failure.kind.status),
    )
}

private fun Failure.retryAfter(): Long? =
    if (kind.advice == RetryAdvice.RETRY_AFTER) retryAfterMillis ?: DEFAULT_RETRY_MILLIS else null

private const val FIRST_SERVER_STATUS = 500
private const val MILLIS_PER_SECOND = 1000L

/** Advised wait, in milliseconds, where the failure names none. */
private const val DEFAULT_RETRY_MILLIS = 1000L
