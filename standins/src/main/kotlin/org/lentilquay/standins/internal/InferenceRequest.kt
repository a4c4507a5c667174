/*
 * Requests for chat and text completion in the format of published engines, and the answers to them: one JSON document
 * or server-sent events.
 */
package org.lentilquay.standins.internal

import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonObjectBuilder
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.booleanOrNull
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.intOrNull
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import org.lentilquay.standins.DeterministicOutput
import org.lentilquay.standins.chatPrompt
import org.lentilquay.standins.promptTokens
import java.util.UUID

/** Default of `max_tokens`, as in the published interface. */
private const val DEFAULT_MAXIMUM_TOKENS = 16

internal data class InferenceRequest(
    val id: String,
    val isChat: Boolean,
    val model: String,
    val prompt: String,
    /** Limit of the complete answer, including tokens that another engine generated. */
    val maximumTokens: Int,
    val isStream: Boolean,
    /** Requests with a lower number run first. */
    val priority: Int,
    /** Index of the first token to generate; above 0 when the request continues a run of another engine. */
    val fromIndex: Int,
    val headers: Map<String, List<String>>,
    val body: String,
)

/** Parses a request; throws [IllegalArgumentException] if [body] is not a JSON object with a model. */
internal fun inferenceRequest(
    body: String,
    isChat: Boolean,
    id: String?,
    headers: Map<String, List<String>>,
): InferenceRequest {
    val fields = wireJson.parseToJsonElement(body).jsonObject
    return InferenceRequest(
        id = id ?: UUID.randomUUID().toString(),
        isChat = isChat,
        model = requireNotNull(fields.text("model")) { "no model" },
        prompt = if (isChat) fields.chatPrompt() else fields.prompt(),
        maximumTokens = fields.number("max_completion_tokens") ?: fields.number("max_tokens") ?: DEFAULT_MAXIMUM_TOKENS,
        isStream = (fields["stream"] as? JsonPrimitive)?.booleanOrNull == true,
        priority = fields.number("priority") ?: 0,
        fromIndex = (fields["continuation"] as? JsonObject)?.number("from_index") ?: 0,
        headers = headers,
        body = body,
    )
}

/** The chunk for the token at [index]; the last one carries the finish reason and the usage. */
internal fun Run.chunk(index: Int, isLast: Boolean): String {
    val isStray = index >= strayFromIndex
    val source = if (isStray) DeterministicOutput(identity.model, "other ${identity.prompt}") else output
    val content = if (index < totalTokens) source.token(index) else ""
    val reason = if (isLast) JsonPrimitive(finishReason) else JsonNull
    return buildJsonObject {
        head(this@chunk, if (request.isChat) "chat.completion.chunk" else "text_completion", isStray)
        put("index", index)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (request.isChat) putJsonObject("delta") { message(content) } else put("text", content)
                put("finish_reason", reason)
            }
        }
        if (isLast) put("usage", usage())
    }.toString()
}

/** The complete answer as one JSON document. */
internal fun Run.completeAnswer(): String {
    val content = output.text(request.fromIndex, totalTokens)
    return buildJsonObject {
        head(this@completeAnswer, if (request.isChat) "chat.completion" else "text_completion")
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                if (request.isChat) putJsonObject("message") { message(content) } else put("text", content)
                put("finish_reason", finishReason)
            }
        }
        put("usage", usage())
    }.toString()
}

private val Run.finishReason: String get() = if (isStoppedBySize) "stop" else "length"

private fun JsonObjectBuilder.head(run: Run, kind: String, isStray: Boolean = false) {
    put("id", if (isStray) "other-${run.identity.requestId}" else run.identity.requestId)
    put("object", kind)
    put("model", run.identity.model)
}

private fun JsonObjectBuilder.message(content: String) {
    put("role", "assistant")
    put("content", content)
}

private fun Run.usage(): JsonObject {
    val promptTokens = promptTokens(identity.prompt)
    return buildJsonObject {
        put("prompt_tokens", promptTokens)
        put("completion_tokens", totalTokens)
        put("total_tokens", promptTokens + totalTokens)
    }
}

private fun JsonObject.text(name: String): String? = (get(name) as? JsonPrimitive)?.contentOrNull

private fun JsonObject.number(name: String): Int? = (get(name) as? JsonPrimitive)?.intOrNull

private fun JsonObject.chatPrompt(): String = chatPrompt(get("messages") as? JsonArray ?: JsonArray(emptyList()))

private fun JsonObject.prompt(): String = when (val prompt: JsonElement? = get("prompt")) {
    is JsonArray -> prompt.joinToString("") { (it as? JsonPrimitive)?.content.orEmpty() }
    else -> text("prompt").orEmpty()
}
