/*
 * A request together with the route, service and limits that the configuration gives it, the results of its attempts,
 * and the trace of its steps for the log.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.TeamAccess
import org.lentilquay.transport.http.UsedConnections

/** A request that was matched with the configuration and may run. Times are monotonic milliseconds. */
internal class RoutedRequest(
    val request: CallerRequest,
    val id: String,
    val route: GatewayRoute,
    val service: String,
    val access: TeamAccess?,
    val model: String?,
    val adapter: AdapterName?,
    /** When the complete response is due: the end of the caller's maximum wait or of the route's timeout. */
    val deadlineAt: Long,
    /** The parts of the prompt that other requests may share. */
    val promptParts: Set<String> = emptySet(),
    /** Whether the caller itself asks for the rest of a stream that broke off. */
    val isResumedByCaller: Boolean = false,
    private val presentedKey: String = "",
) {
    /** A hash of the content, equal for all copies of the request on all VMs. Few requests need it. */
    val fingerprint: String by lazy {
        val head = request.head
        sha256Of("${head.method} ${head.target}\n$presentedKey\n".encodeToByteArray(), request.body)
    }

    /** The connections to backend servers on which the request was sent. */
    val usedConnections = UsedConnections()

    val priority: Int get() = access?.priority ?: route.priority

    /** When the response should start, by the target latency of the route. */
    val targetAt: Long get() = request.arrivedAt + route.targetLatencyMillis
}

/** The backend server of one attempt; [attempt] identifies the attempt in the health statistics of the server. */
internal data class AttemptTarget(val server: RegisteredServer, val adapterVersion: Long?, val attempt: Long)

/** The result of one attempt at a backend server, as far as the request is concerned. */
internal sealed interface AttemptResult {
    /** The response was passed on to the caller; [firstMillis] is the time from arrival to the first event. */
    data class Delivered(val status: Int, val firstMillis: Long? = null) : AttemptResult

    /** The request did not run and will not run. [hasArrived] if it reached a backend server. */
    data class NotRun(val reason: String, val hasArrived: Boolean) : AttemptResult

    /** The request may have run, and nothing of a response was passed on to the caller. */
    data class Failed(val reason: String, val answer: BufferedResponse? = null) : AttemptResult

    /** The stream broke off after the event [lastEventId] was passed on. */
    data class BrokenStream(val reason: String, val lastEventId: String?) : AttemptResult

    /** Another attempt of the request goes on in place of this one. */
    data class Superseded(val reason: String) : AttemptResult
}

/**
 * An error response of a backend server, kept to be passed on if no other attempt succeeds. [statedLength] is the
 * length that its head states, or null.
 */
internal class BufferedResponse(
    val status: Int,
    val headers: List<Pair<String, String>>,
    val body: ByteArray,
    val statedLength: Long?,
)

/** The steps of one request, for its log line. Thread-safe, because two attempts can run at the same time. */
internal class RequestTrace(private val now: () -> Long) {
    private val steps = StringBuilder()

    @Synchronized
    fun addAttempt(server: ServerId, startedAt: Long, result: AttemptResult) {
        if (steps.isNotEmpty()) steps.append("; ")
        steps.append(server).append(' ').append(now() - startedAt).append(" ms ")
        when (result) {
            is AttemptResult.Delivered -> {
                steps.append("answered ").append(result.status)
                result.firstMillis?.let { steps.append(", first event after ").append(it).append(" ms") }
            }
            is AttemptResult.NotRun -> steps.append("not run: ").append(result.reason)
            is AttemptResult.Failed -> steps.append("failed: ").append(result.reason)
            is AttemptResult.BrokenStream -> steps.append("broke off: ").append(result.reason)
            is AttemptResult.Superseded -> steps.append("left: ").append(result.reason)
        }
    }

    @Synchronized
    fun addNote(text: String) {
        if (steps.isNotEmpty()) steps.append("; ")
        steps.append(text)
    }

    /** Adds a note that can occur again while the same state lasts. */
    @Synchronized
    fun addNoteOnce(text: String) {
        if (text !in steps) addNote(text)
    }

    @Synchronized
    override fun toString(): String = steps.toString()
}

/** A refusal that promises that the request did not run. */
internal fun notRunFailure(message: String, retryAfterMillis: Long) =
    Failure(ErrorKind.NO_CAPACITY, message, retryAfterMillis)

/** A failure of a request that may have run. */
internal fun unknownOutcome(message: String) = Failure(ErrorKind.BACKEND_FAILED, message)
