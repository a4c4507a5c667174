/*
 * Reads a body up to its end within a byte bound and a time bound, and tells a whole body from a cut one.
 */
package org.lentilquay.transport.http

import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.attempt
import org.lentilquay.transport.describe
import java.io.ByteArrayOutputStream

/** A body that was read to its end, or why it was not. */
sealed interface WholeBody {
    class Complete(val bytes: ByteArray) : WholeBody {
        val text: String get() = bytes.decodeToString()
    }

    /** The connection was lost, or the time ran out, before the end. */
    data class Lost(val reason: String) : WholeBody

    /** The body is longer than the bound. */
    data class TooLarge(val maximumBytes: Int) : WholeBody
}

/** Reads the rest of the body; a body shorter than its declared length is lost, not complete. */
internal suspend fun Exchange.Answered.readWhole(maximumBytes: Int, timeoutMillis: Long): WholeBody =
    readWhole(body, maximumBytes, timeoutMillis)

/** Reads the rest of [body]. */
internal suspend fun readWhole(body: BodyReader, maximumBytes: Int, timeoutMillis: Long): WholeBody {
    val collected = ByteArrayOutputStream()
    val finished = attempt {
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
        failure != null -> WholeBody.Lost(describe(failure))
        finished.getOrNull() != true -> WholeBody.Lost("body incomplete after $timeoutMillis ms")
        collected.size() > maximumBytes -> WholeBody.TooLarge(maximumBytes)
        else -> WholeBody.Complete(collected.toByteArray())
    }
}
