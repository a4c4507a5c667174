/*
 * Wire types of model engines: an OpenAI-compatible API with the load and unload calls for LoRA adapters that common
 * engines offer, a load report, and prefix cache events. Docs: docs/design.md, section 5.2.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** HTTP header names of the engine API. */
object EngineHeaders {
    const val REQUEST_ID: String = "X-Request-Id"
    const val SERVED_MODEL: String = "X-Served-Model"
    const val INCARNATION: String = "X-Incarnation"
    const val FENCING_TOKEN: String = "X-Fencing-Token"
    const val ENGINE_TIME: String = "X-Engine-Time-Ms"

    /** Set to 1 on all answers of a server that is about to stop. */
    const val LEAVING: String = "X-Leaving"
}

/** Body of `POST /v1/load_lora_adapter`. */
@Serializable
data class LoadAdapterOrder(
    @SerialName("lora_name") val name: String,
    @SerialName("lora_path") val path: String,
)

/** Body of `POST /v1/unload_lora_adapter`. */
@Serializable
data class UnloadAdapterOrder(@SerialName("lora_name") val name: String)

/** Body of `POST /v1/cancel`. */
@Serializable
data class CancelOrder(@SerialName("request_id") val requestId: String)

/** Body of `POST /v1/resume`: replays the chunks of [requestId] from [fromIndex], then continues the stream. */
@Serializable
data class ResumeOrder(
    @SerialName("request_id") val requestId: String,
    @SerialName("from_index") val fromIndex: Int,
)

/** The phase of an engine process. */
@Serializable
enum class EngineState {
    /** Started recently; it accepts fewer concurrent requests than a warm engine. */
    @SerialName("cold")
    COLD,

    @SerialName("warm")
    WARM,

    /** About to stop; it accepts no new requests. */
    @SerialName("leaving")
    LEAVING,
}

/** Response of `GET /load`. Times are in milliseconds of the engine's own clock. */
@Serializable
data class LoadReport(
    val incarnation: Long,
    @SerialName("as_of_ms") val asOfMillis: Long,
    val state: EngineState,
    /** Adapter slots of the engine. */
    val slots: Int,
    /** Engine names of the loaded adapters. */
    val loaded: List<String>,
    /** Requests in flight by engine name of the adapter. */
    val running: Map<String, Int>,
    /** The number of concurrent requests that the engine accepts. */
    @SerialName("max_in_flight") val maximumInFlight: Int,
)

/** A change of an engine's prefix cache. Sequence numbers rise and may have gaps. */
@Serializable
data class CacheEvent(
    val sequence: Long,
    val kind: CacheEventKind,
    @SerialName("prefix_hash") val prefixHash: Long,
)

/** Whether a prefix was added to the cache or evicted from it. */
@Serializable
enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("removed")
    REMOVED,
}

/** Response of `GET /cache_events`. */
@Serializable
data class CacheEvents(val incarnation: Long, val events: List<CacheEvent>)

/** Error codes of an engine that mean that the request was not executed. */
object EngineErrorCodes {
    const val ADAPTER_NOT_LOADED: String = "adapter_not_loaded"
    const val OVERLOADED: String = "engine_overloaded"
    const val STALE_FENCE: String = "stale_fencing_token"
    const val NO_FREE_SLOT: String = "no_free_slot"
    const val LOAD_FAILED: String = "load_failed"
}
