/*
 * HTTP/1.1 exchanges over connections that are kept for further requests. A connection serves one request at a time and
 * is kept only after a whole answer with nothing behind it. A connection that the server closed, or on which bytes
 * arrived while it was idle, is not used again. No request is sent twice here.
 *
 * An answer that belongs to another request, which a faulty server may send late, is read and dropped: every request
 * carries an id that the answer repeats. Times are in milliseconds.
 */
package org.lentilquay.transport.http

import io.ktor.http.cio.ParserException
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

private const val FIRST_FINAL_STATUS = 200
private const val NANOS_PER_MILLI = 1_000_000L
private const val MILLIS_PER_SECOND = 1_000L

/** Idle time after which a connection is not used when the server names none, in milliseconds. */
private const val DEFAULT_IDLE_MILLIS = 4_000L

/** Time before the stated end of an idle connection at which it is not used any more, in milliseconds. */
private const val IDLE_MARGIN_MILLIS = 1_000L

/** Answers to other requests that are dropped before a connection counts as broken. */
private const val MAXIMUM_STRAY_ANSWERS = 3

/** A stray answer longer than this is not read to its end, in bytes. */
private const val MAXIMUM_STRAY_BYTES = 1 shl 20
private val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d{1,6})""")

/** An answer that is being read on a kept connection. */
internal class PooledResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: BodyReader,
    private val finish: (isWhole: Boolean) -> Unit,
) : AutoCloseable {
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** The body was read to its end; the connection may be kept. */
    fun releaseConnection() = finish(true)

    /** Cuts the connection. Has no effect after [releaseConnection]. */
    override fun close() = finish(false)
}

/** How an exchange went up to the answer headers. */
internal sealed interface PooledExchange {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : PooledExchange

    /** The request may have reached the server, and no usable answer came. */
    data class Lost(val reason: String) : PooledExchange

    class Answered(val answer: PooledResponse) : PooledExchange
}

/** What an exchange has to know besides the request. */
internal data class ExchangeOptions(
    val connectMillis: Long,
    val answerMillis: Long,
    /** The id that the answer must repeat in [idHeader], or null if any answer counts. */
    val id: String? = null,
    val idHeader: String = "",
    /** A connection that was idle for longer is not used, in milliseconds. */
    val freshMillis: Long = Long.MAX_VALUE,
)

internal class HttpConnectionPool(private val network: TcpNetwork) {
    private class Kept(val connection: TcpConnection, var idleSince: Long, var idleMillis: Long) {
        val isUsable: Boolean
            get() = !connection.input.isClosedForRead && connection.input.availableForRead == 0 &&
                !connection.output.isClosedForWrite
    }

    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<Kept>>()

    /** Sends [request] with [host] to [address] and waits for the answer headers. */
    suspend fun send(address: String, host: String, request: HttpRequest, bounds: ExchangeOptions): PooledExchange {
        val head = encodedHead(host, request) ?: return PooledExchange.NotWritten("the request cannot be sent as it is")
        val kept = takeIdle(address, bounds.freshMillis) ?: when (val opened = open(address, bounds.connectMillis)) {
            is ConnectResult.Connected -> opened.kept
            is ConnectResult.Failed -> return PooledExchange.NotWritten(opened.reason)
        }
        var exchange: PooledExchange? = null
        try {
            exchange = withTimeoutOrNull(bounds.answerMillis) { exchange(address, kept, head, request, bounds) }
        } finally {
            if (exchange !is PooledExchange.Answered) kept.connection.close()
        }
        return exchange ?: PooledExchange.Lost("no answer within ${bounds.answerMillis} ms")
    }

    /** Closes the idle connections to [address], for example because the server has left. */
    fun closeIdle(address: String) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    /** Closes connections that were idle for too long. */
    fun sweep() = idle.values.forEach { ofAddress ->
        ofAddress.removeIf { kept ->
            val isOld = millisSince(kept.idleSince) > kept.idleMillis || !kept.isUsable
            if (isOld) kept.connection.close()
            isOld
        }
    }

    private sealed interface ConnectResult {
        class Connected(val kept: Kept) : ConnectResult

        data class Failed(val reason: String) : ConnectResult
    }

    private suspend fun open(address: String, connectMillis: Long): ConnectResult {
        val target = ipAddressOf(address) ?: return ConnectResult.Failed("$address is not of the form ip:port")
        val connection = runSuspendCatching { network.connect(target, connectMillis) }
            .getOrElse { return ConnectResult.Failed(describe(it)) }
            ?: return ConnectResult.Failed("not connected within $connectMillis ms")
        return ConnectResult.Connected(Kept(connection, System.nanoTime(), DEFAULT_IDLE_MILLIS))
    }

    private fun takeIdle(address: String, freshMillis: Long): Kept? {
        val ofAddress = idle[address] ?: return null
        while (true) {
            val kept = ofAddress.pollLast() ?: return null
            val age = millisSince(kept.idleSince)
            if (age <= minOf(kept.idleMillis, freshMillis) && kept.isUsable) return kept
            kept.connection.close()
        }
    }

    private suspend fun exchange(
        address: String,
        kept: Kept,
        head: ByteArray,
        request: HttpRequest,
        bounds: ExchangeOptions,
    ): PooledExchange {
        val written = runSuspendCatching {
            kept.connection.output.writeFully(if (request.body.isEmpty()) head else head + request.body)
            kept.connection.output.flush()
        }
        return runSuspendCatching { receive(address, kept, request, bounds) }.getOrElse {
            PooledExchange.Lost(describe(written.exceptionOrNull() ?: it))
        }
    }

    private suspend fun receive(
        address: String,
        kept: Kept,
        request: HttpRequest,
        bounds: ExchangeOptions,
    ): PooledExchange {
        repeat(MAXIMUM_STRAY_ANSWERS + 1) {
            val response = parseResponse(kept.connection.input) ?: throw IOException("no answer")
            response.use {
                if (it.status >= FIRST_FINAL_STATUS) {
                    val headers = headersOf(it)
                    val reader = BodyReader(kept.connection.input, answerFraming(request.method, it.status, headers))
                    val answer = answer(address, kept, it.status, headers, reader)
                    if (isOwn(headers, bounds)) return PooledExchange.Answered(answer)
                    skip(reader)
                }
            }
        }
        throw ParserException("answers to other requests only")
    }

    private fun isOwn(headers: List<Pair<String, String>>, bounds: ExchangeOptions): Boolean {
        val id = bounds.id ?: return true
        val repeated = headers.firstOrNull { it.first.equals(bounds.idHeader, ignoreCase = true) }?.second
        return repeated == null || repeated == id
    }

    private suspend fun skip(reader: BodyReader) {
        var size = 0
        while (true) {
            size += reader.next()?.size ?: return
            if (size > MAXIMUM_STRAY_BYTES) throw IOException("answer to another request without end")
        }
    }

    private fun answer(
        address: String,
        kept: Kept,
        status: Int,
        headers: List<Pair<String, String>>,
        reader: BodyReader,
    ): PooledResponse {
        var isFinished = false
        return PooledResponse(status, headers, reader) { isWhole ->
            if (!isFinished) {
                isFinished = true
                if (isWhole && mayKeep(headers, reader)) keep(address, kept, headers) else kept.connection.close()
            }
        }
    }

    private fun mayKeep(headers: List<Pair<String, String>>, reader: BodyReader): Boolean {
        val isClosing = headers.any { (name, value) ->
            name.equals("Connection", ignoreCase = true) && value.contains("close", ignoreCase = true)
        }
        return !isClosing && reader.isDelimited
    }

    private fun keep(address: String, kept: Kept, headers: List<Pair<String, String>>) {
        val stated = headers.firstOrNull { it.first.equals("Keep-Alive", ignoreCase = true) }?.second
            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }?.groupValues?.get(1)?.toLong()?.times(MILLIS_PER_SECOND)
        if (stated != null) kept.idleMillis = (stated - IDLE_MARGIN_MILLIS).coerceAtLeast(stated / 2)
        kept.idleSince = System.nanoTime()
        if (kept.isUsable) {
            idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }.addLast(kept)
        } else {
            kept.connection.close()
        }
    }

    private fun millisSince(nanos: Long) = (System.nanoTime() - nanos) / NANOS_PER_MILLI
}
