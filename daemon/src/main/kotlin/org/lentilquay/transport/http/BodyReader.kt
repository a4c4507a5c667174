/*
 * Reads the body of an HTTP/1.1 answer (RFC 9112, section 6) and tells a whole body from a cut one. Nothing is read
 * ahead beyond the bounded buffer of the connection, so a slow reader slows the server down.
 */
package org.lentilquay.transport.http

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.readLineStrict
import kotlinx.io.EOFException
import kotlinx.io.IOException

/** Bound on a line with the size of a chunk, which may carry extensions, and on each trailer line. */
private const val MAXIMUM_CHUNK_LINE_BYTES = 4_096L
private const val READ_BUFFER_BYTES = 8_192
private const val HEXADECIMAL = 16
private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()

/** How the end of a body is marked. */
internal sealed interface BodyFraming {
    data class Length(val bytes: Long) : BodyFraming

    data object Chunked : BodyFraming

    /** The body ends with the connection, so a body that was cut in an orderly way cannot be told from a whole one. */
    data object UntilClose : BodyFraming
}

/** A line was longer than its bound. */
internal class LineTooLongException(maximumBytes: Int) : IOException("line longer than $maximumBytes bytes")

/** Reads the body that follows in [input]. All methods throw an [IOException] if the body is cut. */
internal class BodyReader(private val input: ByteReadChannel, private val framing: BodyFraming) {
    private val buffer = ByteArray(READ_BUFFER_BYTES)
    private var start = 0
    private var end = 0

    /** Bytes that are left of the body, or of the present chunk. */
    private var remaining = if (framing is BodyFraming.Length) framing.bytes else 0L
    private var isInChunk = false
    private var isEnded = false

    /** Whether the end of the body is marked, so that the connection can be used after it. */
    val isDelimited: Boolean get() = framing != BodyFraming.UntilClose

    /** The next bytes of the body, at most 8 KiB, or null at its end. */
    suspend fun next(): ByteArray? =
        if (start < end || fill()) buffer.copyOfRange(start, end).also { start = end } else null

    /** The next line of the body without its end, or null if no line follows. */
    suspend fun line(maximumBytes: Int): String? {
        val collected = java.io.ByteArrayOutputStream()
        while (start < end || fill()) {
            val lineEnd = (start until end).firstOrNull { buffer[it] == LINE_FEED }
            collected.write(buffer, start, (lineEnd ?: end) - start)
            if (collected.size() > maximumBytes) throw LineTooLongException(maximumBytes)
            start = if (lineEnd == null) end else lineEnd + 1
            if (lineEnd != null) return text(collected.toByteArray())
        }
        return if (collected.size() == 0) null else throw EOFException("body ended within a line")
    }

    private fun text(line: ByteArray): String {
        val length = if (line.lastOrNull() == CARRIAGE_RETURN) line.size - 1 else line.size
        return line.decodeToString(0, length)
    }

    /** Reads more bytes into the empty buffer; false at the end of the body. */
    private suspend fun fill(): Boolean {
        if (framing == BodyFraming.Chunked && remaining == 0L && !isEnded) startChunk()
        if (isEnded || (framing != BodyFraming.UntilClose && remaining == 0L)) return false
        val most = if (framing == BodyFraming.UntilClose) Long.MAX_VALUE else remaining
        val count = input.readAvailable(buffer, 0, minOf(most, buffer.size.toLong()).toInt())
        if (count < 0) {
            isEnded = true
            if (framing != BodyFraming.UntilClose) throw EOFException("connection ended before the body")
            return false
        }
        start = 0
        end = count
        remaining -= count
        return true
    }

    private suspend fun startChunk() {
        if (isInChunk && chunkLine().isNotEmpty()) throw IOException("chunk longer than its size")
        isInChunk = true
        val size = chunkLine().substringBefore(';').trim()
        remaining = size.takeIf { it.isNotEmpty() && it[0].isLetterOrDigit() }?.toLongOrNull(HEXADECIMAL)
            ?: throw IOException("unreadable size of a chunk")
        if (remaining == 0L) {
            do {
                val trailer = chunkLine()
            } while (trailer.isNotEmpty())
            isEnded = true
        }
    }

    private suspend fun chunkLine(): String =
        input.readLineStrict(MAXIMUM_CHUNK_LINE_BYTES) ?: throw EOFException("connection ended between chunks")
}
