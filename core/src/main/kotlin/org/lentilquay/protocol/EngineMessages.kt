/*
 * The wire types of model engines: an OpenAI-compatible interface with load and unload orders for LoRA adapters as
 * common engines publish it, a load report and cache events. Docs: docs/design.md, section 5.2.
 */
package org.lentilquay.protocol

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Header names of the engine interface. */
object EngineHeaders {
    const val REQUEST_ID: String = "X-Request-Id"
    const val SERVED_MODEL: String = "X-Served-Model"
    const val INCARNATION: String = "X-Incarnation"
    const val FENCING_TOKEN: String = "X-Fencing-Token"
    const val ENGINE_TIME: String = "X-Engine-Time-Ms"
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

/** Body of `POST /v1/resume`: sends again the chunks of [requestId] from [fromIndex] on, then goes on. */
@Serializable
data class ResumeOrder(
    @SerialName("request_id") val requestId: String,
    @SerialName("from_index") val fromIndex: Int,
)

/** Whether an engine is warm. */
@Serializable
enum class EngineState {
    @SerialName("cold")
    COLD,

    @SerialName("warm")
    WARM,

    @SerialName("leaving")
    LEAVING,
}

/** Answer of `GET /load`. All times are of the engine's own clock. */
@Serializable
data class LoadReport(
    val incarnation: Long,
    @SerialName("as_of_ms") val asOfMillis: Long,
    val state: EngineState,
    val slots: Int,
    val loaded: List<String>,
    /** Requests in flight by engine name of the adapter. */
    val running: Map<String, Int>,
    @SerialName("max_in_flight") val maximumInFlight: Int,
)

/** One event of `GET /cache_events`; sequence numbers may have gaps. */
@Serializable
data class CacheEvent(
    val sequence: Long,
    val kind: CacheEventKind,
    @SerialName("prefix_hash") val prefixHash: Long,
)

/** Whether a prefix entered or left an engine's cache. */
@Serializable
enum class CacheEventKind {
    @SerialName("stored")
    STORED,

    @SerialName("removed")
    REMOVED,
}

/** Answer of `GET /cache_events`. */
@Serializable
data class CacheEvents(val incarnation: Long, val events: List<CacheEvent>)

/** Codes in the error body by which an engine says that a request did not run. */
object EngineErrorCodes {
    const val ADAPTER_NOT_LOADED: String = "adapter_not_loaded"
    const val OVERLOADED: String = "engine_overloaded"
    const val STALE_FENCE: String = "stale_fencing_token"
    const val NO_FREE_SLOT: String = "no_free_slot"
    const val LOAD_FAILED: String = "load_failed"
}
