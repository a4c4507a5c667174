/*
 * Options, switches and records of the model engine stand-in. All times are milliseconds.
 */
package org.lentilquay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Sizes and timing of a model engine; the defaults follow docs/design.md, sections 1.4 and 1.5. */
data class EngineOptions(
    val port: Int = 0,
    val baseModel: String = "base",
    /** Adapters that the engine holds at once. */
    val slots: Int = 8,
    /** Requests in one batch. */
    val maximumInFlight: Int = 32,
    /** Requests that wait for a place in the batch; more are refused as overload. */
    val queueLimit: Int = 64,
    /** Requests in flight that a cold engine bears. */
    val coldInFlight: Int = 4,
    val coldMillis: Long = 2_000,
    /** How long the listener is closed after the engine fell over. */
    val downMillis: Long = 500,
    val firstTokenMillis: Long = 50,
    /** Time of one step of the batch when it has one request. */
    val tokenMillis: Double = 10.0,
    /** Part by which each further request in the batch lengthens the step. */
    val slowdownPerRequest: Double = 0.02,
    /** Bound on the answer in tokens, on top of the request's `max_tokens`; 0 for none. */
    val answerTokens: Int = 0,
    val loadMillis: Long = 250,
    /** Requests in flight up to which a load takes [loadMillis]; beyond, it takes longer in proportion. */
    val loadFullSpeedInFlight: Int = 16,
    /** Base address of the weight store, such as `http://127.0.0.1:8400`; null loads without a fetch. */
    val weightStore: String? = null,
    /** Whether orders with an old fencing number are refused. */
    val checksFencing: Boolean = true,
    /** Age of the state that load reports show. */
    val reportLagMillis: Long = 200,
    val cacheEventDelayMillis: Long = 300,
    /** Part of the cache events that is never reported. */
    val cacheEventLoss: Double = 0.05,
    /** Prefixes that the cache holds. */
    val cachedPrefixes: Int = 256,
    /** How long a stream without a connection goes on before it is cancelled. */
    val resumeMillis: Long = 5_000,
    /** A prompt that contains this text crashes the engine after its first token. */
    val crashMarker: String = "[crash-engine]",
    /** Shift of the engine's clock, so that a comparison with the clock of another machine shows as a fault. */
    val clockOffsetMillis: Long = 1_000_000,
    /** Whether records of runs keep the body of the request. */
    val logBodies: Boolean = false,
)

/** The index of the first chunk that [EngineControl.strayChunks] concerns. */
const val STRAY_CHUNK = 3

/** Body of `POST /control` of an engine; absent fields change nothing. */
@Serializable
data class EngineControl(
    /** Restarts at once: all runs are cut, and the new incarnation is empty and cold. */
    val restart: Boolean = false,
    /** The next this many loads fail. */
    @SerialName("fail_loads") val failLoads: Int? = null,
    /** The next this many requests run on, and are answered for, another model. */
    @SerialName("wrong_model") val wrongModel: Int? = null,
    /** The next this many requests get the answer to another request. */
    @SerialName("wrong_request_id") val wrongRequestId: Int? = null,
    /** The next this many streams have the right headers and, from [STRAY_CHUNK] on, chunks of another answer. */
    @SerialName("stray_chunks") val strayChunks: Int? = null,
    /** The next this many requests run, and their connections are cut before the answer headers. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    /** Delay of requests and orders before they take effect. */
    @SerialName("delay_ms") val delayMillis: Long? = null,
    val leaving: Boolean? = null,
    @SerialName("report_lag_ms") val reportLagMillis: Long? = null,
)

/** How far a run has come. */
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

    /** Ended by a restart, by falling over or by an unload of its adapter. */
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
    /** The model that the request ran on. It differs from [model] only when the engine was told to err. */
    @SerialName("served_model") val servedModel: String,
    @SerialName("prompt_hash") val promptHash: String,
    val headers: Map<String, List<String>>,
    val priority: Int,
    /** Index of the first token that this engine generated. */
    @SerialName("from_index") val fromIndex: Int,
    val tokens: Int,
    val stage: RunStage,
    val incarnation: Long,
    /** When the request was accepted, by the engine's clock. */
    @SerialName("accepted_ms") val acceptedMillis: Long,
    /** When the request entered the batch, by the engine's clock; null if it never did. */
    @SerialName("started_ms") val startedMillis: Long?,
    val body: String? = null,
)

/** Answer of `GET /runs` of an engine. */
@Serializable
data class EngineRuns(val incarnation: Long, val runs: List<EngineRun>, val counters: Map<String, Long>)
