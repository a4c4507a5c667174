/*
 * Reads a body up to its end within a byte bound and a time bound, and tells a whole body from a cut one.
 */
package org.lentilquay.transport.http

import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream

private const val READ_BUFFER_BYTES = 8_192

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
internal suspend fun Exchange.Answered.readWhole(maximumBytes: Int, timeoutMillis: Long): WholeBody {
    val declared = declaredLength
    val collected = ByteArrayOutputStream()
    val finished = attempt {
        withTimeoutOrNull(timeoutMillis) {
            val buffer = ByteArray(READ_BUFFER_BYTES)
            var count = body.readAvailable(buffer)
            while (count >= 0 && collected.size() <= maximumBytes) {
                collected.write(buffer, 0, count)
                count = body.readAvailable(buffer)
            }
        } != null
    }
    val failure = finished.exceptionOrNull() ?: body.closedCause
    return when {
        failure != null -> WholeBody.Lost(describe(failure))
        finished.getOrNull() != true -> WholeBody.Lost("body incomplete after $timeoutMillis ms")
        collected.size() > maximumBytes -> WholeBody.TooLarge(maximumBytes)
        declared != null && declared != collected.size().toLong() -> WholeBody.Lost("body shorter than declared")
        else -> WholeBody.Complete(collected.toByteArray())
    }
}
