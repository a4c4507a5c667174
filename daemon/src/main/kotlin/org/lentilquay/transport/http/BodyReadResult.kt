/*
 * Reads a body to its end within a maximum size and a timeout, and distinguishes a complete body from a truncated one.
 */
package org.lentilquay.transport.http

import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import java.io.ByteArrayOutputStream

/** The result of reading a body to its end. */
sealed interface BodyReadResult {
    class Complete(val bytes: ByteArray) : BodyReadResult {
        val text: String get() = bytes.decodeToString()
    }

    /** The connection failed or the timeout expired before the end of the body. */
    data class Lost(val reason: String) : BodyReadResult

    /** The body exceeds [maximumBytes]. */
    data class TooLarge(val maximumBytes: Int) : BodyReadResult
}

/** Reads the rest of the body. A body shorter than its declared length is [BodyReadResult.Lost]. */
internal suspend fun UnpooledExchange.Answered.readFully(maximumBytes: Int, timeoutMillis: Long): BodyReadResult =
    readFully(body, maximumBytes, timeoutMillis)

/** Reads the rest of [body]. */
internal suspend fun readFully(body: BodyReader, maximumBytes: Int, timeoutMillis: Long): BodyReadResult {
    val collected = ByteArrayOutputStream()
    val finished = runSuspendCatching {
        body.within(timeoutMillis) {
            var bytes = body.next()
            while (bytes != null && collected.size() <= maximumBytes) {
                collected.write(bytes)
                bytes = body.next()
            }
        }
    }
    val failure = finished.exceptionOrNull()
    return when {
        failure is InputTimeoutException -> BodyReadResult.Lost("body not complete within $timeoutMillis ms")
        failure != null -> BodyReadResult.Lost(describe(failure))
        collected.size() > maximumBytes -> BodyReadResult.TooLarge(maximumBytes)
        else -> BodyReadResult.Complete(collected.toByteArray())
    }
}
