/*
 * Reads the body of a caller's request within its limits and the memory for the bodies of all requests.
 */
package org.lentilquay.daemon.gateway

import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TimedInput
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
 * or the caller sends no part of it for the idle timeout.
 */
internal suspend fun readRequestBody(
    input: TimedInput,
    framing: BodyFraming,
    limits: CallerLimits,
    memory: RequestBodyBudget.Reservation,
): RequestBodyResult {
    val length = (framing as? BodyFraming.Length)?.bytes
    val reader = BodyReader(input, framing)
    val next: suspend () -> ByteArray? = { input.within({ limits.idleTimeoutMillis }) { reader.next() } }
    return when {
        length == null -> readUnknownLength(next, limits, memory)
        length > limits.bodyBytes -> tooLong(limits)
        !memory.reserve(length) -> noMemory()
        else -> readRest(next, limits, Buffer())
    }
}

/** Reserves memory for the longest body once a chunked one exceeds what is not counted. */
private suspend fun readUnknownLength(
    next: suspend () -> ByteArray?,
    limits: CallerLimits,
    memory: RequestBodyBudget.Reservation,
): RequestBodyResult {
    val collected = Buffer()
    while (collected.size <= UNCOUNTED_BODY_BYTES) {
        collected.write(next() ?: break)
    }
    return when {
        collected.size <= UNCOUNTED_BODY_BYTES || memory.reserve(limits.bodyBytes.toLong()) ->
            readRest(next, limits, collected)
        else -> noMemory()
    }
}

private suspend fun readRest(
    next: suspend () -> ByteArray?,
    limits: CallerLimits,
    collected: Buffer,
): RequestBodyResult {
    while (collected.size <= limits.bodyBytes) {
        val part = next() ?: return RequestBodyResult.Read(collected.readByteArray())
        collected.write(part)
    }
    return tooLong(limits)
}

private fun tooLong(limits: CallerLimits) = RequestBodyResult.Refused(
    Failure(ErrorKind.BODY_TOO_LARGE, "the body is longer than ${limits.bodyBytes} bytes"),
)

private fun noMemory() = RequestBodyResult.Refused(
    Failure(ErrorKind.OVERLOADED, "the bodies of other requests take all memory", NO_MEMORY_RETRY_AFTER_MILLIS),
)
