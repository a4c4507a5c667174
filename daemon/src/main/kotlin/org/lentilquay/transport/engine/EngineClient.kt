/*
 * HTTP client of model engines: orders with a fencing number, load reports and inference runs. Every request is sent
 * once, on a connection of its own (see UnpooledHttpClient), so that streams do not wait for each other. Times are in
 * milliseconds. Docs: docs/design.md, section 5.2.
 */
package org.lentilquay.transport.engine

import io.ktor.http.HttpStatusCode
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.lentilquay.protocol.CacheEvents
import org.lentilquay.protocol.CancelOrder
import org.lentilquay.protocol.EngineErrorCodes
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.LoadAdapterOrder
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.ResumeOrder
import org.lentilquay.protocol.UnloadAdapterOrder
import org.lentilquay.transport.http.BodyReadResult
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.UnpooledExchange
import org.lentilquay.transport.http.UnpooledHttpClient
import org.lentilquay.transport.http.answerNotice
import org.lentilquay.transport.http.readFully

private const val DEFAULT_CONNECT_MILLIS = 400L
private const val DEFAULT_ORDER_MILLIS = 1_000L
private const val DEFAULT_LOAD_MILLIS = 30_000L
private const val DEFAULT_REPORT_MILLIS = 1_000L
private const val DEFAULT_HEADER_MILLIS = 10_000L
private const val DEFAULT_IDLE_MILLIS = 30_000L
private const val DEFAULT_EVENT_BYTES = 1 shl 20
private const val MAXIMUM_REPORT_BYTES = 4 shl 20
private const val MAXIMUM_ERROR_BYTES = 16_384

private val json = Json { ignoreUnknownKeys = true }
private val JSON_CONTENT = "Content-Type" to "application/json"
private val emptyObject = JsonObject(emptyMap())

/** Timeouts and limits of an [EngineClient]. */
data class EngineOptions(
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    /** Timeout of ownership claims, unloads, role changes and cancels. */
    val orderMillis: Long = DEFAULT_ORDER_MILLIS,
    /** Timeout of loading an adapter, including the fetch from the weight store. */
    val loadMillis: Long = DEFAULT_LOAD_MILLIS,
    val reportMillis: Long = DEFAULT_REPORT_MILLIS,
    /** Timeout of the response headers of a run; engines send them when they accept the request. */
    val headerMillis: Long = DEFAULT_HEADER_MILLIS,
    /** Maximum time between two events of a stream, and to read a response that is not a stream. */
    val idleMillis: Long = DEFAULT_IDLE_MILLIS,
    val maximumEventBytes: Int = DEFAULT_EVENT_BYTES,
)

/** Calls engines by their `ip:port` address. Thread-safe. */
class EngineClient(private val options: EngineOptions = EngineOptions()) : AutoCloseable {
    private val http = UnpooledHttpClient(options.connectMillis)

    /** Claims ownership with the fencing number [fence]; the engine rejects it if it has seen a later one. */
    suspend fun claim(address: String, fence: Long): OrderResult =
        order(address, "claim", fence, json.encodeToString(JsonObject.serializer(), emptyObject), options.orderMillis)

    /** Loads an adapter; suspends until the engine has loaded it or failed to. */
    suspend fun load(address: String, fence: Long, order: LoadAdapterOrder): OrderResult {
        val body = json.encodeToString(LoadAdapterOrder.serializer(), order)
        return order(address, "load_lora_adapter", fence, body, options.loadMillis)
    }

    suspend fun unload(address: String, fence: Long, order: UnloadAdapterOrder): OrderResult {
        val body = json.encodeToString(UnloadAdapterOrder.serializer(), order)
        return order(address, "unload_lora_adapter", fence, body, options.orderMillis)
    }

    suspend fun role(address: String, fence: Long, role: String): OrderResult {
        val body = json.encodeToString(JsonObject.serializer(), JsonObject(mapOf("role" to JsonPrimitive(role))))
        return order(address, "role", fence, body, options.orderMillis)
    }

    /** Cancels the run [requestId]. Cancelling a run that has ended has no effect. */
    suspend fun cancel(address: String, requestId: String): OrderResult {
        val body = json.encodeToString(CancelOrder.serializer(), CancelOrder(requestId))
        return order(address, "cancel", fence = null, body, options.orderMillis)
    }

    suspend fun loadReport(address: String): LoadReportResult =
        report(address, "/load", LoadReport.serializer())

    suspend fun cacheEvents(address: String, after: Long): CacheEventsResult =
        report(address, "/cache_events?after=$after", CacheEvents.serializer())

    /** Starts an inference run and returns as soon as the response headers are received. */
    suspend fun startRun(
        address: String,
        path: String,
        body: ByteArray,
        headers: List<Pair<String, String>>,
    ): EngineRunResult {
        val others = headers.filterNot { it.first.equals(JSON_CONTENT.first, ignoreCase = true) }
        val request = HttpRequest("POST", path, others + JSON_CONTENT, body)
        return when (val exchange = http.open(address, request, options.headerMillis)) {
            is UnpooledExchange.NotWritten -> EngineRunResult.NotWritten(exchange.reason)
            is UnpooledExchange.Lost -> EngineRunResult.LostBeforeHeaders(exchange.reason)
            is UnpooledExchange.Answered -> runResult(exchange)
        }
    }

    /** Reopens the stream of a run, starting with the chunk [ResumeOrder.fromIndex]. */
    suspend fun resume(address: String, order: ResumeOrder): EngineRunResult {
        val body = json.encodeToString(ResumeOrder.serializer(), order).encodeToByteArray()
        return startRun(address, "/v1/resume", body, listOf(EngineHeaders.REQUEST_ID to order.requestId))
    }

    override fun close() = http.close()

    private suspend fun runResult(answer: UnpooledExchange.Answered): EngineRunResult {
        val head = runHead(answer)
        if (head.status == HttpStatusCode.OK.value) {
            return EngineRunResult.Accepted(head, EventReader(answer, options.idleMillis, options.maximumEventBytes))
        }
        val body = answer.use { readText(it, MAXIMUM_ERROR_BYTES) }
        val code = body?.let(::errorCode)
        return when {
            head.status == HttpStatusCode.NotFound.value && code == EngineErrorCodes.ADAPTER_NOT_LOADED ->
                EngineRunResult.NotLoaded(head)
            head.status == HttpStatusCode.ServiceUnavailable.value && code == EngineErrorCodes.OVERLOADED ->
                EngineRunResult.Overloaded(head)
            else -> EngineRunResult.WrongStatus(head, code, body.orEmpty())
        }
    }

    private suspend fun order(
        address: String,
        name: String,
        fence: Long?,
        body: String,
        timeoutMillis: Long,
    ): OrderResult {
        val headers = listOfNotNull(JSON_CONTENT, fence?.let { EngineHeaders.FENCING_TOKEN to it.toString() })
        val request = HttpRequest("POST", "/v1/$name", headers, body.encodeToByteArray())
        return when (val exchange = http.open(address, request, timeoutMillis)) {
            is UnpooledExchange.NotWritten -> OrderResult.NotWritten(exchange.reason)
            is UnpooledExchange.Lost -> OrderResult.OutcomeUnknown(exchange.reason)
            is UnpooledExchange.Answered -> exchange.use { orderResult(it) }
        }
    }

    private suspend fun orderResult(answer: UnpooledExchange.Answered): OrderResult {
        val status = answer.status
        val engineTime = answer.header(EngineHeaders.ENGINE_TIME)?.toLongOrNull()
        if (status == HttpStatusCode.OK.value) return OrderResult.Done(engineTime)
        val code = readText(answer, MAXIMUM_ERROR_BYTES)?.let(::errorCode)
        val isStale = status == HttpStatusCode.Conflict.value && (code == null || code == EngineErrorCodes.STALE_FENCE)
        return if (isStale) OrderResult.StaleFence(engineTime) else OrderResult.Rejected(status, code, engineTime)
    }

    private suspend fun <T> report(address: String, target: String, serializer: KSerializer<T>): ReportResult<T> =
        when (val exchange = http.open(address, HttpRequest("GET", target), options.reportMillis)) {
            is UnpooledExchange.NotWritten -> ReportResult.Failed(exchange.reason, connected = false)
            is UnpooledExchange.Lost -> ReportResult.Failed(exchange.reason, connected = true)
            is UnpooledExchange.Answered -> exchange.use { decodeReport(it, serializer) }
        }

    private suspend fun <T> decodeReport(
        answer: UnpooledExchange.Answered,
        serializer: KSerializer<T>,
    ): ReportResult<T> {
        val isOk = answer.status == HttpStatusCode.OK.value
        if (!isOk) return ReportResult.Failed("status ${answer.status}", connected = true)
        val text = readText(answer, MAXIMUM_REPORT_BYTES)
            ?: return ReportResult.Failed("report is incomplete or too long", connected = true)
        return try {
            ReportResult.Received(json.decodeFromString(serializer, text))
        } catch (failure: SerializationException) {
            ReportResult.Failed("report is not valid: ${failure.message?.lineSequence()?.first()}", connected = true)
        }
    }

    private suspend fun readText(answer: UnpooledExchange.Answered, maximumBytes: Int): String? =
        (answer.readFully(maximumBytes, options.reportMillis) as? BodyReadResult.Complete)?.text
}

private fun runHead(answer: UnpooledExchange.Answered) = RunHead(
    status = answer.status,
    requestId = answer.header(EngineHeaders.REQUEST_ID),
    servedModel = answer.header(EngineHeaders.SERVED_MODEL),
    incarnation = answer.header(EngineHeaders.INCARNATION)?.toLongOrNull(),
    headers = answer.headers,
    notice = answerNotice(answer.status, answer.headers, EngineHeaders.LEAVING),
)

/** The error code of an OpenAI-style body `{"error":{"code":...}}` or of a body with `code` at the top level. */
private fun errorCode(body: String): String? {
    val root = try {
        json.parseToJsonElement(body) as? JsonObject
    } catch (_: SerializationException) {
        null
    }
    val error = root?.get("error") as? JsonObject ?: root
    return (error?.get("code") as? JsonPrimitive)?.contentOrNull
}
