/*
 * Sends the requests of a trace at their times, whether or not earlier ones were answered, and reads the streams. Times
 * are measured from the planned time of a request, so a late start of the generator counts against the result.
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
private const val TIMEOUT_MILLIS = 60_000L
private const val CONNECTIONS = 2_000
private const val LONGEST_MICROS = 120_000_000L
private const val DIGITS = 3
private const val DATA = "data: "
private const val END = "[DONE]"
private const val SUFFIX_BYTES = 24

/** How one request ended. [error] is null for a whole answer, else the code of the error or of the connection. */
internal class RequestResult(
    val request: TraceRequest,
    val firstTokenMillis: Double?,
    val error: String?,
    val tokens: Int,
    /** When the caller should try again, as the error said. */
    val retryAfterMillis: Long? = null,
)

/** Sends requests to the VMs that [ports] lists at the time, each for the model that [modelOf] names. */
internal class LoadGenerator(
    private val ports: () -> List<Int>,
    private val modelOf: (TraceRequest) -> String = { routeName(it.adapter) },
) : AutoCloseable {
    private val json = Json { ignoreUnknownKeys = true }
    private val client = HttpClient(CIO) {
        install(HttpTimeout) { requestTimeoutMillis = TIMEOUT_MILLIS }
        engine {
            maxConnectionsCount = CONNECTIONS
            endpoint.maxConnectionsPerRoute = CONNECTIONS
        }
    }

    /** Times between tokens of all requests, in microseconds. */
    val gaps: Histogram = ConcurrentHistogram(LONGEST_MICROS, DIGITS)

    /** Sends the whole [trace] from [startNanos] on; returns when every request has ended. */
    suspend fun run(trace: List<TraceRequest>, startNanos: Long): List<RequestResult> =
        withContext(Dispatchers.Default) {
            trace.map { request ->
                val planned = startNanos + request.atMillis * NANOS_PER_MILLI
                val wait = (planned - System.nanoTime()) / NANOS_PER_MILLI
                if (wait > 0) delay(wait)
                async { send(request, planned) }
            }.awaitAll()
        }

    /** Sends one request that was planned for [plannedNanos]. */
    suspend fun send(request: TraceRequest, plannedNanos: Long): RequestResult {
        val reader = StreamTimes(plannedNanos, gaps)
        val error = try {
            val choice = ports()
            if (choice.isEmpty()) "no_ready_vm" else exchange(request, choice[request.vmDraw % choice.size], reader)
        } catch (failure: CancellationException) {
            throw failure
        } catch (failure: IOException) {
            "connection_${failure.javaClass.simpleName}"
        } catch (failure: IllegalStateException) {
            "client_${failure.javaClass.simpleName}"
        }
        return RequestResult(request, reader.firstMillis, error, reader.tokens, reader.retryAfterMillis)
    }

    private suspend fun exchange(request: TraceRequest, port: Int, times: StreamTimes): String? {
        val statement = client.preparePost("http://127.0.0.1:$port/v1/chat/completions") {
            bearerAuth(keyText(request.team))
            contentType(ContentType.Application.Json)
            setBody(bodyOf(request, modelOf(request)))
        }
        return statement.execute { response ->
            if (response.status == HttpStatusCode.OK) {
                readStream(response.bodyAsChannel(), times)
            } else {
                errorCode(response.bodyAsText(), times) ?: "http_${response.status.value}"
            }
        }
    }

    private suspend fun readStream(channel: ByteReadChannel, times: StreamTimes): String? {
        while (true) {
            val line = channel.readLine() ?: return "ended_early"
            if (!line.startsWith(DATA)) continue
            val data = line.substring(DATA.length)
            if (data == END) return null
            if (data.startsWith("{\"error\"")) return errorCode(data, times) ?: "unknown_error"
            times.token()
        }
    }

    private fun errorCode(text: String, times: StreamTimes): String? = try {
        json.decodeFromString<ErrorBody>(text).error.also { times.retryAfterMillis = it.retryAfterMillis }.code
    } catch (_: SerializationException) {
        null
    }

    override fun close() = client.close()
}

private class StreamTimes(private val plannedNanos: Long, private val gaps: Histogram) {
    private var last = 0L
    var firstMillis: Double? = null
        private set
    var tokens = 0
        private set
    var retryAfterMillis: Long? = null

    fun token() {
        val now = System.nanoTime()
        if (tokens++ == 0) {
            firstMillis = (now - plannedNanos).toDouble() / NANOS_PER_MILLI
        } else {
            gaps.recordValue(((now - last) / NANOS_PER_MICRO).coerceAtMost(LONGEST_MICROS))
        }
        last = now
    }
}

/** The key that the scenarios grant to [team]. */
internal fun keyText(team: Int): String = "bench-key-of-team-$team"

/** The route to [adapter]. */
internal fun routeName(adapter: Int): String = "route-$adapter"

/** The name of [adapter]. */
internal fun adapterName(adapter: Int): String = "adapter-$adapter"

private fun bodyOf(request: TraceRequest, model: String): String {
    // The prompt differs between requests, so that no two have one fingerprint.
    val suffix = "question ${request.number}".padEnd(SUFFIX_BYTES, '.')
    val prompt = suffix + "x".repeat((request.promptBytes - SUFFIX_BYTES).coerceAtLeast(0))
    return """{"model":"$model","stream":true,"max_tokens":${request.maximumTokens},""" +
        """"messages":[{"role":"user","content":"$prompt"}]}"""
}
