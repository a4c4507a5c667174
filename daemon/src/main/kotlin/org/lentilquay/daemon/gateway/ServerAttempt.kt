/*
 * One attempt to run a request on a backend server: sends it, judges the answer, and passes it on to the caller.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.ExchangeOptions
import org.lentilquay.transport.http.HttpConnectionPool
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.PooledExchange
import org.lentilquay.transport.http.PooledResponse
import org.lentilquay.transport.runSuspendCatching
import java.io.ByteArrayOutputStream

private const val MISDIRECTED = 421
private const val FIRST_SUCCESS = 200
private const val FIRST_REDIRECT = 300
private const val FIRST_SERVER_ERROR = 500
private const val HIGHEST_PRIORITY = 9

/** Bound on opening a connection; a backend server in the same region answers within a few milliseconds. */
private const val CONNECT_MILLIS = 400L

/** Silence after which a stream that can be resumed is continued elsewhere, in milliseconds. */
private const val STALLED_STREAM_MILLIS = 1_500L

/** Longest answer that is held until it is whole, in bytes. */
private const val MAXIMUM_HELD_BYTES = 8 shl 20

/** What one attempt led to, and what it says about the server. */
internal data class AttemptEnd(
    val result: AttemptResult,
    val outcome: ServerOutcome,
    val isAdapterMissing: Boolean = false,
)

internal class ServerAttempt(
    private val names: HeaderNames,
    private val servers: HttpConnectionPool,
    private val now: () -> Long,
    /** Called when the server begins to answer. */
    private val answering: (Target) -> Unit,
) {
    /**
     * Sends the request of [plan] to [target]. [mayRetry] tells whether a failure can be made good elsewhere; then a
     * failure of the server is not passed on. A stream that is [resumed] goes on in the answer that was begun.
     */
    suspend fun run(
        plan: RequestPlan,
        target: Target,
        writer: AnswerWriter,
        mayRetry: Boolean,
        resumed: String?,
    ): AttemptEnd {
        val remaining = plan.deadlineAt - now()
        val patience = if (mayRetry) minOf(remaining, answerPatience(plan)) else remaining
        val bounds = ExchangeOptions(minOf(CONNECT_MILLIS, remaining), patience, plan.id, names.requestId)
        val host = plan.request.head.header("Host").orEmpty()
        val message = HttpRequest(
            plan.request.head.method,
            plan.request.head.target,
            headers(plan, target, remaining, resumed),
            plan.request.body,
        )
        return when (val exchange = servers.send(target.server.address, host, message, bounds)) {
            is PooledExchange.NotWritten ->
                AttemptEnd(AttemptResult.NotRun(exchange.reason, hasArrived = false), ServerOutcome.UNREACHABLE)
            is PooledExchange.Lost -> lost(exchange.reason)
            is PooledExchange.Answered -> exchange.answer.use { judge(plan, target, it, writer, mayRetry, resumed) }
        }
    }

    private fun answerPatience(plan: RequestPlan): Long = plan.route.targetLatencyMillis * 2

    private fun headers(plan: RequestPlan, target: Target, remaining: Long, resumed: String?) = buildList {
        plan.request.head.forwarded(names.reserved).forEach { header ->
            val isReplaced = header.first.equals(names.deadline, ignoreCase = true) ||
                (resumed != null && header.first.equals(names.lastEventId, ignoreCase = true))
            if (!isReplaced) add(header)
        }
        add(names.deadline to remaining.toString())
        add(names.expectedServer to target.server.id.text)
        plan.access?.let { add(names.team to it.team.id.text) }
        if (plan.model != null) add(names.priority to plan.priority.coerceIn(0, HIGHEST_PRIORITY).toString())
        target.adapterVersion?.let { add(names.expectedVersion to it.toString()) }
        resumed?.let { add(names.lastEventId to it) }
    }

    private suspend fun judge(
        plan: RequestPlan,
        target: Target,
        answer: PooledResponse,
        writer: AnswerWriter,
        mayRetry: Boolean,
        resumed: String?,
    ): AttemptEnd {
        answering(target)
        val hasRefused = answer.status == MISDIRECTED || answer.header(names.notRun) != null
        val isSuccess = answer.status in FIRST_SUCCESS until FIRST_REDIRECT
        return when {
            hasRefused && !isSuccess -> refused(target, answer)
            answer.header(names.signature) == null || answer.header(names.requestId) != plan.id ->
                lost("answer ${answer.status} without proof of its origin")
            isSuccess && plan.route.kind == RouteKind.STREAM -> stream(plan, answer, writer, resumed)
            resumed != null ->
                AttemptEnd(AttemptResult.BrokenStream("status ${answer.status}", resumed), ServerOutcome.FAILED)
            else -> whole(plan, answer, writer, mayRetry)
        }
    }

    private fun lost(reason: String) = AttemptEnd(AttemptResult.Failed(reason), ServerOutcome.LOST)

    private suspend fun refused(target: Target, answer: PooledResponse): AttemptEnd {
        val other = answer.header(names.serverId)
        val isOther = answer.status == MISDIRECTED && other != null && other != target.server.id.text
        runSuspendCatching { if (readBody(answer, MAXIMUM_HELD_BYTES) != null) answer.releaseConnection() }
        val reason = if (isOther) "another process is at the address" else "status ${answer.status}"
        val outcome = when {
            isOther -> ServerOutcome.UNREACHABLE
            answer.status == MISDIRECTED -> ServerOutcome.UNKNOWN
            else -> ServerOutcome.FULL
        }
        val isAdapterMissing = answer.status == MISDIRECTED && !isOther
        return AttemptEnd(AttemptResult.NotRun(reason, hasArrived = true), outcome, isAdapterMissing)
    }

    private suspend fun whole(
        plan: RequestPlan,
        answer: PooledResponse,
        writer: AnswerWriter,
        mayRetry: Boolean,
    ): AttemptEnd {
        val read = runSuspendCatching {
            withTimeoutOrNull(plan.deadlineAt - now()) { readBody(answer, MAXIMUM_HELD_BYTES) }
        }
        val body = read.getOrNull()
        if (body == null) {
            val reason = read.exceptionOrNull()?.let { describe(it) } ?: "body is late or too long"
            return lost(reason)
        }
        answer.releaseConnection()
        val isFailure = answer.status >= FIRST_SERVER_ERROR
        val outcome = if (isFailure) ServerOutcome.FAILED else ServerOutcome.ANSWERED
        val headers = returned(answer)
        if (isFailure && mayRetry) {
            val failure = WholeAnswerFromServer(answer.status, headers, body)
            return AttemptEnd(AttemptResult.Failed("status ${answer.status}", failure), outcome)
        }
        writer.whole(answer.status, headers, body)
        return AttemptEnd(AttemptResult.Delivered(answer.status), outcome)
    }

    private suspend fun stream(
        plan: RequestPlan,
        answer: PooledResponse,
        writer: AnswerWriter,
        resumed: String?,
    ): AttemptEnd {
        val relay = EventRelay()
        val read = runSuspendCatching {
            var part = nextPart(plan, answer)
            while (part != null && !relay.isTooLong) {
                val bytes = part.bytes ?: return endOfStream(plan, answer, writer, relay)
                relay.next(bytes)?.let { pass(answer, writer, it) }
                part = nextPart(plan, answer)
            }
        }
        val reason = read.exceptionOrNull()?.let { describe(it) } ?: "no event in time"
        if (!writer.isStarted) return lost(reason)
        return AttemptEnd(AttemptResult.BrokenStream(reason, relay.lastEventId ?: resumed), ServerOutcome.LOST)
    }

    /** The next bytes of a stream; [bytes] is null at its end. */
    private class StreamPart(val bytes: ByteArray?)

    private suspend fun nextPart(plan: RequestPlan, answer: PooledResponse): StreamPart? {
        val remaining = plan.deadlineAt - now()
        val patience = if (plan.route.isResumable) minOf(remaining, STALLED_STREAM_MILLIS) else remaining
        return withTimeoutOrNull(patience) { StreamPart(answer.body.next()) }
    }

    private suspend fun pass(answer: PooledResponse, writer: AnswerWriter, events: ByteArray) {
        if (!writer.isStarted) writer.begin(answer.status, returned(answer))
        writer.part(events)
    }

    private suspend fun endOfStream(
        plan: RequestPlan,
        answer: PooledResponse,
        writer: AnswerWriter,
        relay: EventRelay,
    ): AttemptEnd {
        answer.releaseConnection()
        if (relay.isWithinEvent) pass(answer, writer, relay.remainder())
        if (!writer.isStarted) writer.begin(answer.status, returned(answer))
        writer.end()
        val firstMillis = writer.begunAt?.let { it - plan.request.arrivedAt }
        return AttemptEnd(AttemptResult.Delivered(answer.status, firstMillis), ServerOutcome.ANSWERED)
    }

    private fun returned(answer: PooledResponse) = answer.headers.filter { it.first.lowercase() !in CONNECTION_HEADERS }

    private suspend fun readBody(answer: PooledResponse, maximumBytes: Int): ByteArray? {
        val collected = ByteArrayOutputStream()
        while (true) {
            collected.write(answer.body.next() ?: return collected.toByteArray())
            if (collected.size() > maximumBytes) return null
        }
    }
}
