/*
 * Reads the head of an HTTP/1.1 request (RFC 9112, sections 2 to 5). Its bytes are counted while they arrive, so a head
 * without end takes no more memory or processor time than the longest one that is allowed. Ktor's parser (3.5.2) has no
 * limit on lines and empty lines, compares each header with all earlier ones of its name, and takes no line of more
 * than 8 KiB.
 */
package org.lentilquay.transport.http

import io.ktor.utils.io.InternalAPI
import kotlinx.io.InternalIoApi
import kotlinx.io.indexOf
import kotlinx.io.readString
import org.lentilquay.transport.TimedInput

private const val LINE_FEED = '\n'.code.toByte()
private const val REQUEST_LINE_PARTS = 3

/** The parts of a head as they were sent; only white space around the values of headers is removed. */
internal data class RequestHead(
    val method: String,
    val target: String,
    val version: String,
    val headers: List<Pair<String, String>>,
)

/** The result of reading a head. */
internal sealed interface RequestHeadResult {
    data class Read(val head: RequestHead) : RequestHeadResult

    /** The connection ended before the end of the head. */
    data object Ended : RequestHeadResult

    /** The head, with empty lines before it, is longer than [maximumBytes]; its rest was not read. */
    data class TooLong(val maximumBytes: Int) : RequestHeadResult

    data object Malformed : RequestHeadResult
}

/** Reads the next head from [input]; empty lines before it are skipped. */
internal suspend fun readRequestHead(input: TimedInput, maximumBytes: Int): RequestHeadResult {
    val reader = LineReader(input, maximumBytes)
    val lines = ArrayList<String>()
    while (true) {
        when (val line = reader.next()) {
            is Line.Ended -> return RequestHeadResult.Ended
            is Line.TooLong -> return RequestHeadResult.TooLong(maximumBytes)
            is Line.Text -> when {
                line.text.isNotEmpty() -> lines += line.text
                lines.isNotEmpty() -> return headOf(lines)
            }
        }
    }
}

private fun headOf(lines: List<String>): RequestHeadResult {
    val requestLine = lines.first().split(' ')
    val headers = lines.drop(1).map { it.substringBefore(':') to it.substringAfter(':', "").trim(' ', '\t') }
    return if (requestLine.size != REQUEST_LINE_PARTS || lines.drop(1).any { ':' !in it }) {
        RequestHeadResult.Malformed
    } else {
        val (method, target, version) = requestLine
        RequestHeadResult.Read(RequestHead(method, target, version, headers))
    }
}

private sealed interface Line {
    /** A line without its line break. */
    class Text(val text: String) : Line

    data object Ended : Line

    data object TooLong : Line
}

/** Reads lines that have at most [maximumBytes] altogether. */
private class LineReader(private val input: TimedInput, private val maximumBytes: Int) {
    private var remaining = maximumBytes.toLong()

    @OptIn(InternalAPI::class, InternalIoApi::class)
    suspend fun next(): Line {
        var searched = 0L
        while (true) {
            val buffer = input.readBuffer.buffer
            val end = buffer.indexOf(LINE_FEED, searched, minOf(buffer.size, remaining))
            if (end >= 0) return text(end)
            if (buffer.size >= remaining) return Line.TooLong
            searched = buffer.size
            if (!input.awaitContent((searched + 1).toInt())) return Line.Ended
        }
    }

    @OptIn(InternalAPI::class)
    private fun text(end: Long): Line {
        val line = input.readBuffer.readString(end + 1)
        remaining -= end + 1
        return Line.Text(line.removeSuffix("\n").removeSuffix("\r"))
    }
}
