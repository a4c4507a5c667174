/*
 * One connection of a caller: reads requests one after the other, hands each to the gateway while it watches whether
 * the caller leaves, and writes the answer. A connection that was kept open is closed only between two requests.
 */
package org.lentilquay.daemon.gateway

import io.ktor.http.cio.ParserException
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.http.BodyReader
import org.lentilquay.transport.runSuspendCatching
import java.io.ByteArrayOutputStream

private const val HEXADECIMAL = 16
private val LINE_END = "\r\n".encodeToByteArray()
private val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()

/** Time that a caller has to take the last answer of a connection, in milliseconds. */
private const val LINGER_MILLIS = 1_000L

/** Bounds before the first configuration was read. */
@Suppress("MagicNumber") // The numbers are named by the parameters.
private val FIRST_BOUNDS =
    CallerLimits(headerBytes = 16_384, bodyBytes = 4 shl 20, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)

/** Takes one request and gives its answer through [AnswerWriter]. */
internal fun interface CallerHandler {
    suspend fun handle(request: CallerRequest, writer: AnswerWriter)
}

/** Writes one answer. Without an end, the caller sees the connection close in the middle of the answer. */
internal class AnswerWriter(
    private val output: ByteWriteChannel,
    private val now: () -> Long,
    private val mayStayOpen: () -> Boolean,
) {
    /** When an answer of unknown length was begun. */
    var begunAt: Long? = null
        private set

    /** Whether any byte of the answer was written. */
    var isStarted: Boolean = false
        private set

    /** Whether the answer was written to its end. */
    var isEnded: Boolean = false
        private set

    /** Whether the answer was written to its end and the connection may be used again. */
    var isReusable: Boolean = false
        private set

    /** Writes a whole answer. */
    suspend fun whole(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
        val isKept = mayStayOpen()
        val head = head(status, headers + ("Content-Length" to body.size.toString()), isKept)
        isStarted = true
        output.writeFully(head + body)
        output.flush()
        isEnded = true
        isReusable = isKept
    }

    /** Begins an answer whose length is not known. */
    suspend fun begin(status: Int, headers: List<Pair<String, String>>) {
        isStarted = true
        begunAt = now()
        output.writeFully(head(status, headers + ("Transfer-Encoding" to "chunked"), isKept = true))
        output.flush()
    }

    /** Writes the next part of an answer that was begun. */
    suspend fun part(bytes: ByteArray, length: Int = bytes.size) {
        output.writeFully("${length.toString(HEXADECIMAL)}\r\n".encodeToByteArray())
        output.writeFully(bytes, 0, length)
        output.writeFully(LINE_END)
        output.flush()
    }

    /** Ends an answer that was begun. */
    suspend fun end() {
        output.writeFully(LAST_CHUNK)
        output.flush()
        isEnded = true
        isReusable = mayStayOpen()
    }

    private fun head(status: Int, headers: List<Pair<String, String>>, isKept: Boolean): ByteArray = buildString {
        append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n")
        headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
        if (!isKept) append("Connection: close\r\n")
        append("\r\n")
    }.encodeToByteArray()
}

private fun reason(status: Int) = io.ktor.http.HttpStatusCode.fromValue(status).description

internal class CallerConnection(
    private val connection: TcpConnection,
    private val handler: CallerHandler,
    private val bounds: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val now: () -> Long,
) {
    /** Whether a request is being read or answered. */
    @Volatile
    var isBusy: Boolean = false
        private set

    /** Whether the last answer was written to its end. */
    private var isAnswered = false

    suspend fun serve() = connection.use {
        while (serveNext()) Unit
        if (isAnswered) connection.finish(LINGER_MILLIS)
    }

    /** Closes the connection if no request is on it. */
    fun closeIfIdle() {
        if (!isBusy && connection.input.availableForRead == 0) connection.close()
    }

    private suspend fun serveNext(): Boolean {
        val current = bounds() ?: FIRST_BOUNDS
        isBusy = false
        val hasRequest = runSuspendCatching {
            withTimeoutOrNull(current.idleTimeoutMillis) { connection.input.awaitContent() } ?: false
        }.getOrDefault(false)
        if (!hasRequest) return false
        isBusy = true
        val writer = AnswerWriter(connection.output, now) { !isStopping() }
        return runSuspendCatching {
            val result = withTimeoutOrNull(current.headerTimeoutMillis) {
                parseRequest(connection.input)?.use { callerHead(it, current.headerBytes) }
            }
            when (result) {
                null -> false
                is HeadResult.Faulty -> refuse(writer, result.failure)
                is HeadResult.Read -> answer(result, current, writer)
            }
        }.getOrElse { failure ->
            if (failure is ParserException && !writer.isStarted) refuse(writer, malformed()) else false
        }
    }

    private suspend fun answer(head: HeadResult.Read, bounds: CallerLimits, writer: AnswerWriter): Boolean {
        isAnswered = false
        val arrivedAt = now()
        if (head.head.all("Expect").any { it.equals("100-continue", ignoreCase = true) }) {
            connection.output.writeFully("HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray())
            connection.output.flush()
        }
        val body = readBody(BodyReader(connection.input, head.framing), bounds.bodyBytes)
            ?: return refuse(writer, Failure(ErrorKind.BODY_TOO_LARGE, "body longer than ${bounds.bodyBytes} bytes"))
        whileCallerStays { handler.handle(CallerRequest(head.head, body, arrivedAt), writer) }
        isAnswered = writer.isEnded
        return writer.isReusable && !head.head.isClosing
    }

    private suspend fun readBody(reader: BodyReader, maximumBytes: Int): ByteArray? {
        val first = reader.next() ?: return ByteArray(0)
        val collected = ByteArrayOutputStream(first.size)
        var part: ByteArray? = first
        while (part != null) {
            collected.write(part)
            if (collected.size() > maximumBytes) return null
            part = reader.next()
        }
        return collected.toByteArray()
    }

    /** Runs [block] and cancels it when the caller closes the connection. */
    private suspend fun whileCallerStays(block: suspend () -> Unit) = coroutineScope {
        val work: Job = launch { block() }
        val watch = launch {
            val isOpen = runSuspendCatching { connection.input.awaitContent() }.getOrDefault(false)
            if (!isOpen) work.cancel(CallerLeft())
        }
        work.join()
        watch.cancel()
    }

    /** Answers a request that could not be read; what follows on the connection cannot be read either. */
    private suspend fun refuse(writer: AnswerWriter, failure: Failure): Boolean {
        writer.whole(failure.kind.status, listOf("Content-Type" to "text/plain"), failure.message.encodeToByteArray())
        isAnswered = true
        return false
    }

    private fun malformed() = Failure(ErrorKind.MALFORMED_REQUEST, "unreadable request")
}

/** Ends the work on a request whose caller closed the connection. */
internal class CallerLeft : CancellationException("the caller has left")
