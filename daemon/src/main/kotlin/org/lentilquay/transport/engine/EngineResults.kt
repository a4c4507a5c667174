/*
 * What a call to a backend server can lead to. The types say exactly what is known about the request: whether no byte
 * of it was written, whether the server itself said that it did not run it, or whether it may have run. Only the first
 * two allow an error that says "not run". Docs: docs/design.md, sections 4.8 and 5.2.
 */
package org.lentilquay.transport.engine

import org.lentilquay.protocol.CacheEvents
import org.lentilquay.protocol.LoadReport
import org.lentilquay.transport.http.BodyReadResult

/** How an order to an engine ended. Engine times are in milliseconds of the engine's own clock. */
sealed interface OrderResult {
    /** The engine carried out the order. */
    data class Done(val engineTimeMillis: Long?) : OrderResult

    /** The engine refused the order because it knows a later fencing number. */
    data class StaleFence(val engineTimeMillis: Long?) : OrderResult

    /** The engine refused or failed the order; [code] is one of its error codes, if it gave one. */
    data class Rejected(val status: Int, val code: String?, val engineTimeMillis: Long?) : OrderResult

    /** No byte of the order was written. */
    data class NotWritten(val reason: String) : OrderResult

    /** The order may or may not have taken effect. */
    data class OutcomeUnknown(val reason: String) : OrderResult
}

/** The outcome of asking an engine for a report. */
sealed interface ReportResult<out T> {
    data class Received<T>(val report: T) : ReportResult<T>

    /** [connected] is false when the engine could not be reached at all. */
    data class Failed(val reason: String, val connected: Boolean) : ReportResult<Nothing>
}

typealias LoadReportResult = ReportResult<LoadReport>
typealias CacheEventsResult = ReportResult<CacheEvents>

/** What an engine said about a run in its answer headers. */
data class RunHead(
    val status: Int,
    val requestId: String?,
    val servedModel: String?,
    val incarnation: Long?,
    val headers: List<Pair<String, String>>,
)

/** How opening a run on an engine went. */
sealed interface EngineRunResult {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : EngineRunResult

    /** The engine says that the adapter is not loaded; the request did not run. */
    data class NotLoaded(val head: RunHead) : EngineRunResult

    /** The engine says that it has no room; the request did not run. */
    data class Overloaded(val head: RunHead) : EngineRunResult

    /** Another status than 200; it is unknown whether the request ran. [body] is cut at a bound. */
    data class WrongStatus(val head: RunHead, val code: String?, val body: String) : EngineRunResult

    /** The connection was lost after it stood and before the answer headers came; the request may have run. */
    data class LostBeforeHeaders(val reason: String) : EngineRunResult

    /** The engine accepted the request. The caller must close [run], also after reading it to the end. */
    class Accepted(val head: RunHead, val run: EngineRun) : EngineRunResult
}

/** One step of a stream of server-sent events. */
sealed interface StreamStep {
    /** The data of one event. */
    data class Event(val data: String) : StreamStep

    /** The engine ended the stream with `[DONE]`. */
    data object Done : StreamStep

    /** The stream broke after [events] events and before `[DONE]`. */
    data class Lost(val events: Long, val reason: LossReason, val detail: String) : StreamStep
}

/** Why a stream broke. */
enum class LossReason {
    CONNECTION_LOST,

    /** The connection ended in order, but without `[DONE]`. */
    ENDED_EARLY,

    /** No event came within the idle bound. */
    IDLE,

    /** An event was longer than the bound. */
    EVENT_TOO_LARGE,
}

/** The body of an accepted run. Read it either with [next] or with [readFully], from one coroutine at a time. */
interface EngineRun : AutoCloseable {
    /** The next event; after [StreamStep.Done] or [StreamStep.Lost] the same step again. */
    suspend fun next(): StreamStep

    /** The whole body of an answer that is not a stream. */
    suspend fun readFully(maximumBytes: Int): BodyReadResult

    /** Cuts the connection to the engine. Closing before the end does not cancel the run; order that separately. */
    override fun close()
}

/** How a call to a plain service went. */
sealed interface ServiceCallResult {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : ServiceCallResult

    /** The connection was lost after it stood and before the answer headers came; the call may have run. */
    data class LostAfterWriting(val reason: String) : ServiceCallResult

    /** The service answered. The caller must close [body], also after reading it to the end. */
    class Answered(val status: Int, val headers: List<Pair<String, String>>, val body: ServiceBody) : ServiceCallResult
}

/** One step of the body of a service's answer. */
sealed interface BodyStep {
    class Bytes(val bytes: ByteArray) : BodyStep

    data object End : BodyStep

    /** The body broke off before its end. */
    data class Lost(val reason: String) : BodyStep
}

/** The body of a service's answer. Read it either with [next] or with [readFully], from one coroutine at a time. */
interface ServiceBody : AutoCloseable {
    /** The next bytes as they arrive. */
    suspend fun next(): BodyStep

    suspend fun readFully(maximumBytes: Int): BodyReadResult

    override fun close()
}
