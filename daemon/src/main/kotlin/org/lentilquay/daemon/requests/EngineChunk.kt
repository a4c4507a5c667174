/*
 * Decodes one event of an engine's stream and checks that it belongs to the request. The check includes the position: a
 * repeated chunk is dropped and a missing one makes the stream invalid, so that a caller gets each part of the response
 * once and in order, also when a stream is resumed.
 */
package org.lentilquay.daemon.requests

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** The token counts that an engine reports at the end of a run. */
@Serializable
data class Usage(
    @SerialName("prompt_tokens") val promptTokens: Long = 0,
    @SerialName("completion_tokens") val completionTokens: Long = 0,
) {
    val totalTokens: Long get() = promptTokens + completionTokens
}

@Serializable
data class ChunkDelta(val content: String? = null)

@Serializable
data class ChunkChoice(
    val delta: ChunkDelta? = null,
    val text: String? = null,
    @SerialName("finish_reason") val finishReason: String? = null,
)

/** The fields of a chunk that the daemon reads. */
@Serializable
data class EngineChunk(
    val id: String,
    val model: String? = null,
    val index: Int? = null,
    val choices: List<ChunkChoice> = emptyList(),
    val usage: Usage? = null,
) {
    /** The text that the chunk adds to the response. */
    val text: String get() = choices.firstOrNull()?.let { it.delta?.content ?: it.text }.orEmpty()

    val finishReason: String? get() = choices.firstOrNull()?.finishReason
}

/** The result of checking a chunk against the chunks that were delivered before. */
sealed interface ChunkCheck {
    data class Next(val chunk: EngineChunk) : ChunkCheck

    data object Duplicate : ChunkCheck

    data class Invalid(val reason: String) : ChunkCheck
}

/** Decodes [data] and checks that it is chunk [expectedIndex] of the response to [requestId] by [model]. */
fun checkChunk(data: String, requestId: String, model: String, expectedIndex: Int): ChunkCheck {
    val chunk = try {
        chunkJson.decodeFromString<EngineChunk>(data)
    } catch (exception: SerializationException) {
        return ChunkCheck.Invalid("a chunk is not valid: ${exception.message?.lineSequence()?.first()}")
    }
    val index = chunk.index
    return when {
        chunk.id != requestId -> ChunkCheck.Invalid("a chunk belongs to another request")
        chunk.model != null && chunk.model != model -> ChunkCheck.Invalid("a chunk comes from model ${chunk.model}")
        index == null || index == expectedIndex -> ChunkCheck.Next(chunk)
        index < expectedIndex -> ChunkCheck.Duplicate
        else -> ChunkCheck.Invalid("chunks $expectedIndex to ${index - 1} are missing")
    }
}

private val chunkJson = Json { ignoreUnknownKeys = true }
