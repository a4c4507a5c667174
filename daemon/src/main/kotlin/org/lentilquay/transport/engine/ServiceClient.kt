/*
 * HTTP client of plain services: forwards a call once and reports exactly what is known about it. Calls that must not
 * run twice depend on this: they may be retried only if nothing was written.
 */
package org.lentilquay.transport.engine

import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.UnpooledHttpClient
import org.lentilquay.transport.http.answerNotice
import org.lentilquay.transport.http.forwardedRequestHeaders
import org.lentilquay.transport.http.readFully
import org.lentilquay.transport.http.returnedResponseHeaders
import org.lentilquay.transport.runSuspendCatching

private const val DEFAULT_CONNECT_MILLIS = 400L
private const val DEFAULT_HEADER_MILLIS = 30_000L
private const val DEFAULT_IDLE_MILLIS = 30_000L

/** Timeouts of a [ServiceClient]. */
data class ServiceOptions(
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    val headerMillis: Long = DEFAULT_HEADER_MILLIS,
    /** Maximum time to wait for the next bytes of the response body. */
    val idleMillis: Long = DEFAULT_IDLE_MILLIS,
)

/** A call as the caller sent it. [pathAndQuery] starts with a slash and keeps the caller's encoding. */
class ServiceCall(
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** Calls plain services by their `ip:port` address. Thread-safe. */
class ServiceClient(private val options: ServiceOptions = ServiceOptions()) : AutoCloseable {
    private val http = UnpooledHttpClient(options.connectMillis)

    /** Forwards [call] with its headers that are on the allow-list and with [addedHeaders]. */
    suspend fun forward(
        address: String,
        call: ServiceCall,
        addedHeaders: List<Pair<String, String>> = emptyList(),
    ): ServiceCallResult {
        val headers = forwardedRequestHeaders(call.headers) + addedHeaders
        val request = HttpRequest(call.method, call.pathAndQuery, headers, call.body)
        return when (val exchange = http.open(address, request, options.headerMillis)) {
            is UnpooledExchange.NotWritten -> ServiceCallResult.NotWritten(exchange.reason)
            is UnpooledExchange.Lost -> ServiceCallResult.LostAfterWriting(exchange.reason)
            is UnpooledExchange.Answered -> ServiceCallResult.Answered(
                exchange.status,
                returnedResponseHeaders(exchange.headers),
                ResponseBody(exchange, options.idleMillis),
                exchange.header(EngineHeaders.INCARNATION)?.toLongOrNull(),
                answerNotice(exchange.status, exchange.headers, EngineHeaders.LEAVING),
            )
        }
    }

    override fun close() = http.close()
}

private class ResponseBody(private val answer: UnpooledExchange.Answered, private val idleMillis: Long) : ServiceBody {
    override suspend fun next(): BodyStep {
        val step = runSuspendCatching {
            answer.body.within(idleMillis) { answer.body.next()?.let { BodyStep.Bytes(it) } ?: BodyStep.End }
        }
        return step.getOrElse {
            BodyStep.Lost(if (it is InputTimeoutException) "no bytes within $idleMillis ms" else describe(it))
        }
    }

    override suspend fun readFully(maximumBytes: Int): BodyReadResult = answer.readFully(maximumBytes, idleMillis)

    override fun close() = answer.close()
}
