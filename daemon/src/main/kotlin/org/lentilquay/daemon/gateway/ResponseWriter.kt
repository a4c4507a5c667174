/*
 * Writes one response to a caller. The framing of a response depends on the method of its request (RFC 9110, section
 * 9.3.2; RFC 9112, section 6.3): the caller of HEAD takes the bytes of a body for the start of its next response.
 */
package org.lentilquay.daemon.gateway

import io.ktor.utils.io.ByteWriteChannel
import org.lentilquay.state.Failure
import org.lentilquay.transport.http.CONTENT_LENGTH
import org.lentilquay.transport.http.TRANSFER_ENCODING
import org.lentilquay.transport.http.hasResponseBody
import org.lentilquay.transport.http.mayStateLength
import org.lentilquay.transport.writeMessage

private const val HEXADECIMAL_RADIX = 16
private const val MILLIS_PER_SECOND = 1_000.0
private val LINE_END = "\r\n".encodeToByteArray()
private val NO_BYTES = ByteArray(0)
private val LAST_CHUNK = "0\r\n\r\n".encodeToByteArray()

/**
 * Writes one response. A chunked response that is not ended is cut off when the connection closes, which shows the
 * caller that it is incomplete.
 */
internal class ResponseWriter(
    private val output: ByteWriteChannel,
    private val now: () -> Long,
    private val mayKeepAlive: () -> Boolean,
) {
    /** The method of the request; null while it is not known, when the response has no body. */
    var requestMethod: String? = null

    @Volatile
    private var writeStartedAt: Long? = null

    /** When a chunked response was started, in milliseconds; null if there was none. */
    var startedAt: Long? = null
        private set

    /** Bytes of the response that were handed to the connection. */
    var writtenBytes: Long = 0
        private set

    /** When the last bytes of the response were handed to the connection; null if there were none. */
    var writtenAt: Long? = null
        private set

    /** Whether any byte of the response may have been written. */
    var isStarted: Boolean = false
        private set

    /** Whether the response was written completely. */
    var isEnded: Boolean = false
        private set

    /** The status of the response; 0 if none was started. */
    var status: Int = 0
        private set

    /** Whether the caller was not told that the connection closes after the response. */
    private var isKeptAlive = true

    /** Whether the response was written completely and the connection may carry another request. */
    val isReusable: Boolean get() = isEnded && isKeptAlive

    /** The response of a connection that closes says so, or its caller would send the next request on it. */
    fun closeAfterResponse() {
        check(!isStarted) { "the head of the response is written" }
        isKeptAlive = false
    }

    /**
     * Writes a complete response. [statedLength] is the length that its head states; a response without a body states
     * that of the response to GET, if it is known.
     */
    suspend fun respond(
        status: Int,
        headers: List<Pair<String, String>>,
        body: ByteArray,
        statedLength: Long? = body.size.toLong(),
    ) {
        isKeptAlive = isKeptAlive && mayKeepAlive()
        val hasBody = hasBody(status)
        val length = if (hasBody) body.size.toLong() else statedLength?.takeIf { mayStateLength(status) }
        val head = head(status, headers + listOfNotNull(length?.let { CONTENT_LENGTH to it.toString() }))
        isStarted = true
        write(head, if (hasBody) body else NO_BYTES)
        isEnded = true
    }

    /** Writes a complete response that tells the caller of [failure]. */
    suspend fun respondFailure(failure: Failure, rendered: RenderedFailure = renderText(failure)) {
        // A caller of an unknown method can take a length for that of a body that follows.
        val statedLength = if (requestMethod == null) 0 else rendered.body.size.toLong()
        respond(failure.kind.status, rendered.headers, rendered.body, statedLength)
    }

    /** Starts a response of unknown length with chunked transfer coding. */
    suspend fun startChunked(status: Int, headers: List<Pair<String, String>>) {
        check(hasBody(status)) { "a response $status to $requestMethod has no body" }
        isStarted = true
        startedAt = now()
        isKeptAlive = isKeptAlive && mayKeepAlive()
        write(head(status, headers + (TRANSFER_ENCODING to "chunked")))
    }

    /** Writes one chunk of a chunked response. */
    suspend fun writeChunk(bytes: ByteArray) =
        write("${bytes.size.toString(HEXADECIMAL_RADIX)}\r\n".encodeToByteArray() + bytes + LINE_END)

    /** Ends a chunked response. */
    suspend fun endChunked() {
        write(LAST_CHUNK)
        isEnded = true
    }

    /** Whether a write is in progress, which can wait for the caller to take data. */
    val isWriting: Boolean get() = writeStartedAt != null

    /** How long the present write has waited for the caller to take data; 0 if none is in progress. */
    fun stalledMillis(): Long = writeStartedAt?.let { now() - it } ?: 0

    private fun hasBody(status: Int): Boolean = requestMethod?.let { hasResponseBody(it, status) } ?: false

    private suspend fun write(bytes: ByteArray, more: ByteArray = NO_BYTES) {
        writeStartedAt = now()
        try {
            output.writeMessage(bytes, more)
            writtenBytes += bytes.size + more.size
            writtenAt = now()
        } finally {
            writeStartedAt = null
        }
    }

    private fun head(status: Int, headers: List<Pair<String, String>>): ByteArray = buildString {
        this@ResponseWriter.status = status
        append("HTTP/1.1 ").append(status).append(' ').append(reason(status)).append("\r\n")
        headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
        if (!isKeptAlive) append("Connection: close\r\n")
        append("\r\n")
    }.encodeToByteArray()
}

/** The headers and the body of a response that tells of a failure. */
internal class RenderedFailure(val headers: List<Pair<String, String>>, val body: ByteArray)

/** The message of [failure] as text, with the time to wait in fractions of a second. */
internal fun renderText(failure: Failure): RenderedFailure {
    val retryAfter = failure.retryAfterMillis?.let { millis ->
        "Retry-After" to "%.3f".format(java.util.Locale.ROOT, millis / MILLIS_PER_SECOND)
    }
    return RenderedFailure(
        listOfNotNull("Content-Type" to "text/plain", retryAfter),
        failure.message.encodeToByteArray(),
    )
}

private fun reason(status: Int) = io.ktor.http.HttpStatusCode.fromValue(status).description
