/*
 * Open-loop load generator: sends each request of a trace at its planned time, whether or not earlier ones have been
 * answered, and reads the event streams. Latencies are measured from the planned time of a request, so that delays of
 * the generator itself are included (no coordinated omission).
 */
package org.lentilquay.bench

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.plugins.HttpTimeout
import io.ktor.client.request.bearerAuth
import io.ktor.client.request.preparePost
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.http.contentType
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLine
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import org.lentilquay.protocol.ErrorBody
import java.io.IOException

private const val NANOS_PER_MILLI = 1_000_000L
private const val NANOS_PER_MICRO = 1_000L
private const val REQUEST_TIMEOUT_MILLIS = 60_000L
private const val MAXIMUM_CONNECTIONS = 2_000
private const val HIGHEST_MICROS = 120_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val SSE_DATA_PREFIX = "data: "
private const val END_OF_STREAM = "[DONE]"
private const val UNIQUE_PREFIX_BYTES = 24

/** The result of one request. [error] is null for a complete answer, else an error code or the connection failure. */
internal class RequestResult(
    val request: TraceRequest,
    val firstTokenMillis: Double?,
    val error: String?,
    val tokens: Int,
    /** The delay before a retry that the error asked for. */
    val retryAfterMillis: Long? = null,
)

/** Sends each request to one of [ports], read at that time; [modelName] is the model that the request names. */
internal class LoadGenerator(
    private val ports: () -> List<Int>,
    private val modelName: (TraceRequest) -> String = { routeName(it.adapter) },
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = REQUEST_TIMEOUT_MILLIS }
        engine {
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint.maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
        }
    }

    /** Times between tokens of all requests, in microseconds. */
    val tokenGaps: Histogram = ConcurrentHistogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)

    /** Sends [trace], which begins at [startNanos] of `System.nanoTime`; returns when every request has ended. */
    suspend fun run(trace: List<TraceRequest>, startNanos: Long): List<RequestResult> =
        withContext(Dispatchers.Default) {
            trace.map { request ->
                val planned = startNanos + request.atMillis * NANOS_PER_MILLI
                val wait = (planned - System.nanoTime()) / NANOS_PER_MILLI
                if (wait > 0) delay(wait)
                async { send(request, planned) }
            }.awaitAll()
        }

    /** Sends one request now; its latency counts from [plannedNanos]. */
    suspend fun send(request: TraceRequest, plannedNanos: Long): RequestResult {
        val timing = StreamTiming(plannedNanos, tokenGaps)
        val error = try {
            val ready = ports()
            if (ready.isEmpty()) "no_ready_vm" else exchange(request, ready[request.vmSelector % ready.size], timing)
        } catch (failure: CancellationException) {
            throw failure
        } catch (failure: IOException) {
            "connection_${failure.javaClass.simpleName}"
        } catch (failure: IllegalStateException) {
            "client_${failure.javaClass.simpleName}"
        }
        return RequestResult(request, timing.firstMillis, error, timing.tokens, timing.retryAfterMillis)
    }

    private suspend fun exchange(request: TraceRequest, port: Int, timing: StreamTiming): String? {
        val statement = client.preparePost("http://127.0.0.1:$port/v1/chat/completions") {
            bearerAuth(apiKeyOf(request.team))
            contentType(ContentType.Application.Json)
            setBody(bodyOf(request, modelName(request)))
        }
        return statement.execute { response ->
            if (response.status == HttpStatusCode.OK) {
                readStream(response.bodyAsChannel(), timing)
            } else {
                errorCode(response.bodyAsText(), timing) ?: "http_${response.status.value}"
            }
        }
    }

    private suspend fun readStream(channel: ByteReadChannel, timing: StreamTiming): String? {
        while (true) {
            val line = channel.readLine() ?: return "ended_early"
            if (!line.startsWith(SSE_DATA_PREFIX)) continue
            val data = line.substring(SSE_DATA_PREFIX.length)
            if (data == END_OF_STREAM) return null
            if (data.startsWith("{\"error\"")) return errorCode(data, timing) ?: "unknown_error"
            timing.recordToken()
        }
    }

    private fun errorCode(text: String, timing: StreamTiming): String? = try {
        json.decodeFromString<ErrorBody>(text).error.also { timing.retryAfterMillis = it.retryAfterMillis }.code
    } catch (_: SerializationException) {
        null
    }

    override fun close() = client.close()
}

/** Records the arrival times of one stream's tokens. */
private class StreamTiming(private val plannedNanos: Long, private val tokenGaps: Histogram) {
    private var lastTokenNanos = 0L
    var firstMillis: Double? = null
        private set
    var tokens = 0
        private set
    var retryAfterMillis: Long? = null

    fun recordToken() {
        val now = System.nanoTime()
        if (tokens++ == 0) {
            firstMillis = (now - plannedNanos).toDouble() / NANOS_PER_MILLI
        } else {
            tokenGaps.recordValue(((now - lastTokenNanos) / NANOS_PER_MICRO).coerceAtMost(HIGHEST_MICROS))
        }
        lastTokenNanos = now
    }
}

/** The caller key that is granted to [team]. */
internal fun apiKeyOf(team: Int): String = "bench-key-of-team-$team"

/** The id of the route to [adapter]. */
internal fun routeName(adapter: Int): String = "route-$adapter"

internal fun adapterName(adapter: Int): String = "adapter-$adapter"

private fun bodyOf(request: TraceRequest, model: String): String {
    // Every prompt begins differently, so that no two requests have the same fingerprint.
    val prefix = "question ${request.number}".padEnd(UNIQUE_PREFIX_BYTES, '.')
    val prompt = prefix + "x".repeat((request.promptBytes - UNIQUE_PREFIX_BYTES).coerceAtLeast(0))
    return """{"model":"$model","stream":true,"max_tokens":${request.maximumTokens},""" +
        """"messages":[{"role":"user","content":"$prompt"}]}"""
}
