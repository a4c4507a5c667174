/*
 * HTTP/1.1 client that opens a connection for each request and states exactly whether a failed request may have reached
 * the server. It uses Ktor's sockets and HTTP parser, but not Ktor's HTTP client: in version 3.5.2, its CIO engine
 * reports a chunked body that is truncated between two chunks as complete, and does not release a connection that is
 * closed while the server sends faster than the client reads.
 *
 * One connection per request costs one TCP handshake and makes the result exact: a failed connect is the only failure
 * before the first byte is written, and a request is never sent on a reused connection that the server is closing. The
 * client does not send "Connection: close", because Ktor's CIO server then sometimes closes the connection before it
 * has sent the response (in 5 of 30 calls). Requests are not retried and redirects not followed, because both would
 * send a request twice.
 *
 * Times are in milliseconds. Failures are results, not exceptions; only the cancellation of the caller is thrown.
 */
package org.lentilquay.transport.http

import io.ktor.http.cio.Response
import kotlinx.io.IOException
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching

private const val FIRST_FINAL_STATUS = 200

/** After this many responses with a status below 200, the connection counts as broken. */
private const val MAXIMUM_INFORMATIONAL_RESPONSES = 3

/** A request; [target] is the path and query, already encoded. */
internal class HttpRequest(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray = ByteArray(0),
)

/** The result of sending a request and receiving the response headers. */
internal sealed interface UnpooledExchange {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : UnpooledExchange

    /** The connection was open, but no response headers were received; the request may have reached the server. */
    data class Lost(val reason: String) : UnpooledExchange

    /** The response headers were received; the body is not read yet. Closing it closes the connection in any state. */
    class Answered(
        val status: Int,
        val headers: List<Pair<String, String>>,
        val body: BodyReader,
        private val connection: TcpConnection,
    ) : UnpooledExchange, AutoCloseable by connection {
        fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    }
}

/** Sends HTTP requests to addresses of the form `ip:port`. Closing it does not close open responses. Thread-safe. */
internal class UnpooledHttpClient(private val connectMillis: Long) : AutoCloseable {
    private val network = TcpNetwork()

    /** Sends [request] and waits up to [headerMillis] for the response headers. The caller must close the response. */
    suspend fun open(address: String, request: HttpRequest, headerMillis: Long): UnpooledExchange {
        val target = ipAddressOf(address) ?: return UnpooledExchange.NotWritten("$address is not of the form ip:port")
        val head = encodedHead(address, request)
            ?: return UnpooledExchange.NotWritten("the method, target or a header is invalid")
        val connection = runSuspendCatching { network.connect(target, connectMillis) }
            .getOrElse { return UnpooledExchange.NotWritten(describe(it)) }
            ?: return UnpooledExchange.NotWritten("connection not established within $connectMillis ms")
        var exchange: UnpooledExchange? = null
        try {
            exchange = connection.exchange(head, request.body, headerMillis) { receive(connection, request) }
                .getOrElse { UnpooledExchange.Lost(describeLoss(it, headerMillis)) }
        } finally {
            if (exchange !is UnpooledExchange.Answered) connection.close()
        }
        return exchange
    }

    override fun close() = network.close()

    private suspend fun receive(connection: TcpConnection, request: HttpRequest): UnpooledExchange {
        repeat(MAXIMUM_INFORMATIONAL_RESPONSES + 1) {
            readResponseHead(connection.input).use {
                if (it.status >= FIRST_FINAL_STATUS) return responseOf(it, connection, request)
            }
        }
        throw IOException("no final response after $MAXIMUM_INFORMATIONAL_RESPONSES informational ones")
    }

    private fun responseOf(response: Response, connection: TcpConnection, request: HttpRequest): UnpooledExchange {
        val headers = headersOf(response)
        val framing = responseFraming(request.method, response.status, headers)
        return UnpooledExchange.Answered(response.status, headers, BodyReader(connection.input, framing), connection)
    }
}
