/*
 * Reads the body of a caller's request within its limits and the memory for the bodies of all requests.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.yield
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.readByteArray
import org.lentilquay.coordination.callers.ConnectionStage
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.TimedInput
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.BodyReader

/** `Retry-After` of a request whose body found no memory; a long body takes about a second to arrive. */
private const val NO_MEMORY_RETRY_AFTER_MILLIS = 1_000L
private val NO_BYTES = ByteArray(0)

/** Parts of a body, of 8 KiB at most, that are read before other connections have their turn. */
private const val PARTS_AT_ONCE = 16

/** The result of reading the body of a request. */
internal sealed interface RequestBodyResult {
    class Read(val bytes: ByteArray) : RequestBodyResult

    /** The body was not read to its end, so the connection cannot carry another request. */
    data class Refused(val failure: Failure) : RequestBodyResult
}

/**
 * Reads the body that follows in [input], with [memory] for it. Throws an [IOException] if the body is cut off or the
 * caller sends no part of it for the idle timeout. [onStage] is told where each part is.
 */
internal suspend fun readRequestBody(
    input: TimedInput,
    framing: BodyFraming,
    limits: CallerLimits,
    memory: RequestBodyBudget.Reservation,
    onStage: (ConnectionStage) -> Unit = {},
): RequestBodyResult {
    val length = (framing as? BodyFraming.Length)?.bytes
    return when {
        length == 0L -> RequestBodyResult.Read(NO_BYTES)
        length != null && length > limits.bodyBytes -> tooLong(limits)
        else -> readParts(input, framing, limits, memory, onStage)
    }
}

private suspend fun readParts(
    input: TimedInput,
    framing: BodyFraming,
    limits: CallerLimits,
    memory: RequestBodyBudget.Reservation,
    onStage: (ConnectionStage) -> Unit,
): RequestBodyResult {
    val reader = BodyReader(input, framing)
    val collected = Buffer()
    var parts = 0
    val idleMillis = { if (memory.hasGivenWay) 0 else limits.idleTimeoutMillis }
    return try {
        while (true) {
            val part = input.within(idleMillis) { reader.next() } ?: break
            if (collected.size + part.size > limits.bodyBytes) return tooLong(limits)
            onStage(ConnectionStage.WAITING_FOR_MEMORY)
            if (!memory.growTo(collected.size + part.size)) return noMemory()
            onStage(ConnectionStage.READING_BODY)
            collected.write(part)
            // The bytes of one caller can arrive faster than they are read.
            if (++parts % PARTS_AT_ONCE == 0) yield()
        }
        memory.arrived()
        RequestBodyResult.Read(collected.readByteArray())
    } catch (timeout: InputTimeoutException) {
        if (!memory.hasGivenWay) throw timeout
        noMemory()
    }
}

private fun tooLong(limits: CallerLimits) = RequestBodyResult.Refused(
    Failure(ErrorKind.BODY_TOO_LARGE, "the body is longer than ${limits.bodyBytes} bytes"),
)

private fun noMemory() = RequestBodyResult.Refused(
    Failure(ErrorKind.OVERLOADED, "the bodies of other requests take all memory", NO_MEMORY_RETRY_AFTER_MILLIS),
)
