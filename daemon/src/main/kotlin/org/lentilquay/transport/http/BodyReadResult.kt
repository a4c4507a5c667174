/*
 * Reads a body up to its end within a byte bound and a time bound, and tells a whole body from a cut one.
 */
package org.lentilquay.transport.http

import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import java.io.ByteArrayOutputStream

/** A body that was read to its end, or why it was not. */
sealed interface BodyReadResult {
    class Complete(val bytes: ByteArray) : BodyReadResult {
        val text: String get() = bytes.decodeToString()
    }

    /** The connection was lost, or the time ran out, before the end. */
    data class Lost(val reason: String) : BodyReadResult

    /** The body is longer than the bound. */
    data class TooLarge(val maximumBytes: Int) : BodyReadResult
}

/** Reads the rest of the body; a body shorter than its declared length is lost, not complete. */
internal suspend fun UnpooledExchange.Answered.readFully(maximumBytes: Int, timeoutMillis: Long): BodyReadResult =
    readFully(body, maximumBytes, timeoutMillis)

/** Reads the rest of [body]. */
internal suspend fun readFully(body: BodyReader, maximumBytes: Int, timeoutMillis: Long): BodyReadResult {
    val collected = ByteArrayOutputStream()
    val finished = runSuspendCatching {
        withTimeoutOrNull(timeoutMillis) {
            var bytes = body.next()
            while (bytes != null && collected.size() <= maximumBytes) {
                collected.write(bytes)
                bytes = body.next()
            }
        } != null
    }
    val failure = finished.exceptionOrNull()
    return when {
        failure != null -> BodyReadResult.Lost(describe(failure))
        finished.getOrNull() != true -> BodyReadResult.Lost("body incomplete after $timeoutMillis ms")
        collected.size() > maximumBytes -> BodyReadResult.TooLarge(maximumBytes)
        else -> BodyReadResult.Complete(collected.toByteArray())
    }
}
