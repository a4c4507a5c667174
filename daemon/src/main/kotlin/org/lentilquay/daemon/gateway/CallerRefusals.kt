/*
 * Counts and logs what is refused or closed before a request of a caller has been read. Callers can cause any number of
 * these, so the number of lines is limited.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.daemon.logs.LineLimit
import org.lentilquay.daemon.logs.event
import org.lentilquay.state.Failure

private val log = KotlinLogging.logger {}

/** The reason of a connection that is closed because there are too many. */
private const val CONNECTION_LIMIT = "connection_limit"

/** [count] is called with the reason of each refusal. */
internal class CallerRefusals(now: () -> Long, private val count: (reason: String) -> Unit = {}) {
    private val lines = LineLimit(now)

    /** A request was refused with [failure] before it had been read. */
    fun refused(failure: Failure, requests: Int) = record(
        "request of a caller refused unread",
        failure.kind.code,
        "message" to failure.message,
        "requests" to requests,
    )

    /** A connection in [stage], or a new one if it is null, was closed because there were [connections]. */
    fun closedForRoom(stage: String?, connections: Int) = record(
        "connection of a caller closed for want of room",
        CONNECTION_LIMIT,
        "stage" to (stage ?: "new"),
        "connections" to connections,
    )

    /** Logs [close] unless there are too many lines of its reason. */
    fun closed(close: CallerClose) {
        if (close.isOrdinary) return
        lines.permit(close.reason.text)?.let { close.log(omitted = it) }
    }

    private fun record(message: String, reason: String, vararg fields: Pair<String, Any?>) {
        count(reason)
        val omitted = lines.permit(reason) ?: return
        log.event(message, listOf("reason" to reason) + fields + ("omitted" to omitted.takeIf { it > 0 }))
    }
}
