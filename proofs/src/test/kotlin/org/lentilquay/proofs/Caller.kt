/*
 * A caller of the system: sends inference requests and service calls to one VM and keeps what came back. The whole
 * answer of a request can be compared with what the engine stand-in generates for its prompt.
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
import java.util.concurrent.atomic.AtomicInteger

private val json = Json { ignoreUnknownKeys = true }
private val threads = Executors.newCachedThreadPool { task -> Thread(task).apply { isDaemon = true } }
private const val CUT = "cut"

/** One inference request. [adapter] is the engine's name of the adapter version that must answer it. */
data class Ask(
    val route: String,
    val prompt: String,
    val adapter: String = "$route-adapter@1",
    val tokens: Int = 8,
    val key: String? = KEY,
    val stream: Boolean = true,
    val headers: Map<String, String> = emptyMap(),
    /** The whole body in place of the one that is made from the fields. */
    val body: String? = null,
) {
    val enginePrompt: String get() = "user: $prompt"
}

/**
 * What a caller got; [text] is the answer or the error's message. [code] is null for a whole answer, and `cut` if the
 * connection ended without a reason.
 */
data class Answer(val status: Int, val code: String?, val run: String?, val text: String, val isWhole: Boolean) {
    fun isRightFor(ask: Ask): Boolean =
        status == 200 && isWhole && text == expectedAnswer(ask.adapter, ask.enginePrompt, ask.tokens)

    /** The normalised form for session records. */
    override fun toString(): String = "$status ${code ?: "answered"} ${run ?: ""}".trim()
}

/** A request under way. [parts] counts the parts of the answer that have come so far. */
class Pending(val ask: Ask) {
    val parts = AtomicInteger()
    val answer = CompletableFuture<Answer>()

    @Volatile
    var body: InputStream? = null

    /** Leaves without waiting for the rest. */
    fun leave() = quietly { body?.close() }

    fun await(): Answer = answer.get(60, java.util.concurrent.TimeUnit.SECONDS)
}

class Caller(private val http: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()) {
    /** Starts a request at [vm]; [pauseMillis] is waited after each line, as a slow caller does. */
    fun begin(vm: Vm, ask: Ask, pauseMillis: Long = 0): Pending {
        val pending = Pending(ask)
        threads.execute {
            pending.answer.complete(
                try {
                    infer(vm, ask, pending, pauseMillis)
                } catch (failure: IOException) {
                    Answer(0, CUT, null, failure.javaClass.simpleName, isWhole = false)
                },
            )
        }
        return pending
    }

    fun ask(vm: Vm, ask: Ask): Answer = begin(vm, ask).await()

    /** Calls a plain service; [idempotencyKey] null sends none. */
    fun call(
        vm: Vm,
        path: String,
        idempotencyKey: String?,
        reference: String?,
        key: String? = KEY,
        headers: Map<String, String> = emptyMap(),
    ): Answer = try {
        val request = request(vm, "/services/$path", key, headers)
        idempotencyKey?.let { request.header("Idempotency-Key", it) }
        val body = reference?.let { HttpRequest.BodyPublishers.ofString("""{"reference":"$it"}""") }
        if (body == null) request.GET() else request.POST(body)
        val answer = http.send(request.build(), HttpResponse.BodyHandlers.ofString())
        val error = if (answer.statusCode() < 300) null else errorOf(answer.body())
        Answer(answer.statusCode(), error?.code, error?.run, answer.body(), isWhole = true)
    } catch (failure: IOException) {
        Answer(0, CUT, null, failure.javaClass.simpleName, isWhole = false)
    }

    fun callLater(vm: Vm, path: String, idempotencyKey: String?, reference: String): CompletableFuture<Answer> =
        CompletableFuture.supplyAsync({ call(vm, path, idempotencyKey, reference) }, threads)

    private fun infer(vm: Vm, ask: Ask, pending: Pending, pauseMillis: Long): Answer {
        val request = request(vm, "/v1/chat/completions", ask.key, ask.headers)
            .POST(HttpRequest.BodyPublishers.ofString(ask.body ?: bodyOf(ask)))
        val answer = http.send(request.build(), HttpResponse.BodyHandlers.ofInputStream())
        pending.body = answer.body()
        return when {
            answer.statusCode() != 200 -> {
                val error = errorOf(answer.body().readBytes().decodeToString())
                Answer(answer.statusCode(), error?.code, error?.run, error?.message.orEmpty(), isWhole = false)
            }
            ask.stream -> readStream(answer.body(), pending, pauseMillis)
            else -> {
                val text = textOf(answer.body().readBytes().decodeToString(), "message")
                Answer(200, null, null, text, isWhole = true)
            }
        }
    }

    private fun readStream(body: InputStream, pending: Pending, pauseMillis: Long): Answer {
        val text = StringBuilder()
        try {
            body.bufferedReader().useLines { lines ->
                lines.filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }.forEach { data ->
                    if (data == "[DONE]") return Answer(200, null, null, text.toString(), isWhole = true)
                    errorOf(data)?.let { return Answer(200, it.code, it.run, it.message, isWhole = false) }
                    text.append(textOf(data, "delta"))
                    pending.parts.incrementAndGet()
                    if (pauseMillis > 0) Thread.sleep(pauseMillis)
                }
            }
        } catch (@Suppress("SwallowedException") ended: IOException) {
            return Answer(200, CUT, null, text.toString(), isWhole = false)
        }
        return Answer(200, CUT, null, text.toString(), isWhole = false)
    }

    private fun request(vm: Vm, path: String, key: String?, headers: Map<String, String>): HttpRequest.Builder =
        HttpRequest.newBuilder(URI("http://127.0.0.1:${vm.callerPort}$path"))
            .timeout(Duration.ofSeconds(60))
            .header("Content-Type", "application/json")
            .apply { if (key != null) header("Authorization", "Bearer $key") }
            .apply { headers.forEach(::header) }
}

private fun bodyOf(ask: Ask): String = buildJsonObject {
    put("model", ask.route)
    put("stream", ask.stream)
    put("max_tokens", ask.tokens)
    putJsonArray("messages") {
        addJsonObject {
            put("role", "user")
            put("content", ask.prompt)
        }
    }
}.toString()

private fun textOf(data: String, field: String): String {
    val choice = json.parseToJsonElement(data).jsonObject["choices"]?.jsonArray?.firstOrNull()?.jsonObject
    return ((choice?.get(field) as? JsonObject)?.get("content") as? JsonPrimitive)?.contentOrNull.orEmpty()
}

/** The error that [body] describes, or null if it describes none. */
internal fun errorOf(body: String): ErrorDetail? =
    runCatching { json.decodeFromString<ErrorBody>(body).error }.getOrNull()

internal fun sha256(text: String): String =
    HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(text.toByteArray()))
