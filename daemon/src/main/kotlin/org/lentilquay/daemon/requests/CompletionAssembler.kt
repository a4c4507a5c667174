/*
 * Assembles the chunks of a stream into the single response for callers that do not stream.
 */
package org.lentilquay.daemon.requests

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Collects the chunks of one response in order. */
class CompletionAssembler(private val form: InferenceForm, private val requestId: String, private val model: String) {
    private val text = StringBuilder()
    private var finishReason: String? = null
    private var usage = Usage()

    fun add(chunk: EngineChunk) {
        text.append(chunk.text)
        chunk.finishReason?.let { finishReason = it }
        chunk.usage?.let { usage = it }
    }

    /** The response in the form that the caller asked for. */
    fun toJson(createdEpochSeconds: Long): JsonObject = buildJsonObject {
        put("id", requestId)
        put("object", form.answerObject)
        put("created", createdEpochSeconds)
        put("model", model)
        putJsonArray("choices") {
            addJsonObject {
                put("index", 0)
                putText()
                put("finish_reason", finishReason ?: "stop")
            }
        }
        putJsonObject("usage") {
            put("prompt_tokens", usage.promptTokens)
            put("completion_tokens", usage.completionTokens)
            put("total_tokens", usage.totalTokens)
        }
    }

    private fun kotlinx.serialization.json.JsonObjectBuilder.putText() = when (form) {
        InferenceForm.COMPLETION -> put("text", text.toString())
        InferenceForm.CHAT -> putJsonObject("message") {
            put("role", "assistant")
            put("content", text.toString())
        }
    }
}
