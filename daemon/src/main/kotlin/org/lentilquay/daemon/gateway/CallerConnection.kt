/*
 * One connection of a caller: reads its requests one after the other, passes each to a handler while watching whether
 * the caller disconnects, and writes the responses. A planned stop closes kept connections only between two requests.
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

private const val HEXADECIMAL_RADIX = 16
private val LINE_END = "\r\n".encodeToByteArray()
private val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()

/** Time that a caller has to receive the last response before the connection is closed. */
private const val LINGER_MILLIS = 1_000L

/** Limits that apply until the first configuration has been read. */
@Suppress("MagicNumber") // The numbers are named by the parameters.
private val DEFAULT_LIMITS =
    CallerLimits(headerBytes = 16_384, bodyBytes = 4 shl 20, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)

/** Handles one request and writes its response to a [ResponseWriter]. */
internal fun interface CallerHandler {
    suspend fun handle(request: CallerRequest, writer: ResponseWriter)
}

/**
 * Writes one response. A chunked response that is not ended is cut off when the connection closes, which shows the
 * caller that it is incomplete.
 */
internal class ResponseWriter(
    private val output: ByteWriteChannel,
    private val now: () -> Long,
    private val mayKeepAlive: () -> Boolean,
) {
    /** When a chunked response was started, in milliseconds; null if there was none. */
    var startedAt: Long? = null
        private set

    /** Whether any byte of the response may have been written. */
    var isStarted: Boolean = false
        private set

    /** Whether the response was written completely. */
    var isEnded: Boolean = false
        private set

    /** Whether the response was written completely and the connection may carry another request. */
    var isReusable: Boolean = false
        private set

    /** Writes a complete response. */
    suspend fun respond(status: Int, headers: List<Pair<String, String>>, body: ByteArray) {
        val isKeptAlive = mayKeepAlive()
        val head = head(status, headers + ("Content-Length" to body.size.toString()), isKeptAlive)
        isStarted = true
        output.writeFully(head + body)
        output.flush()
        isEnded = true
        isReusable = isKeptAlive
    }

    /** Starts a response of unknown length with chunked transfer coding. */
    suspend fun startChunked(status: Int, headers: List<Pair<String, String>>) {
        isStarted = true
        startedAt = now()
        output.writeFully(head(status, headers + ("Transfer-Encoding" to "chunked"), isKeptAlive = true))
        output.flush()
    }

    /** Writes one chunk of a chunked response. */
    suspend fun writeChunk(bytes: ByteArray, length: Int = bytes.size) {
        output.writeFully("${length.toString(HEXADECIMAL_RADIX)}\r\n".encodeToByteArray())
        output.writeFully(bytes, 0, length)
        output.writeFully(LINE_END)
        output.flush()
    }

    /** Ends a chunked response. */
    suspend fun endChunked() {
        output.writeFully(LAST_CHUNK)
        output.flush()
        isEnded = true
        isReusable = mayKeepAlive()
    }

    private fun head(status: Int, headers: List<Pair<String, String>>, isKeptAlive: Boolean): ByteArray = buildString {
        append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n")
        headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
        if (!isKeptAlive) append("Connection: close\r\n")
        append("\r\n")
    }.encodeToByteArray()
}

private fun reason(status: Int) = io.ktor.http.HttpStatusCode.fromValue(status).description

internal class CallerConnection(
    private val connection: TcpConnection,
    private val handler: CallerHandler,
    private val limits: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val now: () -> Long,
) {
    /** Whether a request is being read or handled. */
    @Volatile
    var isBusy: Boolean = false
        private set

    /** Whether the last response was written completely. */
    private var isAnswered = false

    suspend fun serve() = connection.use {
        while (serveNext()) Unit
        if (isAnswered) connection.finish(LINGER_MILLIS)
    }

    /** Closes the connection unless a request is being handled or has begun to arrive. */
    fun closeIfIdle() {
        if (!isBusy && connection.input.availableForRead == 0) connection.close()
    }

    private suspend fun serveNext(): Boolean {
        val current = limits() ?: DEFAULT_LIMITS
        isBusy = false
        val hasRequest = runSuspendCatching {
            withTimeoutOrNull(current.idleTimeoutMillis) { connection.input.awaitContent() } ?: false
        }.getOrDefault(false)
        if (!hasRequest) return false
        isBusy = true
        val writer = ResponseWriter(connection.output, now) { !isStopping() }
        return runSuspendCatching {
            val result = withTimeoutOrNull(current.headerTimeoutMillis) {
                parseRequest(connection.input)?.use { callerHead(it, current.headerBytes) }
            }
            when (result) {
                null -> false
                is HeadResult.Malformed -> refuse(writer, result.failure)
                is HeadResult.Read -> answer(result, current, writer)
            }
        }.getOrElse { failure ->
            if (failure is ParserException && !writer.isStarted) refuse(writer, malformed()) else false
        }
    }

    private suspend fun answer(head: HeadResult.Read, limits: CallerLimits, writer: ResponseWriter): Boolean {
        isAnswered = false
        val arrivedAt = now()
        if (head.head.headerValues("Expect").any { it.equals("100-continue", ignoreCase = true) }) {
            connection.output.writeFully("HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray())
            connection.output.flush()
        }
        val body = readBody(BodyReader(connection.input, head.framing), limits.bodyBytes)
            ?: return refuse(
                writer,
                Failure(ErrorKind.BODY_TOO_LARGE, "the body is longer than ${limits.bodyBytes} bytes"),
            )
        cancelOnDisconnect { handler.handle(CallerRequest(head.head, body, arrivedAt), writer) }
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

    /** Runs [block], and cancels it when the caller closes the connection. */
    private suspend fun cancelOnDisconnect(block: suspend () -> Unit) = coroutineScope {
        val work: Job = launch { block() }
        val watch = launch {
            val isOpen = runSuspendCatching { connection.input.awaitContent() }.getOrDefault(false)
            if (!isOpen) work.cancel(CallerDisconnected())
        }
        work.join()
        watch.cancel()
    }

    /** Rejects a malformed request. The connection is then closed, because the start of the next one is not known. */
    private suspend fun refuse(writer: ResponseWriter, failure: Failure): Boolean {
        writer.respond(
            failure.kind.status,
            listOf("Content-Type" to "text/plain"),
            failure.message.encodeToByteArray(),
        )
        isAnswered = true
        return false
    }

    private fun malformed() = Failure(ErrorKind.MALFORMED_REQUEST, "the request is not valid HTTP")
}

/** Cancels the handling of a request whose caller closed the connection. */
internal class CallerDisconnected : CancellationException("the caller closed the connection")
