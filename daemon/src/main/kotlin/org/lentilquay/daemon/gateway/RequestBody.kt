/*
 * Reads the body of a caller's request within its limits and the memory for the bodies of all requests.
 */
package org.lentilquay.daemon.gateway

import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.BodyReader

/** `Retry-After` of a request whose body found no memory; a long body takes about a second to arrive. */
private const val NO_MEMORY_RETRY_AFTER_MILLIS = 1_000L

/** The result of reading the body of a request. */
internal sealed interface RequestBodyResult {
    class Read(val bytes: ByteArray) : RequestBodyResult

    /** The body was not read to its end, so the connection cannot carry another request. */
    data class Refused(val failure: Failure) : RequestBodyResult
}

/**
 * Reads the body that follows in [input], with [memory] for a long one. Throws an [IOException] if the body is cut off
 * or the caller sends nothing for the idle timeout.
 */
internal suspend fun readRequestBody(
    input: ByteReadChannel,
    framing: BodyFraming,
    limits: CallerLimits,
    memory: RequestBodyBudget.Reservation,
): RequestBodyResult {
    val length = (framing as? BodyFraming.Length)?.bytes
    if (length != null && length > limits.bodyBytes) return tooLong(limits)
    if (length != null && !memory.reserve(length)) return noMemory()
    val reader = BodyReader(input, framing)
    val collected = Buffer()
    var isReserved = length != null
    while (true) {
        val part = nextPart(reader, limits) ?: return RequestBodyResult.Read(collected.readByteArray())
        collected.write(part)
        if (collected.size > limits.bodyBytes) return tooLong(limits)
        if (!isReserved && collected.size > UNCOUNTED_REQUEST_BYTES) {
            if (!memory.reserve(limits.bodyBytes.toLong())) return noMemory()
            isReserved = true
        }
    }
}

private suspend fun nextPart(reader: BodyReader, limits: CallerLimits): ByteArray? {
    val read = withTimeoutOrNull(limits.idleTimeoutMillis) { Result.success(reader.next()) }
    return (read ?: throw IOException("no byte of the body within ${limits.idleTimeoutMillis} ms")).getOrThrow()
}

private fun tooLong(limits: CallerLimits) = RequestBodyResult.Refused(
    Failure(ErrorKind.BODY_TOO_LARGE, "the body is longer than ${limits.bodyBytes} bytes"),
)

private fun noMemory() = RequestBodyResult.Refused(
    Failure(ErrorKind.OVERLOADED, "the bodies of other requests take all memory", NO_MEMORY_RETRY_AFTER_MILLIS),
)
