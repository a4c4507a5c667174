/*
 * HTTP/1.1 client with keep-alive connections. A connection serves one request at a time and returns to the pool only
 * after a complete response that is followed by no further bytes. A connection that the server closed, or on which
 * bytes arrived while it was idle, is not reused. Requests are never retried here.
 *
 * A response to another request, which a faulty server may send late, is detected by the request id that responses
 * repeat; it is read and dropped. The id does not tell the attempts of one request apart, so a request that is sent
 * again goes to a connection on which it was not sent before. Thread-safe; times are in milliseconds.
 */
package org.lentilquay.transport.http

import io.ktor.http.cio.ParserException
import kotlinx.io.IOException
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching
import java.util.Collections
import java.util.IdentityHashMap
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedDeque

private const val FIRST_FINAL_STATUS = 200
private const val NANOS_PER_MILLI = 1_000_000L
private const val MILLIS_PER_SECOND = 1_000L

/** Maximum idle time of a connection if the server sends no Keep-Alive timeout. */
private const val DEFAULT_MAXIMUM_IDLE_MILLIS = 4_000L

/** A connection is not reused within this time before the server's Keep-Alive timeout expires. */
private const val IDLE_MARGIN_MILLIS = 1_000L

/** After this many dropped responses to other requests, the connection counts as broken. */
private const val MAXIMUM_STRAY_RESPONSES = 3

/** A response to another request that is longer than this is not skipped; the connection is closed. */
private const val MAXIMUM_STRAY_BYTES = 1 shl 20
private val KEEP_ALIVE_TIMEOUT = Regex("""timeout=(\d{1,6})""")

/** A response whose headers were received on a pooled connection; the body is not read yet. */
internal class PooledResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: BodyReader,
    private val onFinished: (wasRead: Boolean) -> Unit,
) : AutoCloseable {
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    /** The lengths that the head states; of a response without a body, that of the body that GET would get. */
    val contentLengths: List<String>
        get() = headers.filter { it.first.equals(CONTENT_LENGTH, ignoreCase = true) }.map { it.second.trim() }

    /** Returns the connection to the pool if possible; call it after the body was read to its end. */
    fun releaseConnection() = onFinished(true)

    /** Closes the connection. Has no effect after [releaseConnection]. */
    override fun close() = onFinished(false)
}

/** The result of sending a request and receiving the response headers. */
internal sealed interface PooledExchange {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : PooledExchange

    /** The request may have reached the server, but no usable response was received. */
    data class Lost(val reason: String) : PooledExchange

    class Answered(val answer: PooledResponse) : PooledExchange
}

/** The connections on which a request was sent. An attempt adds its connection before another one starts beside it. */
internal class UsedConnections {
    private val used = Collections.newSetFromMap(IdentityHashMap<TcpConnection, Boolean>())

    fun add(connection: TcpConnection) = used.add(connection)

    operator fun contains(connection: TcpConnection) = connection in used
}

/** Timeouts of an exchange, and how its response is recognized. */
internal data class ExchangeOptions(
    val connectMillis: Long,
    val headerMillis: Long,
    /** The id that the response must repeat in [idHeader], or null to accept any response. */
    val id: String? = null,
    val idHeader: String = "",
    /** A connection that was idle for longer is not reused. */
    val maximumIdleMillis: Long = Long.MAX_VALUE,
    /** The connections on which earlier attempts were sent; they are not used again for this request. */
    val usedConnections: UsedConnections? = null,
    /** Asked when the connection is open; the request is not written unless it is still allowed. */
    val mayWrite: suspend () -> Boolean = { true },
)

internal class HttpConnectionPool(private val network: TcpNetwork) {
    private class PooledConnection(val connection: TcpConnection, var idleSinceNanos: Long, var idleLimitMillis: Long) {
        /** Whether the connection is open and nothing has arrived on it, as its socket says now. */
        val isUsable: Boolean
            get() = connection.input.unreadBytes() == 0L && !connection.input.isClosedForRead &&
                !connection.output.isClosedForWrite
    }

    private val idle = ConcurrentHashMap<String, ConcurrentLinkedDeque<PooledConnection>>()

    /** Sends [request] with the Host header [host] to [address] and waits for the response headers. */
    suspend fun send(address: String, host: String, request: HttpRequest, options: ExchangeOptions): PooledExchange {
        val head = encodedHead(host, request)
            ?: return PooledExchange.NotWritten("the method, target or a header is invalid")
        val pooled = takeIdle(address, options)
            ?: when (val opened = open(address, options.connectMillis)) {
                is ConnectResult.Connected -> opened.pooled
                is ConnectResult.Failed -> return PooledExchange.NotWritten(opened.reason)
            }
        options.usedConnections?.add(pooled.connection)
        var exchange: PooledExchange? = null
        try {
            if (!options.mayWrite()) return PooledExchange.NotWritten("the permission to send it has expired")
            exchange = exchange(address, pooled, head, request, options)
        } finally {
            if (exchange !is PooledExchange.Answered) pooled.connection.close()
        }
        return exchange
    }

    /** Closes the idle connections to [address], for example when the server has left the fleet. */
    fun closeIdle(address: String) {
        idle.remove(address)?.forEach { it.connection.close() }
    }

    /** Closes connections that exceeded their idle time or are not usable. Call it periodically. */
    fun sweep() = idle.values.forEach { ofAddress ->
        ofAddress.filter { millisSince(it.idleSinceNanos) > it.idleLimitMillis || !it.isUsable }
            // A connection that a request has taken meanwhile is not in the queue any more.
            .forEach { if (ofAddress.remove(it)) it.connection.close() }
    }

    private sealed interface ConnectResult {
        class Connected(val pooled: PooledConnection) : ConnectResult

        data class Failed(val reason: String) : ConnectResult
    }

    private suspend fun open(address: String, connectMillis: Long): ConnectResult {
        val target = ipAddressOf(address) ?: return ConnectResult.Failed("$address is not of the form ip:port")
        val connection = runSuspendCatching { network.connect(target, connectMillis) }
            .getOrElse { return ConnectResult.Failed(describe(it)) }
            ?: return ConnectResult.Failed("connection not established within $connectMillis ms")
        return ConnectResult.Connected(PooledConnection(connection, System.nanoTime(), DEFAULT_MAXIMUM_IDLE_MILLIS))
    }

    private fun takeIdle(address: String, options: ExchangeOptions): PooledConnection? {
        val skipped = mutableListOf<PooledConnection>()
        var taken: PooledConnection? = null
        while (taken == null) {
            val pooled = idle[address]?.pollLast() ?: break
            val age = millisSince(pooled.idleSinceNanos)
            when {
                age > minOf(pooled.idleLimitMillis, options.maximumIdleMillis) || !pooled.isUsable ->
                    pooled.connection.close()
                options.usedConnections?.contains(pooled.connection) == true -> skipped += pooled
                else -> taken = pooled
            }
        }
        skipped.asReversed().forEach { addIdle(address, it) }
        return taken
    }

    private fun addIdle(address: String, pooled: PooledConnection) =
        idle.computeIfAbsent(address) { ConcurrentLinkedDeque() }.addLast(pooled)

    private suspend fun exchange(
        address: String,
        pooled: PooledConnection,
        head: ByteArray,
        request: HttpRequest,
        options: ExchangeOptions,
    ): PooledExchange {
        val received = pooled.connection.exchange(head, request.body, options.headerMillis) {
            receive(address, pooled, request, options)
        }
        return received.getOrElse { PooledExchange.Lost(describeLoss(it, options.headerMillis)) }
    }

    private suspend fun receive(
        address: String,
        pooled: PooledConnection,
        request: HttpRequest,
        options: ExchangeOptions,
    ): PooledExchange {
        repeat(MAXIMUM_STRAY_RESPONSES + 1) {
            readResponseHead(pooled.connection.input).use {
                if (it.status >= FIRST_FINAL_STATUS) {
                    val headers = headersOf(it)
                    val body =
                        BodyReader(pooled.connection.input, responseFraming(request.method, it.status, headers))
                    val answer = answer(address, pooled, it.status, headers, body)
                    if (isResponseTo(headers, options)) return PooledExchange.Answered(answer)
                    skipBody(body)
                }
            }
        }
        throw ParserException("only responses to other requests were received")
    }

    private fun isResponseTo(headers: List<Pair<String, String>>, options: ExchangeOptions): Boolean {
        val id = options.id ?: return true
        val repeated = headers.firstOrNull { it.first.equals(options.idHeader, ignoreCase = true) }?.second
        return repeated == null || repeated == id
    }

    private suspend fun skipBody(body: BodyReader) {
        var size = 0
        while (true) {
            size += body.next()?.size ?: return
            if (size > MAXIMUM_STRAY_BYTES) throw IOException("response to another request is too long to skip")
        }
    }

    private fun answer(
        address: String,
        pooled: PooledConnection,
        status: Int,
        headers: List<Pair<String, String>>,
        body: BodyReader,
    ): PooledResponse {
        var isFinished = false
        return PooledResponse(status, headers, body) { wasRead ->
            if (!isFinished) {
                isFinished = true
                if (wasRead && mayReuse(headers, body)) recycle(address, pooled, headers) else pooled.connection.close()
            }
        }
    }

    private fun mayReuse(headers: List<Pair<String, String>>, body: BodyReader): Boolean {
        val isClosing = headers.any { (name, value) ->
            name.equals("Connection", ignoreCase = true) && value.contains("close", ignoreCase = true)
        }
        return !isClosing && body.isDelimited
    }

    private fun recycle(address: String, pooled: PooledConnection, headers: List<Pair<String, String>>) {
        val keepAliveMillis = headers.firstOrNull { it.first.equals("Keep-Alive", ignoreCase = true) }?.second
            ?.let { KEEP_ALIVE_TIMEOUT.find(it) }?.groupValues?.get(1)?.toLong()?.times(MILLIS_PER_SECOND)
        if (keepAliveMillis != null) {
            pooled.idleLimitMillis = (keepAliveMillis - IDLE_MARGIN_MILLIS).coerceAtLeast(keepAliveMillis / 2)
        }
        pooled.idleSinceNanos = System.nanoTime()
        if (pooled.isUsable) {
            addIdle(address, pooled)
        } else {
            pooled.connection.close()
        }
    }

    private fun millisSince(nanos: Long) = (System.nanoTime() - nanos) / NANOS_PER_MILLI
}
