/*
 * What is known of a request once it was matched with the configuration, and the record of what was tried for it.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.TeamAccess

/** A request that may run. Times are monotonic milliseconds. */
internal class RequestPlan(
    val request: CallerRequest,
    val id: String,
    val route: GatewayRoute,
    val service: String,
    val access: TeamAccess?,
    val model: String?,
    val adapter: AdapterName?,
    /** When the final answer is due: the end of the caller's patience or of the route's bound. */
    val deadlineAt: Long,
) {
    val priority: Int get() = access?.priority ?: route.priority

    /** When the answer should begin. */
    val targetAt: Long get() = request.arrivedAt + route.targetLatencyMillis
}

/** A backend server chosen for one attempt. */
internal data class Target(val server: RegisteredServer, val adapterVersion: Long?, val attempt: Long)

/** How one attempt at a backend server ended. */
internal sealed interface AttemptResult {
    /** The answer went to the caller. */
    data class Delivered(val status: Int, val firstMillis: Long? = null) : AttemptResult

    /** The request did not run and never will. */
    data class NotRun(val reason: String, val hasArrived: Boolean) : AttemptResult

    /** The request may have run, and the caller has seen nothing of an answer. */
    data class Failed(val reason: String, val answer: WholeAnswerFromServer? = null) : AttemptResult

    /** The stream broke after [lastEventId] was passed on. */
    data class BrokenStream(val reason: String, val lastEventId: String?) : AttemptResult
}

/** A failure that a backend server answered with itself. */
internal class WholeAnswerFromServer(val status: Int, val headers: List<Pair<String, String>>, val body: ByteArray)

/** What was tried for one request, for its log line. */
internal class RequestTrace(private val now: () -> Long) {
    private val steps = StringBuilder()

    fun step(server: ServerId, startedAt: Long, result: AttemptResult) {
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
        }
    }

    fun note(text: String) {
        if (steps.isNotEmpty()) steps.append("; ")
        steps.append(text)
    }

    override fun toString(): String = steps.toString()
}

internal fun notRunFailure(message: String, retryAfterMillis: Long) =
    Failure(ErrorKind.NO_CAPACITY, message, retryAfterMillis)

internal fun unknownFailure(message: String) = Failure(ErrorKind.BACKEND_FAILED, message)
