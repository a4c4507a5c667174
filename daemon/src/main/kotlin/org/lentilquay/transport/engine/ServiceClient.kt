/*
 * The client of plain services: forwards one call, once, and says exactly what is known about it. A call that must not
 * run twice depends on this: only a result that says that nothing was written may be followed by another attempt.
 */
package org.lentilquay.transport.engine

import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.setBody
import io.ktor.client.request.url
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.content.ByteArrayContent
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.http.Exchange
import org.lentilquay.transport.http.ExchangeClient
import org.lentilquay.transport.http.WholeBody
import org.lentilquay.transport.http.attempt
import org.lentilquay.transport.http.describe
import org.lentilquay.transport.http.forwardedRequestHeaders
import org.lentilquay.transport.http.readWhole
import org.lentilquay.transport.http.returnedAnswerHeaders

private const val DEFAULT_CONNECT_MILLIS = 400L
private const val DEFAULT_HEADER_MILLIS = 30_000L
private const val DEFAULT_IDLE_MILLIS = 30_000L
private const val BODY_STEP_BYTES = 8_192
private val METHOD = Regex("[A-Z]{1,16}")
private val TARGET = Regex("/[\\x21\\x22\\x24-\\x7e]*")

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
    private val exchanges = ExchangeClient(options.connectMillis)

    /** Forwards [call] with the headers of the allow-list and those of [ownHeaders], which the system itself sets. */
    suspend fun forward(
        address: String,
        call: ServiceCall,
        ownHeaders: List<Pair<String, String>> = emptyList(),
    ): ServiceAnswer {
        if (!METHOD.matches(call.method) || !TARGET.matches(call.pathAndQuery)) {
            return ServiceAnswer.NotWritten("method or path cannot be forwarded")
        }
        return when (val exchange = exchanges.open(request(address, call, ownHeaders), options.headerMillis)) {
            is Exchange.NotWritten -> ServiceAnswer.NotWritten(exchange.reason)
            is Exchange.Lost -> ServiceAnswer.LostAfterWriting(exchange.reason)
            is Exchange.Answered -> {
                val headers = exchange.response.headers.entries()
                    .flatMap { (name, values) -> values.map { name to it } }
                ServiceAnswer.Answered(
                    exchange.response.status.value,
                    returnedAnswerHeaders(headers),
                    ChannelBody(exchange, options.idleMillis),
                )
            }
        }
    }

    override fun close() = exchanges.close()

    private fun request(address: String, call: ServiceCall, ownHeaders: List<Pair<String, String>>) =
        HttpRequestBuilder().apply {
            method = HttpMethod.parse(call.method)
            url("http://$address${call.pathAndQuery}")
            val (types, others) = (forwardedRequestHeaders(call.headers) + ownHeaders)
                .partition { (name, _) -> name.equals(HttpHeaders.ContentType, ignoreCase = true) }
            others.forEach { (name, value) -> headers.append(name, value) }
            if (call.body.isNotEmpty()) {
                val type = types.firstOrNull()?.second?.let { runCatching { ContentType.parse(it) }.getOrNull() }
                setBody(ByteArrayContent(call.body, type))
            }
        }
}

private class ChannelBody(private val answer: Exchange.Answered, private val idleMillis: Long) : ServiceBody {
    private val declared = answer.declaredLength
    private var received = 0L

    override suspend fun next(): BodyStep {
        val buffer = ByteArray(BODY_STEP_BYTES)
        val outcome = attempt { withTimeoutOrNull(idleMillis) { answer.body.readAvailable(buffer) } }
        val failure = outcome.exceptionOrNull() ?: answer.body.closedCause
        val count = outcome.getOrNull()
        return when {
            failure != null -> BodyStep.Lost(describe(failure))
            count == null -> BodyStep.Lost("no bytes within $idleMillis ms")
            count >= 0 -> BodyStep.Bytes(buffer.copyOf(count)).also { received += count }
            declared != null && received != declared -> BodyStep.Lost("body shorter than declared")
            else -> BodyStep.End
        }
    }

    override suspend fun whole(maximumBytes: Int): WholeBody = answer.readWhole(maximumBytes, idleMillis)

    override fun close() = answer.close()
}
