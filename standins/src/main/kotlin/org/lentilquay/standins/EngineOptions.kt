/*
 * Options, switches and records of the model engine stand-in. All times are milliseconds.
 */
package org.lentilquay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Capacity and timing of a model engine; the defaults follow docs/design.md, sections 1.4 and 1.5. */
data class EngineOptions(
    val port: Int = 0,
    val baseModel: String = "base",
    /** Number of adapter slots. */
    val slots: Int = 8,
    /** Number of batch slots. */
    val maximumInFlight: Int = 32,
    /** Requests that may wait for a batch slot; further ones are refused as overload. */
    val queueLimit: Int = 64,
    /** Limit of requests in flight during a cold start; the engine crashes above it. */
    val coldInFlight: Int = 4,
    val coldMillis: Long = 2_000,
    /** How long the listener is closed after a crash. */
    val downMillis: Long = 500,
    val firstTokenMillis: Long = 50,
    /** Duration of a step of a batch with one request. */
    val tokenMillis: Double = 10.0,
    /** Fraction of [tokenMillis] by which each further request in the batch lengthens a step. */
    val slowdownPerRequest: Double = 0.02,
    /** Limit of tokens per answer, in addition to `max_tokens` of the request; 0 for none. */
    val answerTokens: Int = 0,
    val loadMillis: Long = 250,
    /** Requests in flight up to which a load takes [loadMillis]; with more, the duration grows in proportion. */
    val loadFullSpeedInFlight: Int = 16,
    /** Base address of the weight store, such as `http://127.0.0.1:8400`; null loads without a fetch. */
    val weightStore: String? = null,
    /** Whether orders with an old fencing number are refused. */
    val checksFencing: Boolean = true,
    /** Age of the state in load reports. */
    val reportLagMillis: Long = 200,
    val cacheEventDelayMillis: Long = 300,
    /** Fraction of the cache events that is never reported. */
    val cacheEventLoss: Double = 0.05,
    /** Capacity of the prefix cache, in prefixes. */
    val cachedPrefixes: Int = 256,
    /** How long a run without a connection continues before it is cancelled. */
    val resumeMillis: Long = 5_000,
    /** A prompt that contains this text crashes the engine after its first token. */
    val crashMarker: String = "[crash-engine]",
    /** Offset of the engine's clock, so that code that compares it with the clock of another machine fails. */
    val clockOffsetMillis: Long = 1_000_000,
    /** Whether the records of runs keep request bodies. */
    val logBodies: Boolean = false,
)

/** Index of the first wrong chunk of a stream that [EngineControl.strayChunks] affects. */
const val STRAY_CHUNK = 3

/** Body of `POST /control` of an engine; absent fields leave their switch unchanged. */
@Serializable
data class EngineControl(
    /** Restarts immediately: all runs are cut, and the new incarnation is empty and cold. */
    val restart: Boolean = false,
    /** Number of loads to fail from now on. */
    @SerialName("fail_loads") val failLoads: Int? = null,
    /** Number of requests that run on, and are answered for, another model. */
    @SerialName("wrong_model") val wrongModel: Int? = null,
    /** Number of requests that get the answer to another request. */
    @SerialName("wrong_request_id") val wrongRequestId: Int? = null,
    /** Number of streams that have the right headers but, from [STRAY_CHUNK] on, chunks of another answer. */
    @SerialName("stray_chunks") val strayChunks: Int? = null,
    /** Number of requests that run but whose connections are closed before the response headers. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    /** Delay of requests and orders before they take effect. */
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** Whether all answers say that the engine is leaving. */
    val leaving: Boolean? = null,
    /** `Retry-After` of refusals for want of a place in the batch, as it is sent; empty for none. */
    @SerialName("retry_after") val retryAfter: String? = null,
    @SerialName("report_lag_ms") val reportLagMillis: Long? = null,
)

/** Stage of a run; [FINISHED] and all later ones are final. */
@Serializable
enum class RunStage {
    @SerialName("queued")
    QUEUED,

    @SerialName("running")
    RUNNING,

    @SerialName("finished")
    FINISHED,

    @SerialName("cancelled")
    CANCELLED,

    /** Ended by a restart, by a crash or by an unload of its adapter. */
    @SerialName("cut")
    CUT,
    ;

    val isOver: Boolean get() = this >= FINISHED
}

/** One request that an engine accepted. */
@Serializable
data class EngineRun(
    @SerialName("request_id") val requestId: String,
    /** The model that the request named. */
    val model: String,
    /** The model that the request ran on. It differs from [model] only by [EngineControl.wrongModel]. */
    @SerialName("served_model") val servedModel: String,
    @SerialName("prompt_hash") val promptHash: String,
    val headers: Map<String, List<String>>,
    val priority: Int,
    /** Index of the first token that this engine generated. */
    @SerialName("from_index") val fromIndex: Int,
    val tokens: Int,
    val stage: RunStage,
    val incarnation: Long,
    /** Time at which the request was accepted, by the engine's clock. */
    @SerialName("accepted_ms") val acceptedMillis: Long,
    /** Time at which the request entered the batch, by the engine's clock; null if it never did. */
    @SerialName("started_ms") val startedMillis: Long?,
    val body: String? = null,
)

/** Response of `GET /runs` of an engine. */
@Serializable
data class EngineRuns(val incarnation: Long, val runs: List<EngineRun>, val counters: Map<String, Long>)
