/*
 * A client of the callers' API: sends inference requests and calls to plain services to one VM. The complete answer of
 * an inference request can be compared with the deterministic output of the engine stand-in for its prompt.
 */
package org.lentilquay.proofs

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lentilquay.protocol.ErrorBody
import org.lentilquay.protocol.ErrorDetail
import org.lentilquay.standins.expectedAnswer
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.security.MessageDigest
import java.time.Duration
import java.util.HexFormat
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

private val json = Json { ignoreUnknownKeys = true }
private val executor = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
private const val CONNECTION_CUT = "cut"

/** One inference request. [adapter] is the adapter version, as the engine names it, that must generate the answer. */
data class CallerRequest(
    val route: String,
    val prompt: String,
    val adapter: String = "$route-adapter@1",
    val tokens: Int = 8,
    val key: String? = KEY,
    val stream: Boolean = true,
    val headers: Map<String, String> = emptyMap(),
    /** Request body to send instead of the one built from the other fields. */
    val body: String? = null,
) {
    /** The prompt as the engine builds it from the chat messages. */
    val enginePrompt: String get() = "user: $prompt"
}

/**
 * The response that a caller received. [text] is the answer or the message of the error. [code] is null for a complete
 * answer, and `cut` if the connection ended without an error. [run] says whether a backend server ran a refused
 * request.
 */
data class CallerResponse(
    val status: Int,
    val code: String?,
    val run: String?,
    val text: String,
    val isComplete: Boolean,
) {
    fun isCorrectFor(request: CallerRequest): Boolean =
        status == 200 && isComplete && text == expectedAnswer(request.adapter, request.enginePrompt, request.tokens)

    /** The normalized form that stands in session records. */
    override fun toString(): String = "$status ${code ?: "answered"} ${run ?: ""}".trim()
}

/** A request in progress. [chunks] counts the chunks of the answer that have been received so far. */
class PendingRequest(val request: CallerRequest) {
    val chunks = AtomicInteger()
    val response = CompletableFuture<CallerResponse>()

    @Volatile
    var body: InputStream? = null

    /** Closes the response stream before its end, as a caller that goes away does. */
    fun disconnect() = ignoringIoErrors { body?.close() }

    fun await(): CallerResponse = response.get(60, TimeUnit.SECONDS)
}

class Caller(private val http: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
    /** Starts a request at [vm]. A slow caller waits [pauseMillis] after each chunk. */
    fun start(vm: Vm, request: CallerRequest, pauseMillis: Long = 0): PendingRequest {
        val pending = PendingRequest(request)
        executor.execute {
            pending.response.complete(
                try {
                    sendInference(vm, request, pending, pauseMillis)
                } catch (failure: IOException) {
                    CallerResponse(0, CONNECTION_CUT, null, failure.javaClass.simpleName, isComplete = false)
                },
            )
        }
        return pending
    }

    /** Sends a request to [vm] and waits for the response. */
    fun send(vm: Vm, request: CallerRequest): CallerResponse = start(vm, request).await()

    /** Calls a plain service; without [reference] by GET. No idempotency key is sent if [idempotencyKey] is null. */
    fun callService(
        vm: Vm,
        path: String,
        idempotencyKey: String?,
        reference: String?,
        key: String? = KEY,
        headers: Map<String, String> = emptyMap(),
    ): CallerResponse = try {
        val builder = newRequest(vm, "/services/$path", key, headers)
        idempotencyKey?.let { builder.header("Idempotency-Key", it) }
        val body = reference?.let { HttpRequest.BodyPublishers.ofString("""{"reference":"$it"}""") }
        if (body == null) builder.GET() else builder.POST(body)
        val response = http.send(builder.build(), HttpResponse.BodyHandlers.ofString())
        val error = if (response.statusCode() < 300) null else errorOf(response.body())
        CallerResponse(response.statusCode(), error?.code, error?.run, response.body(), isComplete = true)
    } catch (failure: IOException) {
        CallerResponse(0, CONNECTION_CUT, null, failure.javaClass.simpleName, isComplete = false)
    }

    fun callServiceAsync(
        vm: Vm,
        path: String,
        idempotencyKey: String?,
        reference: String,
    ): CompletableFuture<CallerResponse> =
        CompletableFuture.supplyAsync({ callService(vm, path, idempotencyKey, reference) }, executor)

    private fun sendInference(
        vm: Vm,
        request: CallerRequest,
        pending: PendingRequest,
        pauseMillis: Long,
    ): CallerResponse {
        val builder = newRequest(vm, "/v1/chat/completions", request.key, request.headers)
            .POST(HttpRequest.BodyPublishers.ofString(request.body ?: bodyOf(request)))
        val response = http.send(builder.build(), HttpResponse.BodyHandlers.ofInputStream())
        pending.body = response.body()
        return when {
            response.statusCode() != 200 -> {
                val error = errorOf(response.body().readBytes().decodeToString())
                CallerResponse(
                    response.statusCode(),
                    error?.code,
                    error?.run,
                    error?.message.orEmpty(),
                    isComplete = false,
                )
            }
            request.stream -> readStream(response.body(), pending, pauseMillis)
            else -> {
                val text = contentOf(response.body().readBytes().decodeToString(), "message")
                CallerResponse(200, null, null, text, isComplete = true)
            }
        }
    }

    private fun readStream(body: InputStream, pending: PendingRequest, pauseMillis: Long): CallerResponse {
        val text = StringBuilder()
        try {
            body.bufferedReader().useLines { lines ->
                lines.filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }.forEach { data ->
                    if (data == "[DONE]") return CallerResponse(200, null, null, text.toString(), isComplete = true)
                    errorOf(data)?.let { return CallerResponse(200, it.code, it.run, it.message, isComplete = false) }
                    text.append(contentOf(data, "delta"))
                    pending.chunks.incrementAndGet()
                    if (pauseMillis > 0) Thread.sleep(pauseMillis)
                }
            }
        } catch (@Suppress("SwallowedException") ended: IOException) {
            return CallerResponse(200, CONNECTION_CUT, null, text.toString(), isComplete = false)
        }
        return CallerResponse(200, CONNECTION_CUT, null, text.toString(), isComplete = false)
    }

    private fun newRequest(vm: Vm, path: String, key: String?, headers: Map<String, String>): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://127.0.0.1:${vm.callerPort}$path"))
            .timeout(Duration.ofSeconds(60))
            .header("Content-Type", "application/json")
            .apply { if (key != null) header("Authorization", "Bearer $key") }
            .apply { headers.forEach(::header) }
}

private fun bodyOf(request: CallerRequest): String = buildJsonObject {
    put("model", request.route)
    put("stream", request.stream)
    put("max_tokens", request.tokens)
    putJsonArray("messages") {
        addJsonObject {
            put("role", "user")
            put("content", request.prompt)
        }
    }
}.toString()

private fun contentOf(data: String, field: String): String {
    val choice = json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject
    return ((choice?.get(field) as? JsonObject)?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
}

/** The error in [body], or null if [body] is not an error body. */
internal fun errorOf(body: String): ErrorDetail? =
    runCatching { json.decodeFromString<ErrorBody>(body).error }.getOrNull()

internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
