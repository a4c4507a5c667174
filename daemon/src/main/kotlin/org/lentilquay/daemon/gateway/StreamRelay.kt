/*
 * Passes the stream of a backend server on to the caller in whole events. The stream ends if no event comes until the
 * deadline; the time counts from the last event, not from the last byte, so that a server which sends a byte now and
 * then does not hold its request for ever.
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

/** Longest time without an event, for callers that name no deadline. */
private const val MAXIMUM_EVENT_GAP_MILLIS = 30_000L

internal class StreamRelay(
    private val routed: RoutedRequest,
    private val answer: PooledResponse,
    private val writer: ResponseWriter,
    private val headers: List<Pair<String, String>>,
    private val options: AttemptOptions,
    private val onBegan: (RoutedRequest) -> Unit,
    private val now: () -> Long,
) {
    private val buffer = SseEventBuffer()
    private val watch = options.watch
    private var hasEvent = false
    private var hasBegun = false

    /** Whether the connection was closed because no event came in time. */
    @Volatile
    private var isOverdue = false

    /** Passes the stream on until it ends, breaks off or another attempt goes on in its place. */
    suspend fun passOn(): AttemptOutcome = coroutineScope {
        val deadline = launch { closeWhenOverdue() }
        try {
            val read = runSuspendCatching { relay() }
            read.getOrNull() ?: ended(read.exceptionOrNull()?.let { describe(it) } ?: "an event is too long")
        } finally {
            deadline.cancel()
        }
    }

    private suspend fun closeWhenOverdue() {
        while (!isOverdue) {
            val endsAt = minOf(routed.deadlineAt, watch.lastProgressAt + MAXIMUM_EVENT_GAP_MILLIS)
            if (now() < endsAt) delay(endsAt - now()) else isOverdue = true
        }
        answer.close()
    }

    /** Null if an event is too long or another attempt goes on. */
    private suspend fun relay(): AttemptOutcome? {
        while (!buffer.isTooLong) {
            val bytes = answer.body.next() ?: return end()
            buffer.append(bytes)?.let { events ->
                if (!hasBegun) onBegan(routed).also { hasBegun = true }
                val isPassed = watch.passOn(buffer.lastEventId) {
                    if (!hasEvent) options.onFirstEvent()
                    hasEvent = true
                    write(events)
                }
                if (!isPassed) return null
            }
        }
        return null
    }

    private suspend fun write(events: ByteArray) {
        if (!writer.isStarted) writer.startChunked(answer.status, headers)
        writer.writeChunk(events)
    }

    private suspend fun end(): AttemptOutcome? {
        if (buffer.isWithinEvent) throw EOFException("the stream ended inside an event")
        // Only a stream that is resumed may have nothing left to send.
        val mayBeEmpty = watch.resumeAfter != null || routed.isResumedByCaller
        if (!hasEvent && !mayBeEmpty) throw EOFException("the stream ended without an event")
        val isPassed = watch.passOn(lastEventId = null, isLast = true) {
            answer.releaseConnection()
            buffer.remainder().takeIf { it.isNotEmpty() }?.let { write(it) }
            if (!writer.isStarted) writer.startChunked(answer.status, headers)
            writer.endChunked()
        }
        if (!isPassed) return null
        val firstMillis = writer.startedAt?.let { it - routed.request.arrivedAt }
        return AttemptOutcome(AttemptResult.Delivered(answer.status, firstMillis), ServerOutcome.ANSWERED)
    }

    private fun ended(failure: String): AttemptOutcome {
        val reason = if (isOverdue) "no event for ${now() - watch.lastProgressAt} ms at its deadline" else failure
        val result = when {
            watch.isReplaced -> return supersededOutcome()
            writer.isStarted -> AttemptResult.BrokenStream(reason, buffer.lastEventId ?: watch.resumeAfter)
            else -> AttemptResult.Failed(reason)
        }
        return AttemptOutcome(result, ServerOutcome.LOST)
    }
}
