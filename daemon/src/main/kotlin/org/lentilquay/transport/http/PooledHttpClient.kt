/*
 * HTTP client with pooled connections that reads whole responses. Every call has one timeout in milliseconds and is
 * sent once, without retries.
 */
package org.lentilquay.transport.http

import org.lentilquay.transport.TcpNetwork

/** Maximum length of a response body for calls that set none. */
private const val DEFAULT_MAXIMUM_BYTES = 128 shl 10
private const val NANOS_PER_MILLI = 1_000_000L
private const val EMPTY_BODY = ""

/** The result of a call. */
sealed interface HttpCallResult {
    class Response(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : HttpCallResult {
        val text: String get() = body.decodeToString()

        fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    }

    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : HttpCallResult

    /** The request may have taken effect, but no complete response was received. */
    data class Lost(val reason: String) : HttpCallResult
}

/** A request; [target] is the path and query, already encoded. A longer body than [maximumBytes] is a lost response. */
class HttpCall(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: String = EMPTY_BODY,
    val maximumBytes: Int = DEFAULT_MAXIMUM_BYTES,
)

/** Calls HTTP servers at addresses of the form `ip:port`. Thread-safe. */
class PooledHttpClient(private val connectMillis: Long) {
    private val connections = HttpConnectionPool(TcpNetwork())

    /**
     * Sends [call] to [address] and reads the whole response within [timeoutMillis]. The call is written only if
     * [mayWrite] still allows it once the connection is open.
     */
    suspend fun call(
        address: String,
        call: HttpCall,
        timeoutMillis: Long,
        mayWrite: suspend () -> Boolean = { true },
    ): HttpCallResult {
        val startedAt = System.nanoTime()
        val request = HttpRequest(call.method, call.target, call.headers, call.body.encodeToByteArray())
        val options = ExchangeOptions(minOf(connectMillis, timeoutMillis), timeoutMillis, mayWrite = mayWrite)
        return when (val exchange = connections.send(address, address, request, options)) {
            is PooledExchange.NotWritten -> HttpCallResult.NotWritten(exchange.reason)
            is PooledExchange.Lost -> HttpCallResult.Lost(exchange.reason)
            is PooledExchange.Answered -> exchange.answer.use { answer ->
                val remainingMillis = timeoutMillis - (System.nanoTime() - startedAt) / NANOS_PER_MILLI
                when (val body = readFully(answer.body, call.maximumBytes, remainingMillis)) {
                    is BodyReadResult.Complete -> {
                        answer.releaseConnection()
                        HttpCallResult.Response(answer.status, answer.headers, body.bytes)
                    }
                    is BodyReadResult.TooLarge -> HttpCallResult.Lost("response larger than ${body.maximumBytes} bytes")
                    is BodyReadResult.Lost -> HttpCallResult.Lost(body.reason)
                }
            }
        }
    }
}
