/*
 * Results of calls to backend servers. They state exactly what is known about the request: no byte of it was written,
 * the server itself reported that it did not run, or it may have run. Only in the first two cases may the caller get an
 * error that says "not run". Docs: docs/design.md, sections 4.8 and 5.2.
 */
package org.lentilquay.transport.engine

import org.lentilquay.protocol.CacheEvents
import org.lentilquay.protocol.LoadReport
import org.lentilquay.transport.http.AnswerNotice
import org.lentilquay.transport.http.BodyReadResult

/** The result of an order to an engine. Engine times are in milliseconds of the engine's own clock. */
sealed interface OrderResult {
    /** The engine carried out the order. */
    data class Done(val engineTimeMillis: Long?) : OrderResult

    /** The engine rejected the order because it has seen a later fencing number. */
    data class StaleFence(val engineTimeMillis: Long?) : OrderResult

    /** The engine rejected the order or failed to execute it; [code] is its error code, if it sent one. */
    data class Rejected(val status: Int, val code: String?, val engineTimeMillis: Long?) : OrderResult

    /** No byte of the order was written. */
    data class NotWritten(val reason: String) : OrderResult

    /** The order may or may not have taken effect. */
    data class OutcomeUnknown(val reason: String) : OrderResult
}

/** The result of requesting a report from an engine. */
sealed interface ReportResult<out T> {
    data class Received<T>(val report: T) : ReportResult<T>

    /** [connected] is false if no connection to the engine could be opened. */
    data class Failed(val reason: String, val connected: Boolean) : ReportResult<Nothing>
}

typealias LoadReportResult = ReportResult<LoadReport>
typealias CacheEventsResult = ReportResult<CacheEvents>

/** Status and headers of an engine's response to a run. */
data class RunHead(
    val status: Int,
    val requestId: String?,
    val servedModel: String?,
    val incarnation: Long?,
    val headers: List<Pair<String, String>>,
    /** What the head says of the engine itself, or null. */
    val notice: AnswerNotice? = null,
)

/** The result of starting a run on an engine. */
sealed interface EngineRunResult {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : EngineRunResult

    /** The engine reported that the adapter is not loaded; the request did not run. */
    data class NotLoaded(val head: RunHead) : EngineRunResult

    /** The engine reported that it has no capacity; the request did not run. */
    data class Overloaded(val head: RunHead) : EngineRunResult

    /** Any other status than 200; it is unknown whether the request ran. [body] is empty if it could not be read. */
    data class WrongStatus(val head: RunHead, val code: String?, val body: String) : EngineRunResult

    /** The connection failed after it was opened and before the response headers; the request may have run. */
    data class LostBeforeHeaders(val reason: String) : EngineRunResult

    /** The engine accepted the request. The caller must close [run], even after reading it to the end. */
    class Accepted(val head: RunHead, val run: EngineRun) : EngineRunResult
}

/** The result of reading the next event of a stream of server-sent events. */
sealed interface StreamStep {
    /** The data of one event. */
    data class Event(val data: String) : StreamStep

    /** The engine completed the stream with `[DONE]`. */
    data object Done : StreamStep

    /** The stream failed after [events] events and before `[DONE]`. */
    data class Lost(val events: Long, val reason: LossReason, val detail: String) : StreamStep
}

/** Why a stream failed. */
enum class LossReason {
    CONNECTION_LOST,

    /** The response ended properly, but without `[DONE]`. */
    ENDED_EARLY,

    /** No event was received within the idle timeout. */
    IDLE,

    /** An event exceeded the maximum length. */
    EVENT_TOO_LARGE,
}

/** The body of an accepted run. Read it either with [next] or with [readFully], from one coroutine at a time. */
interface EngineRun : AutoCloseable {
    /** The next event. After [StreamStep.Done] or [StreamStep.Lost], every call returns the same step. */
    suspend fun next(): StreamStep

    /** Reads the whole body of a response that is not a stream. */
    suspend fun readFully(maximumBytes: Int): BodyReadResult

    /** Closes the connection to the engine. This does not cancel the run; use [EngineClient.cancel] for that. */
    override fun close()
}

/** The result of a call to a plain service. */
sealed interface ServiceCallResult {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : ServiceCallResult

    /** The connection failed after it was opened and before the response headers; the call may have run. */
    data class LostAfterWriting(val reason: String) : ServiceCallResult

    /** The service responded. The caller must close [body], even after reading it to the end. */
    class Answered(
        val status: Int,
        val headers: List<Pair<String, String>>,
        val body: ServiceBody,
        /** The incarnation of the process that answered, or null if it sent none. */
        val incarnation: Long? = null,
        /** What the head says of the service itself, or null. */
        val notice: AnswerNotice? = null,
    ) : ServiceCallResult
}

/** The result of reading the next bytes of a service's response body. */
sealed interface BodyStep {
    class Bytes(val bytes: ByteArray) : BodyStep

    data object End : BodyStep

    /** The body was truncated. */
    data class Lost(val reason: String) : BodyStep
}

/** The body of a service's response. Read it either with [next] or with [readFully], from one coroutine at a time. */
interface ServiceBody : AutoCloseable {
    /** The next bytes, as soon as they are received. */
    suspend fun next(): BodyStep

    suspend fun readFully(maximumBytes: Int): BodyReadResult

    override fun close()
}
