/*
 * Reads the bodies of requests to the HTTP servers of the daemon. Ktor (3.5.2) passes on a body whose caller closed or
 * reset the connection midway as if it had ended, so its end is checked here.
 */
package org.lentilquay.daemon.requests

import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.contentLength
import io.ktor.server.request.receiveChannel
import io.ktor.utils.io.readRemaining
import kotlinx.io.readByteArray
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.failed

/** The whole body of the request; fails if it is larger than [maximumBytes] or was cut off. */
internal suspend fun ApplicationCall.readBody(maximumBytes: Int): Outcome<ByteArray> {
    val channel = receiveChannel()
    val body = channel.readRemaining(maximumBytes + 1L).readByteArray()
    val declared = request.contentLength()
    return when {
        body.size > maximumBytes -> bodyTooLarge(maximumBytes)
        channel.closedCause != null || (declared != null && body.size < declared) ->
            failed(ErrorKind.MALFORMED_REQUEST, "the connection ended before the end of the body")
        else -> Outcome.Success(body)
    }
}

internal fun bodyTooLarge(maximumBytes: Int): Outcome.Failed =
    failed(ErrorKind.BODY_TOO_LARGE, "the body is larger than $maximumBytes bytes")
