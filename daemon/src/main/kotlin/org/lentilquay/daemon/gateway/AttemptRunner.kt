/*
 * Runs one attempt of a request: sends it to a backend server, classifies the response, and passes it on to the caller.
 * Another attempt may run beside a slow one; the first of both that has something to pass on goes on.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.distinctUntilChanged
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.gateway.Departure
import org.lentilquay.coordination.gateway.ServerOutcome
import org.lentilquay.coordination.gateway.departureOf
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.AnswerNotice
import org.lentilquay.transport.http.ExchangeOptions
import org.lentilquay.transport.http.HttpConnectionPool
import org.lentilquay.transport.http.HttpRequest
import org.lentilquay.transport.http.PooledExchange
import org.lentilquay.transport.http.PooledResponse
import org.lentilquay.transport.http.answerNotice
import org.lentilquay.transport.http.contentLength
import org.lentilquay.transport.http.hasResponseBody
import org.lentilquay.transport.runSuspendCatching
import java.io.ByteArrayOutputStream

private const val MISDIRECTED_STATUS = 421
private const val FIRST_SUCCESS_STATUS = 200
private const val FIRST_REDIRECT_STATUS = 300
private const val FIRST_SERVER_ERROR_STATUS = 500
private const val MAXIMUM_PRIORITY = 9

/** A backend server in the same region accepts a connection within a few milliseconds. */
private const val CONNECT_TIMEOUT_MILLIS = 400L

/** Time without an event after which another server is asked to resume a stream, beside the slow one. */
private const val EVENT_WAIT_MILLIS = 1_500L

/** Shortest time before the end of a server that leaves at which its streams are resumed elsewhere. */
private const val MINIMUM_LEAD_MILLIS = 1_500L

/** The body of a refusal is read no further than this; it has one line. */
private const val MAXIMUM_REFUSAL_BYTES = 16 shl 10

/** Time for the body of a refusal, which normally arrives with its head. */
private const val REFUSAL_BODY_MILLIS = 100L

/** Longest response body that is buffered until it is complete. */
private const val MAXIMUM_BUFFERED_BYTES = 4 shl 20

/** Whether [status] is that of a successful response. */
internal fun isSuccess(status: Int): Boolean = status in FIRST_SUCCESS_STATUS until FIRST_REDIRECT_STATUS

/** The result of one attempt for the request, and its outcome for the health of the server. */
internal data class AttemptOutcome(
    val result: AttemptResult,
    val serverOutcome: ServerOutcome,
    val isAdapterMissing: Boolean = false,
)

/** The outcome of an attempt whose place another one has taken; it says nothing about the server. */
internal fun supersededOutcome() =
    AttemptOutcome(AttemptResult.Superseded("another attempt goes on"), ServerOutcome.UNKNOWN)

internal class AttemptRunner(
    private val headerNames: HeaderNames,
    private val servers: HttpConnectionPool,
    private val now: () -> Long,
    /** Called when a request began to run at a server, for each server at which it did. */
    private val onBegan: (RoutedRequest) -> Unit = {},
    /** The servers that leave at short notice. */
    private val departures: StateFlow<Map<ServerId, Departure>> = MutableStateFlow(emptyMap()),
    /** Called when the server has sent the head of a response, with what that says of the server. */
    private val onResponse: (AttemptTarget, AnswerNotice?) -> Unit,
) {
    private val bodies = BodyBudget()

    /**
     * Sends the request of [routed] to [target] and passes its response on, unless another attempt that is made beside
     * it goes on in its place. The events of a stream that is resumed continue the response that was started.
     */
    suspend fun run(
        routed: RoutedRequest,
        target: AttemptTarget,
        writer: ResponseWriter,
        options: AttemptOptions,
    ): AttemptOutcome {
        if (!options.mayRetry) return exchange(routed, target, writer, options)
        options.watch.watchFor(headWaitMillis(routed))
        return coroutineScope {
            val work = async { exchange(routed, target, writer, options) }
            val replacement = launch {
                options.watch.awaitReplacement()
                work.cancel()
            }
            val departure = launch { watchDeparture(routed, target, options.watch) }
            try {
                work.await()
            } catch (cancelled: CancellationException) {
                ensureActive()
                if (!options.watch.isReplaced) throw cancelled
                // Unless it leaves, the server was silent until another one had answered.
                if (options.watch.isLeaving) {
                    supersededOutcome()
                } else {
                    supersededOutcome().copy(serverOutcome = ServerOutcome.LOST)
                }
            } finally {
                replacement.cancel()
                departure.cancel()
            }
        }
    }

    /** Has a stream that may be resumed go on elsewhere before its server is gone. */
    private suspend fun watchDeparture(routed: RoutedRequest, target: AttemptTarget, watch: AttemptWatch) {
        if (routed.route.kind != RouteKind.STREAM || !routed.route.isResumable) return
        val leadMillis = maxOf(routed.route.targetLatencyMillis * 2, MINIMUM_LEAD_MILLIS)
        departures.map { departureOf(it, target.server)?.endsAt }.distinctUntilChanged().collect { endsAt ->
            watch.leaveAt(endsAt?.let { it - leadMillis })
        }
    }

    private suspend fun exchange(
        routed: RoutedRequest,
        target: AttemptTarget,
        writer: ResponseWriter,
        options: AttemptOptions,
    ): AttemptOutcome {
        val remaining = routed.deadlineAt - now()
        val exchangeOptions = ExchangeOptions(
            minOf(CONNECT_TIMEOUT_MILLIS, remaining),
            remaining,
            routed.id,
            headerNames.requestId,
            usedConnections = routed.usedConnections,
        )
        val host = routed.request.head.header("Host").orEmpty()
        val message = HttpRequest(
            routed.request.head.method,
            routed.request.head.target,
            headers(routed, target, remaining, options.watch.resumeAfter),
            routed.request.body,
        )
        return when (val exchange = servers.send(target.server.address, host, message, exchangeOptions)) {
            is PooledExchange.NotWritten ->
                AttemptOutcome(AttemptResult.NotRun(exchange.reason, hasArrived = false), ServerOutcome.UNREACHABLE)
            is PooledExchange.Lost -> lost(exchange.reason)
            is PooledExchange.Answered -> exchange.answer.use { process(routed, target, it, writer, options) }
        }
    }

    /** How long an attempt waits for a response before another server is asked as well. */
    private fun headWaitMillis(routed: RoutedRequest): Long = routed.route.targetLatencyMillis * 2

    private fun headers(
        routed: RoutedRequest,
        target: AttemptTarget,
        remaining: Long,
        resumeAfter: String?,
    ) = buildList {
        routed.request.head.forwarded(headerNames.reserved).forEach { header ->
            val isReplaced = header.first.equals(headerNames.deadline, ignoreCase = true) ||
                (resumeAfter != null && header.first.equals(headerNames.lastEventId, ignoreCase = true))
            if (!isReplaced) add(header)
        }
        add(headerNames.deadline to remaining.toString())
        add(headerNames.expectedServer to target.server.id.text)
        routed.access?.let { add(headerNames.team to it.team.id.text) }
        if (routed.model != null) add(headerNames.priority to routed.priority.coerceIn(0, MAXIMUM_PRIORITY).toString())
        target.adapterVersion?.let { add(headerNames.expectedVersion to it.toString()) }
        resumeAfter?.let { add(headerNames.lastEventId to it) }
    }

    private suspend fun process(
        routed: RoutedRequest,
        target: AttemptTarget,
        answer: PooledResponse,
        writer: ResponseWriter,
        options: AttemptOptions,
    ): AttemptOutcome {
        val resumeAfter = options.watch.resumeAfter
        val isRefusal = answer.status == MISDIRECTED_STATUS || answer.header(headerNames.notRun) != null
        // A server may repeat the refusal of another request, so one without the id says nothing about this request.
        val isOwn = answer.header(headerNames.requestId) == routed.id
        val isSuccess = isSuccess(answer.status)
        val mayNotice = isOwn && !isFromOther(target, answer)
        onResponse(target, if (mayNotice) answerNotice(answer.status, answer.headers, headerNames.leaving) else null)
        return when {
            isRefusal && isOwn && !isSuccess -> refused(routed, target, answer)
            answer.header(headerNames.signature) == null || !isOwn ->
                lost("response ${answer.status} lacks a server signature or the id of this request")
            isSuccess && routed.route.kind == RouteKind.STREAM && hasBody(routed, answer) ->
                passOnStream(routed, answer, writer, options)
            resumeAfter != null -> AttemptOutcome(
                AttemptResult.BrokenStream("status ${answer.status}", resumeAfter),
                ServerOutcome.FAILED,
            )
            else -> passOnWhole(routed, answer, writer, options)
        }
    }

    private fun hasBody(routed: RoutedRequest, answer: PooledResponse) =
        hasResponseBody(routed.request.head.method, answer.status)

    private fun lost(reason: String) = AttemptOutcome(AttemptResult.Failed(reason), ServerOutcome.LOST)

    /** Whether [answer] is that of another server process, which has taken over the address of [target]. */
    private fun isFromOther(target: AttemptTarget, answer: PooledResponse): Boolean {
        val other = answer.header(headerNames.serverId)
        return answer.status == MISDIRECTED_STATUS && other != null && other != target.server.id.text
    }

    private suspend fun refused(routed: RoutedRequest, target: AttemptTarget, answer: PooledResponse): AttemptOutcome {
        val isOther = isFromOther(target, answer)
        val maximumWait = minOf(routed.deadlineAt - now(), REFUSAL_BODY_MILLIS)
        runSuspendCatching { withTimeoutOrNull(maximumWait) { skipRefusalBody(answer) } }
        val reason = if (isOther) "another server process has the address" else "status ${answer.status}"
        val outcome = when {
            isOther -> ServerOutcome.UNREACHABLE
            answer.status == MISDIRECTED_STATUS -> ServerOutcome.UNKNOWN
            else -> ServerOutcome.FULL
        }
        val isAdapterMissing = answer.status == MISDIRECTED_STATUS && !isOther
        return AttemptOutcome(AttemptResult.NotRun(reason, hasArrived = true), outcome, isAdapterMissing)
    }

    /** Reads the body of a refusal, so that its connection can be reused; after a long one, it is closed. */
    private suspend fun skipRefusalBody(answer: PooledResponse) {
        var size = 0
        var part = answer.body.next()
        while (part != null && size <= MAXIMUM_REFUSAL_BYTES) {
            size += part.size
            part = answer.body.next()
        }
        if (part == null) answer.releaseConnection()
    }

    private suspend fun passOnStream(
        routed: RoutedRequest,
        answer: PooledResponse,
        writer: ResponseWriter,
        options: AttemptOptions,
    ): AttemptOutcome {
        options.watch.watchFor(EVENT_WAIT_MILLIS)
        return StreamRelay(routed, answer, writer, forwardedHeaders(answer), options, onBegan, now).passOn()
    }

    private suspend fun passOnWhole(
        routed: RoutedRequest,
        answer: PooledResponse,
        writer: ResponseWriter,
        options: AttemptOptions,
    ): AttemptOutcome {
        // A stream has begun to run only with its first event.
        if (routed.route.kind != RouteKind.STREAM) onBegan(routed)
        options.watch.watchFor(null)
        // Two engines must not generate the same response for long, so the head of one ends the attempt at the other.
        val isGenerating = routed.model != null && isSuccess(answer.status)
        if (isGenerating && !options.watch.claim()) return supersededOutcome()
        return bodies.Reservation().use { passOnBuffered(routed, answer, writer, options, it) }
    }

    private suspend fun passOnBuffered(
        routed: RoutedRequest,
        answer: PooledResponse,
        writer: ResponseWriter,
        options: AttemptOptions,
        memory: BodyBudget.Reservation,
    ): AttemptOutcome {
        val read = runSuspendCatching {
            answer.body.within(routed.deadlineAt - now()) { readBody(answer, memory) }
        }
        val body = read.getOrNull() ?: return lost(bodyLoss(read.exceptionOrNull()))
        answer.releaseConnection()
        val isFailure = answer.status >= FIRST_SERVER_ERROR_STATUS
        val outcome = if (isFailure) ServerOutcome.FAILED else ServerOutcome.ANSWERED
        val headers = forwardedHeaders(answer)
        val statedLength = if (hasBody(routed, answer)) body.size.toLong() else contentLength(answer.contentLengths)
        if (isFailure && options.mayRetry) {
            // A long body is not kept beyond its reservation.
            val failure =
                BufferedResponse(answer.status, headers, body, statedLength)
                    .takeIf { body.size <= UNCOUNTED_BODY_BYTES }
            return AttemptOutcome(AttemptResult.Failed("status ${answer.status}", failure), outcome)
        }
        if (!options.watch.claim()) return supersededOutcome()
        writer.respond(answer.status, headers, body, statedLength)
        return AttemptOutcome(AttemptResult.Delivered(answer.status), outcome)
    }

    private fun bodyLoss(failure: Throwable?): String = when (failure) {
        null -> "the body is too long"
        is InputTimeoutException -> "the body is late"
        else -> describe(failure)
    }

    private fun forwardedHeaders(answer: PooledResponse) =
        answer.headers.filter { it.first.lowercase() !in HOP_BY_HOP_HEADERS }

    /** The whole body, or null if it is longer than its limit or than the memory that is left for all bodies. */
    private suspend fun readBody(answer: PooledResponse, memory: BodyBudget.Reservation): ByteArray? {
        val collected = ByteArrayOutputStream()
        while (true) {
            collected.write(answer.body.next() ?: return collected.toByteArray())
            val size = collected.size()
            if (size > MAXIMUM_BUFFERED_BYTES || !memory.tryGrowTo(size)) return null
        }
    }
}
