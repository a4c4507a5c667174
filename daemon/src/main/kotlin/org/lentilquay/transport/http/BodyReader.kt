/*
 * Reads the body of an HTTP/1.1 message (RFC 9112, section 6) and distinguishes a complete body from a truncated one.
 * Nothing is read ahead beyond the bounded buffer of the connection, so a slow reader applies backpressure to the
 * server. Used by one coroutine at a time.
 */
package org.lentilquay.transport.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import kotlinx.io.EOFException
import kotlinx.io.IOException
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.TimedInput
import org.lentilquay.transport.describe

/** Maximum length of a chunk size line, which may have extensions, and of a trailer line. */
private const val MAXIMUM_CHUNK_LINE_BYTES = 4_096L

/** Maximum number of trailer lines; they are dropped. */
private const val MAXIMUM_TRAILER_LINES = 64
private const val READ_BUFFER_BYTES = 8_192
private const val HEXADECIMAL = 16
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** How the end of a body is determined. */
internal sealed interface BodyFraming {
    data class Length(val bytes: Long) : BodyFraming

    data object Chunked : BodyFraming

    /** The body ends when the server closes the connection, so a truncated body can look like a complete one. */
    data object UntilClose : BodyFraming
}

/** A line exceeded its maximum length. */
internal class LineTooLongException(maximumBytes: Int) : IOException("line is longer than $maximumBytes bytes")

/** Reads the body that follows in [input]. All methods throw an [IOException] if the body is truncated. */
internal class BodyReader(private val input: ByteReadChannel, private val framing: BodyFraming) {
    private val buffer = ByteArray(READ_BUFFER_BYTES)
    private var start = 0
    private var end = 0

    /** Bytes left to read of the body or, with chunked encoding, of the current chunk. */
    private var remaining = if (framing is BodyFraming.Length) framing.bytes else 0L
    private var hasChunkStarted = false
    private var isComplete = false

    /** Whether the body has its own end, so that the connection can be reused after it. */
    val isDelimited: Boolean get() = framing != BodyFraming.UntilClose

    /**
     * Runs [block], which reads this body and fails with an [InputTimeoutException] when it waits for bytes after
     * [millis]. Only for the body of a connection.
     */
    suspend fun <T> within(millis: Long, block: suspend () -> T): T =
        checkNotNull(input as? TimedInput) { "the input has no time limits" }.within({ millis }, block = block)

    /** The next bytes of the body, at most 8 KiB, or null at its end. */
    suspend fun next(): ByteArray? =
        if (start < end || fill()) buffer.copyOfRange(start, end).also { start = end } else null

    /** The next line of the body without its line break, or null at the end of the body. */
    suspend fun line(maximumBytes: Int): String? {
        val collected = java.io.ByteArrayOutputStream()
        while (start < end || fill()) {
            val lineEnd = (start until end).firstOrNull { buffer[it] == LINE_FEED }
            collected.write(buffer, start, (lineEnd ?: end) - start)
            if (collected.size() > maximumBytes) throw LineTooLongException(maximumBytes)
            start = if (lineEnd == null) end else lineEnd + 1
            if (lineEnd != null) return text(collected.toByteArray())
        }
        return if (collected.size() == 0) null else throw EOFException("the body ended within a line")
    }

    private fun text(line: ByteArray): String {
        val length = if (line.lastOrNull() == CARRIAGE_RETURN) line.size - 1 else line.size
        return line.decodeToString(0, length)
    }

    /** Fills the empty buffer; returns false at the end of the body. */
    private suspend fun fill(): Boolean {
        if (framing == BodyFraming.Chunked && remaining == 0L && !isComplete) startChunk()
        if (isComplete || (framing != BodyFraming.UntilClose && remaining == 0L)) return false
        val maximumCount = if (framing == BodyFraming.UntilClose) Long.MAX_VALUE else remaining
        val count = input.readAvailable(buffer, 0, minOf(maximumCount, buffer.size.toLong()).toInt())
        if (count < 0) {
            throwIfBroken()
            isComplete = true
            if (framing != BodyFraming.UntilClose) throw EOFException("connection closed before the end of the body")
            return false
        }
        start = 0
        end = count
        remaining -= count
        return true
    }

    /** The end of input is reported after a reset as well; only its cause tells it from an orderly close. */
    private fun throwIfBroken() {
        val cause = if (input is TimedInput) input.brokenEnd() else input.closedCause
        cause?.let { throw IOException("connection failed within the body: ${describe(it)}", it) }
    }

    private suspend fun startChunk() {
        if (hasChunkStarted && chunkLine().isNotEmpty()) throw IOException("chunk data exceeds the chunk size")
        hasChunkStarted = true
        val size = chunkLine().substringBefore(';').trim()
        remaining = size.takeIf { it.isNotEmpty() && it[0].isLetterOrDigit() }?.toLongOrNull(HEXADECIMAL)
            ?: throw IOException("chunk size is not a hexadecimal number")
        if (remaining == 0L) {
            skipTrailers()
            isComplete = true
        }
    }

    private suspend fun skipTrailers() {
        var lines = 0
        while (chunkLine().isNotEmpty()) {
            if (++lines > MAXIMUM_TRAILER_LINES) throw IOException("more than $MAXIMUM_TRAILER_LINES trailers")
        }
    }

    private suspend fun chunkLine(): String =
        input.readLineStrict(MAXIMUM_CHUNK_LINE_BYTES) ?: throw EOFException("connection closed between chunks")
}
