/*
 * Calls of services by HTTP with whole answers, over kept connections. Every call has one time bound in milliseconds
 * and is sent once.
 */
package org.lentilquay.transport.http

import org.lentilquay.transport.TcpNetwork

private const val MAXIMUM_ANSWER_BYTES = 64 shl 20
private const val NANOS_PER_MILLI = 1_000_000L
private const val NO_CONTENT = ""

/** What a call led to. */
sealed interface HttpCallResult {
    class Response(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray) : HttpCallResult {
        val text: String get() = body.decodeToString()

        fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    }

    /** Nothing was sent. */
    data class NotWritten(val reason: String) : HttpCallResult

    /** The call may have had its effect; no whole answer came. */
    data class Lost(val reason: String) : HttpCallResult
}

/** A call; [target] is path and query, already encoded. */
class HttpCall(
    val method: String,
    val target: String,
    val headers: List<Pair<String, String>> = emptyList(),
    val body: String = NO_CONTENT,
)

/** Calls services at addresses of the form `ip:port`. */
class PooledHttpClient(private val connectMillis: Long) {
    private val connections = HttpConnectionPool(TcpNetwork())

    suspend fun call(address: String, call: HttpCall, timeoutMillis: Long): HttpCallResult {
        val startedAt = System.nanoTime()
        val request = HttpRequest(call.method, call.target, call.headers, call.body.encodeToByteArray())
        val bounds = ExchangeOptions(minOf(connectMillis, timeoutMillis), timeoutMillis)
        return when (val exchange = connections.send(address, address, request, bounds)) {
            is PooledExchange.NotWritten -> HttpCallResult.NotWritten(exchange.reason)
            is PooledExchange.Lost -> HttpCallResult.Lost(exchange.reason)
            is PooledExchange.Answered -> exchange.answer.use { answer ->
                val left = timeoutMillis - (System.nanoTime() - startedAt) / NANOS_PER_MILLI
                when (val body = readFully(answer.body, MAXIMUM_ANSWER_BYTES, left)) {
                    is BodyReadResult.Complete -> {
                        answer.releaseConnection()
                        HttpCallResult.Response(answer.status, answer.headers, body.bytes)
                    }
                    is BodyReadResult.TooLarge -> HttpCallResult.Lost("answer larger than ${body.maximumBytes} bytes")
                    is BodyReadResult.Lost -> HttpCallResult.Lost(body.reason)
                }
            }
        }
    }
}
