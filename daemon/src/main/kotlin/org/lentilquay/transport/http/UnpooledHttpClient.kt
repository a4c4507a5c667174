/*
 * One HTTP/1.1 request on a connection of its own, with a precise statement about what may have reached the server.
 * Ktor's sockets and its HTTP parser do the work; Ktor's HTTP client is not used, because in version 3.5.2 its CIO
 * engine takes a chunked body that breaks off between two chunks for a whole one, and does not release a connection
 * that is closed while the server sends faster than it is read.
 *
 * A connection serves one request. This costs one TCP handshake per request and makes the statement exact: a failed
 * connect is the only failure before the first byte, and a request never meets a kept connection that the server is
 * closing at that moment. The request does not ask for "Connection: close": Ktor's CIO server then sometimes closes
 * the connection before it has sent the answer (seen in 5 of 30 calls). Nothing is retried and no redirect is
 * followed, because both would send a request twice.
 *
 * Times are in milliseconds. Failures are results, not exceptions; only the cancellation of the caller is thrown.
 */
package org.lentilquay.transport.http

import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching

private const val FIRST_FINAL_STATUS = 200

/** A request; [target] is path and query, already encoded. */
internal class HttpRequest(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: ByteArray = ByteArray(0),
)

/** How one HTTP request went up to the answer headers. */
internal sealed interface UnpooledExchange {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : UnpooledExchange

    /** The connection stood and no answer headers came; the request may have reached the server. */
    data class Lost(val reason: String) : UnpooledExchange

    /** Answer headers arrived; the body is still to be read. Closing cuts the connection in any state. */
    class Answered(
        val status: Int,
        val headers: List<Pair<String, String>>,
        val body: BodyReader,
        private val connection: TcpConnection,
    ) : UnpooledExchange, AutoCloseable by connection {
        fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    }
}

/** Sends HTTP requests to addresses of the form `ip:port`. Closing it does not cut answers that are still open. */
internal class UnpooledHttpClient(private val connectMillis: Long) : AutoCloseable {
    private val network = TcpNetwork()

    /** Sends [request] and waits up to [answerMillis] for the answer headers. The caller closes the answer. */
    suspend fun open(address: String, request: HttpRequest, answerMillis: Long): UnpooledExchange {
        val target = ipAddressOf(address) ?: return UnpooledExchange.NotWritten("$address is not of the form ip:port")
        val head = encodedHead(address, request)
            ?: return UnpooledExchange.NotWritten("the method, target or a header is not valid in an HTTP request")
        val connection = runSuspendCatching { network.connect(target, connectMillis) }
            .getOrElse { return UnpooledExchange.NotWritten(describe(it)) }
            ?: return UnpooledExchange.NotWritten("not connected within $connectMillis ms")
        var exchange: UnpooledExchange? = null
        try {
            exchange = withTimeoutOrNull(answerMillis) { send(connection, head, request) }
        } finally {
            if (exchange !is UnpooledExchange.Answered) connection.close()
        }
        return exchange ?: UnpooledExchange.Lost("no answer within $answerMillis ms")
    }

    override fun close() = network.close()

    private suspend fun send(connection: TcpConnection, head: ByteArray, request: HttpRequest): UnpooledExchange {
        val written = runSuspendCatching {
            connection.output.writeFully(head + request.body)
            connection.output.flush()
        }
        // A server may refuse a long body early: its answer counts even if it did not take all of the request.
        return runSuspendCatching { receive(connection, request) }.getOrElse {
            UnpooledExchange.Lost(describe(written.exceptionOrNull() ?: it))
        }
    }

    private suspend fun receive(connection: TcpConnection, request: HttpRequest): UnpooledExchange {
        while (true) {
            val response = parseResponse(connection.input) ?: throw IOException("no answer")
            response.use {
                if (it.status >= FIRST_FINAL_STATUS) return answered(it, connection, request)
            }
        }
    }

    private fun answered(response: Response, connection: TcpConnection, request: HttpRequest): UnpooledExchange {
        val headers = headersOf(response)
        val framing = answerFraming(request.method, response.status, headers)
        return UnpooledExchange.Answered(response.status, headers, BodyReader(connection.input, framing), connection)
    }
}
