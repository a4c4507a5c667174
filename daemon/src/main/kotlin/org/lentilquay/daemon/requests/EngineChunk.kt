/*
 * One event of an engine's stream, read and checked against the request it must belong to. The position is part of the
 * check: a repeated chunk is dropped and a missing one makes the stream unusable, so that a caller gets each part of
 * the answer once and in order even when a stream is resumed.
 */
package org.lentilquay.daemon.requests

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Token counts that an engine reports at the end of a run. */
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

/** The fields of a chunk that the relay needs. */
@Serializable
data class EngineChunk(
    val id: String,
    val model: String? = null,
    val index: Int? = null,
    val choices: List<ChunkChoice> = emptyList(),
    val usage: Usage? = null,
) {
    /** The text that the chunk adds to the answer. */
    val text: String get() = choices.firstOrNull()?.let { it.delta?.content ?: it.text }.orEmpty()

    val finishReason: String? get() = choices.firstOrNull()?.finishReason
}

/** How a chunk relates to the part of the answer that was already delivered. */
sealed interface ChunkCheck {
    data class Next(val chunk: EngineChunk) : ChunkCheck

    data object Repeated : ChunkCheck

    data class Wrong(val reason: String) : ChunkCheck
}

/** Reads [data] and checks that it is chunk [expectedIndex] of the answer of [requestId]. */
fun checkChunk(data: String, requestId: String, model: String, expectedIndex: Int): ChunkCheck {
    val chunk = try {
        chunkJson.decodeFromString<EngineChunk>(data)
    } catch (fault: SerializationException) {
        return ChunkCheck.Wrong("a chunk is not valid: ${fault.message?.lineSequence()?.first()}")
    }
    val index = chunk.index
    return when {
        chunk.id != requestId -> ChunkCheck.Wrong("a chunk belongs to another request")
        chunk.model != null && chunk.model != model -> ChunkCheck.Wrong("a chunk comes from model ${chunk.model}")
        index == null || index == expectedIndex -> ChunkCheck.Next(chunk)
        index < expectedIndex -> ChunkCheck.Repeated
        else -> ChunkCheck.Wrong("chunks $expectedIndex to ${index - 1} are missing")
    }
}

private val chunkJson = Json { ignoreUnknownKeys = true }
