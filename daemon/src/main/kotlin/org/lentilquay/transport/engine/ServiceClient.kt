/*
 * The client of plain services: forwards one call, once, and says exactly what is known about it. A call that must not
 * run twice depends on this: only a result that says that nothing was written may be followed by another attempt.
 */
package org.lentilquay.transport.engine

import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.UnpooledHttpClient
import org.lentilquay.transport.http.forwardedRequestHeaders
import org.lentilquay.transport.http.readFully
import org.lentilquay.transport.http.returnedAnswerHeaders
import org.lentilquay.transport.runSuspendCatching

private const val DEFAULT_CONNECT_MILLIS = 400L
private const val DEFAULT_HEADER_MILLIS = 30_000L
private const val DEFAULT_IDLE_MILLIS = 30_000L

/** The bounds of a [ServiceClient], in milliseconds. */
data class ServiceOptions(
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    val headerMillis: Long = DEFAULT_HEADER_MILLIS,
    /** Bound on the wait for the next bytes of the answer's body. */
    val idleMillis: Long = DEFAULT_IDLE_MILLIS,
)

/** One call as a caller made it. [pathAndQuery] starts with a slash and stays encoded as it came. */
class ServiceCall(
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
)

/** Calls plain services by their `ip:port` address. */
class ServiceClient(private val options: ServiceOptions = ServiceOptions()) : AutoCloseable {
    private val exchanges = UnpooledHttpClient(options.connectMillis)

    /** Forwards [call] with the headers of the allow-list and those of [ownHeaders], which the system itself sets. */
    suspend fun forward(
        address: String,
        call: ServiceCall,
        ownHeaders: List<Pair<String, String>> = emptyList(),
    ): ServiceCallResult {
        val headers = forwardedRequestHeaders(call.headers) + ownHeaders
        val request = HttpRequest(call.method, call.pathAndQuery, headers, call.body)
        return when (val exchange = exchanges.open(address, request, options.headerMillis)) {
            is UnpooledExchange.NotWritten -> ServiceCallResult.NotWritten(exchange.reason)
            is UnpooledExchange.Lost -> ServiceCallResult.LostAfterWriting(exchange.reason)
            is UnpooledExchange.Answered -> ServiceCallResult.Answered(
                exchange.status,
                returnedAnswerHeaders(exchange.headers),
                ExchangeBody(exchange, options.idleMillis),
            )
        }
    }

    override fun close() = exchanges.close()
}

private class ExchangeBody(private val answer: UnpooledExchange.Answered, private val idleMillis: Long) : ServiceBody {
    override suspend fun next(): BodyStep {
        val step = runSuspendCatching {
            withTimeoutOrNull(idleMillis) { answer.body.next()?.let { BodyStep.Bytes(it) } ?: BodyStep.End }
        }
        return step.getOrElse { BodyStep.Lost(describe(it)) } ?: BodyStep.Lost("no bytes within $idleMillis ms")
    }

    override suspend fun readFully(maximumBytes: Int): BodyReadResult = answer.readFully(maximumBytes, idleMillis)

    override fun close() = answer.close()
}
