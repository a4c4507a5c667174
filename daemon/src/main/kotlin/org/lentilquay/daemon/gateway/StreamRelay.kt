/*
 * Passes the stream of a backend server on to the caller in whole events. A watchdog measures the time since the last
 * event, not since the last byte, so that a server which sends a byte now and then still counts as stalled. Time in
 * which the caller takes no data does not count. A slow stream is left only once another server has reserved a place
 * for it; otherwise it goes on, because a sound server may pause.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.io.EOFException
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.PooledResponse
import org.lentilquay.transport.runSuspendCatching

/** Time without an event after which a resumable stream is resumed at another backend server, if that is possible. */
private const val STREAM_STALL_MILLIS = 1_500L

/** Longest time without an event, for callers that name no deadline. */
private const val MAXIMUM_EVENT_GAP_MILLIS = 30_000L

/** How a stream is resumed, and what is told of its progress. */
internal class StreamProgress(
    /** The id of the last event that the caller has, if the stream is resumed. */
    val resumeAfter: String?,
    /** Called when the server has sent the first event. */
    val onFirstEvent: () -> Unit,
    /**
     * Whether the stream may be left for another server, where it reserves a place. The argument tells whether the
     * stream is still stalled once that server is found.
     */
    val tryMove: suspend (isStalled: () -> Boolean) -> Boolean,
)

internal class StreamRelay(
    private val routed: RoutedRequest,
    private val answer: PooledResponse,
    private val writer: ResponseWriter,
    private val headers: List<Pair<String, String>>,
    private val progress: StreamProgress,
    private val now: () -> Long,
) {
    private val buffer = SseEventBuffer()
    private var hasEvent = false

    /** When the last whole event was received, or the head of the answer. */
    @Volatile
    private var lastEventAt = now()

    /** Why the watchdog has closed the connection, or null. */
    @Volatile
    private var abandonedFor: String? = null

    /** Passes the stream on until it ends or breaks off. */
    suspend fun passOn(): AttemptOutcome = coroutineScope {
        val watchdog = launch { abandonWhenStalled() }
        try {
            val read = runSuspendCatching { relay() }
            read.getOrNull() ?: brokenOff(read.exceptionOrNull()?.let { describe(it) } ?: "an event is too long")
        } finally {
            watchdog.cancel()
        }
    }

    private suspend fun abandonWhenStalled() {
        var refusedAt = Long.MIN_VALUE
        while (abandonedFor == null) {
            val stalledAt = maxOf(lastProgressAt(), refusedAt) + STREAM_STALL_MILLIS
            val silentAt = lastProgressAt() + MAXIMUM_EVENT_GAP_MILLIS
            val endsAt = minOf(routed.deadlineAt, silentAt)
            val dueAt = if (routed.route.isResumable) minOf(stalledAt, endsAt) else endsAt
            when {
                now() < dueAt -> delay(dueAt - now())
                now() >= endsAt -> abandonedFor = "no event in time"
                progress.tryMove(::isStalled) -> abandonedFor = "no event for $STREAM_STALL_MILLIS ms"
                else -> refusedAt = now()
            }
        }
        answer.close()
    }

    /** When the server last made progress, as far as this VM can tell while its caller takes no data. */
    private fun lastProgressAt(): Long = if (writer.isWriting) now() else lastEventAt

    private fun isStalled(): Boolean = now() - lastProgressAt() >= STREAM_STALL_MILLIS

    /** Null if an event is too long. */
    private suspend fun relay(): AttemptOutcome? {
        while (!buffer.isTooLong) {
            val bytes = answer.body.next() ?: return end()
            buffer.append(bytes)?.let { events ->
                lastEventAt = now()
                if (!hasEvent) progress.onFirstEvent()
                hasEvent = true
                passOn(events)
            }
        }
        return null
    }

    private suspend fun passOn(events: ByteArray) {
        if (!writer.isStarted) writer.startChunked(answer.status, headers)
        writer.writeChunk(events)
        lastEventAt = now()
    }

    private suspend fun end(): AttemptOutcome {
        if (buffer.isWithinEvent) throw EOFException("the stream ended inside an event")
        // Only a stream that is resumed may have nothing left to send.
        val mayBeEmpty = progress.resumeAfter != null || routed.isResumedByCaller
        if (!hasEvent && !mayBeEmpty) throw EOFException("the stream ended without an event")
        answer.releaseConnection()
        buffer.remainder().takeIf { it.isNotEmpty() }?.let { passOn(it) }
        if (!writer.isStarted) writer.startChunked(answer.status, headers)
        writer.endChunked()
        val firstMillis = writer.startedAt?.let { it - routed.request.arrivedAt }
        return AttemptOutcome(AttemptResult.Delivered(answer.status, firstMillis), ServerOutcome.ANSWERED)
    }

    private fun brokenOff(failure: String): AttemptOutcome {
        val reason = abandonedFor ?: failure
        val result = if (writer.isStarted) {
            AttemptResult.BrokenStream(reason, buffer.lastEventId ?: progress.resumeAfter)
        } else {
            AttemptResult.Failed(reason)
        }
        return AttemptOutcome(result, ServerOutcome.LOST)
    }
}
