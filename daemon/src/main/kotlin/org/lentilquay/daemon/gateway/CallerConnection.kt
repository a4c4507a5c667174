/*
 * One connection of a caller: reads its requests one after the other, passes each to a handler while watching whether
 * the caller disconnects, and writes the responses. A planned stop closes kept connections only between two requests.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import org.lentilquay.coordination.callers.ConnectionStage
import org.lentilquay.coordination.callers.ConnectionState
import org.lentilquay.daemon.logs.warning
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.MAXIMUM_LATE_BYTES
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.RequestHead
import org.lentilquay.transport.http.RequestHeadResult
import org.lentilquay.transport.http.readRequestHead
import org.lentilquay.transport.runSuspendCatching

private val log = KotlinLogging.logger {}

/**
 * Bytes of a head that the limit of the configuration does not count: method, version, line breaks, and empty lines
 * before the request.
 */
private const val HEAD_OVERHEAD_BYTES = 1_024

/** Time that a caller has to receive the last response before the connection is closed. */
private const val LINGER_MILLIS = 1_000L

/** Bytes beyond the body of a request that are discarded when its connection ends. */
private const val MAXIMUM_UNREAD_BYTES = 64L shl 10

/** How long a connection must have been idle before a planned stop closes it. */
private const val IDLE_BEFORE_STOP_MILLIS = 400L

/** Longest time for which a caller may send the body of a request. */
private const val MAXIMUM_BODY_MILLIS = 60_000L

/** Limits that apply until the first configuration has been read. */
@Suppress("MagicNumber") // The numbers are named by the parameters.
private val DEFAULT_LIMITS =
    CallerLimits(headerBytes = 16_384, bodyBytes = 4 shl 20, headerTimeoutMillis = 3_000, idleTimeoutMillis = 15_000)

/** Handles one request and writes its response to a [ResponseWriter]. */
internal fun interface CallerHandler {
    suspend fun handle(request: CallerRequest, writer: ResponseWriter)

    /** The response to a request that was refused before it had been read. */
    fun render(failure: Failure): RenderedFailure = renderText(failure)
}

internal class CallerConnection(
    private val connection: TcpConnection,
    private val handler: CallerHandler,
    private val limits: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val now: () -> Long,
    private val bodies: RequestBodyBudget,
    private val refusals: CallerRefusals = CallerRefusals(now),
    private val maximumBodyMillis: Long = MAXIMUM_BODY_MILLIS,
) {
    /** What happens on this connection now. */
    @Volatile
    var state = ConnectionState(ConnectionStage.IDLE, now())
        private set

    /** Whether a request is being read or handled. */
    val isBusy: Boolean get() = state.stage != ConnectionStage.IDLE

    /** Whether the last response was written completely. */
    private var isAnswered = false

    /** The writer of the response that is being handled. */
    @Volatile
    private var writer: ResponseWriter? = null

    /** The handling of the present request. */
    @Volatile
    private var work: Job? = null

    /** When the connection was accepted, or the last response on it was written. */
    @Volatile
    private var idleSince = now()

    /** The [idleSince] of the wait that a planned stop ends, so that a later wait goes on; null if there is none. */
    @Volatile
    private var stoppedIdleSince: Long? = null

    private val isIdleStopped: Boolean get() = stoppedIdleSince == idleSince

    /** Whether a planned stop began during the last response, whose head could not say that the connection closes. */
    private val isStoppedAfterResponse: Boolean get() = isAnswered && isStopping()

    /** What ends if the part of a request that is being read does not arrive in time; null if none is being read. */
    private var reading: CloseReason? = null

    /** Requests that were read on this connection. */
    @Volatile
    private var requests = 0

    /** Bytes that the caller may still send after its refusal; they are discarded so that it can read the response. */
    private var unreadBytes = MAXIMUM_UNREAD_BYTES

    suspend fun serve() = connection.use {
        while (serveNext()) Unit
        enter(ConnectionStage.ENDING)
        if (isAnswered) connection.finish(LINGER_MILLIS, unreadBytes)
    }

    /** Closes this connection at once, to make room for another one. */
    fun closeForRoom() {
        enter(ConnectionStage.ENDING)
        connection.endOutputIfIdle()
        connection.close()
    }

    /**
     * Ends the wait for a request, unless one has arrived. A connection that was accepted or used just now stays open,
     * because the next request may be under way.
     */
    fun closeIfIdle() {
        val since = idleSince
        if (isBusy || now() - since < IDLE_BEFORE_STOP_MILLIS) return
        stoppedIdleSince = since
        connection.input.reviewLimits()
    }

    /**
     * Closes the connection if its caller has taken no data for [maximumMillis], because the request would keep its
     * place at the backend server. Call it periodically, which costs less than a timer for each write.
     */
    fun closeIfStalled(maximumMillis: Long) {
        if ((writer?.stalledMillis() ?: 0) > maximumMillis) connection.close()
    }

    /** Cancels the request that is being handled, because the time of a planned stop has passed. */
    fun endRequest() {
        work?.cancel(StopEndedException())
    }

    private suspend fun serveNext(): Boolean {
        val limitsBefore = presentLimits()
        idleSince = now()
        enter(ConnectionStage.IDLE)
        if (!awaitRequest(limitsBefore)) return false
        val current = limitsBefore.largerOf(presentLimits())
        enter(ConnectionStage.READING_HEAD)
        reading = CloseReason.HEAD_TIME
        val writer = ResponseWriter(connection.output, now) { !isStopping() }.also { this.writer = it }
        return runSuspendCatching {
            val read = connection.input.within({ current.headerTimeoutMillis }) {
                readRequestHead(connection.input, current.headerBytes + HEAD_OVERHEAD_BYTES)
            }
            when (read) {
                is RequestHeadResult.Ended -> false.also { reportIncomplete() }
                is RequestHeadResult.TooLong -> refuse(writer, headTooLong(current.headerBytes))
                is RequestHeadResult.Malformed -> refuse(writer, malformed())
                is RequestHeadResult.Read -> answerHead(read.head, current, writer)
            }
        }.getOrElse { failure -> answerFailure(failure, writer) }
    }

    private suspend fun answerHead(read: RequestHead, limits: CallerLimits, writer: ResponseWriter): Boolean {
        writer.requestMethod = read.method
        return when (val head = callerHead(read, limits.headerBytes)) {
            is HeadResult.Malformed -> refuse(writer, head.failure)
            is HeadResult.Read -> answer(head, limits, writer)
        }
    }

    /** Answers a request that failed with [failure], unless its answer has begun or the connection has failed. */
    private suspend fun answerFailure(failure: Throwable, writer: ResponseWriter): Boolean = when {
        writer.isStarted -> false
        failure is InputTimeoutException && reading != null -> refuseLate(writer, failure)
        failure is IOException && !isOpen() -> false.also { reportIncomplete() }
        failure is IOException && reading != null -> refuse(writer, malformed())
        else -> {
            log.warning("request failed unexpectedly", "reason" to describe(failure), cause = failure)
            refuse(writer, Failure(ErrorKind.INTERNAL, "the request failed with an internal error"))
        }
    }

    /** Waits for the first byte of the next request. */
    private suspend fun awaitRequest(limitsBefore: CallerLimits): Boolean = runSuspendCatching {
        val idleMillis = {
            if (isIdleStopped || isStoppedAfterResponse) 0 else limitsBefore.largerOf(presentLimits()).idleTimeoutMillis
        }
        connection.input.within(idleMillis) { connection.input.awaitContent() }
    }.getOrElse { failure ->
        when {
            failure !is InputTimeoutException -> false
            // A request can arrive between the end of the wait and the close.
            !connection.endOutputIfIdle() && connection.input.unreadBytes() > 0 -> true
            else -> false.also { reportIdleClose(failure) }
        }
    }

    private fun enter(stage: ConnectionStage) {
        state = ConnectionState(stage, now())
    }

    private fun reportIdleClose(timeout: InputTimeoutException) =
        if (isStopping()) reportClose(CloseReason.PLANNED_STOP) else reportClose(CloseReason.IDLE_LIMIT, timeout)

    private fun presentLimits(): CallerLimits = limits() ?: DEFAULT_LIMITS

    /** Whether neither side has closed the connection and it has not failed. */
    private fun isOpen(): Boolean = !connection.input.isClosedForRead && !connection.output.isClosedForWrite

    /** Logs that the caller has closed the connection within a request. */
    private fun reportIncomplete() {
        if (reading != null) reportClose(CloseReason.CALLER_ENDED)
    }

    /** Logs that this side closes the connection without an answer, because of [timeout] if it is not null. */
    private fun reportClose(reason: CloseReason, timeout: InputTimeoutException? = null) =
        CallerClose(
            reason = reason,
            idleMillis = now() - idleSince,
            limitMillis = timeout?.limitMillis,
            lateMillis = timeout?.lateMillis,
            presentIdleLimitMillis = presentLimits().idleTimeoutMillis,
            receivedBytes = connection.input.unreadBytes(),
            requests = requests,
        ).let(refusals::closed)

    private suspend fun answer(head: HeadResult.Read, limits: CallerLimits, writer: ResponseWriter): Boolean {
        isAnswered = false
        val arrivedAt = now()
        requests++
        if (head.head.headerValues("Expect").any { it.equals("100-continue", ignoreCase = true) }) {
            connection.output.writeFully("HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray())
            connection.output.flush()
        }
        val length = (head.framing as? BodyFraming.Length)?.bytes
        bodies.Reservation(length) { connection.input.reviewLimits() }.use { memory ->
            reading = CloseReason.BODY_TIME
            enter(ConnectionStage.READING_BODY)
            unreadBytes = minOf(length ?: Long.MAX_VALUE, limits.bodyBytes.toLong()) + MAXIMUM_UNREAD_BYTES
            val body = connection.input.within({ maximumBodyMillis }, limits.bodyBytes + MAXIMUM_LATE_BYTES) {
                readRequestBody(connection.input, head.framing, limits, memory, ::enter)
            }
            reading = null
            enter(ConnectionStage.HANDLING)
            when (body) {
                is RequestBodyResult.Refused -> return refuse(writer, body.failure)
                is RequestBodyResult.Read ->
                    cancelOnDisconnect {
                        handler.handle(CallerRequest(head.head, body.bytes, arrivedAt, requests), writer)
                    }
            }
        }
        isAnswered = writer.isEnded
        if (!writer.isStarted && isOpen()) {
            reportClose(if (isStopping()) CloseReason.STOP_ENDED else CloseReason.NO_RESPONSE)
            return refuse(writer, Failure(ErrorKind.INTERNAL, "the request ended without a response"))
        }
        return writer.isReusable && !head.head.isClosing
    }

    /**
     * Runs [block], and cancels it when the caller closes the connection. It begins before the caller is watched, so
     * that a response that needs no wait reaches a caller that ends its output with the request.
     */
    private suspend fun cancelOnDisconnect(block: suspend () -> Unit) = coroutineScope {
        val work = launch(start = CoroutineStart.UNDISPATCHED) { block() }
        this@CallerConnection.work = work
        val watch = launch {
            val content = runSuspendCatching { connection.input.awaitContent() }
            if (!content.getOrDefault(false)) work.cancel(CallerDisconnected(content.exceptionOrNull()))
        }
        work.join()
        this@CallerConnection.work = null
        watch.cancel()
    }

    /** Rejects a malformed request. The connection is then closed, because the start of the next one is not known. */
    private suspend fun refuse(writer: ResponseWriter, failure: Failure): Boolean {
        if (failure.kind != ErrorKind.INTERNAL) refusals.refused(failure, requests)
        writer.closeAfterResponse()
        writer.respondFailure(failure, handler.render(failure))
        isAnswered = true
        return false
    }

    /** Refuses a request that was not read to its end, so it has not run, and its caller may send it again at once. */
    private suspend fun refuseLate(writer: ResponseWriter, timeout: InputTimeoutException): Boolean {
        reading?.let { reportClose(it, timeout) }
        val message = "the request did not arrive within ${timeout.limitMillis} ms"
        return refuse(writer, Failure(ErrorKind.REQUEST_TIMEOUT, message, retryAfterMillis = 0))
    }

    private fun malformed() = Failure(ErrorKind.MALFORMED_REQUEST, "the request is not valid HTTP")
}
