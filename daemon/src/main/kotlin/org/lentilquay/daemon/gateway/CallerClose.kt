/*
 * The log line of a caller's connection that the gateway closes without an answer, or with status 408. Its fields tell
 * apart a request that had arrived, a limit that a configuration has raised, and a timer that ran late.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.daemon.logs.event

private const val REFUSED = "request of a caller did not arrive in time"
private const val INCOMPLETE = "request of a caller ended before it was complete"
private const val UNANSWERED = "connection of a caller closed without an answer"
private val log = KotlinLogging.logger {}

/** Why the gateway closes a connection before it has handled a request. */
internal enum class CloseReason(val text: String) {
    IDLE_LIMIT("idle_limit"),

    /** The caller got status 408, as for [BODY_TIME]. */
    HEAD_TIME("head_time"),
    BODY_TIME("body_time"),

    /** The caller closed the connection within a request, so there is nobody to answer. */
    CALLER_ENDED("caller_ended"),
    PLANNED_STOP("planned_stop"),

    /** The time of a planned stop passed during a request. */
    STOP_ENDED("stop_ended"),

    /** The handling of a request ended without a response. */
    NO_RESPONSE("no_response"),
}

/**
 * A connection that is closed [idleMillis] after it was accepted or carried its last response. If a wait has ended,
 * [limitMillis] bounded it, and this was noticed [lateMillis] later.
 */
internal data class CallerClose(
    val reason: CloseReason,
    val idleMillis: Long,
    val limitMillis: Long?,
    val lateMillis: Long?,
    val presentIdleLimitMillis: Long,
    val receivedBytes: Long,
    val requests: Int,
) {
    /** The end of an idle connection. Each kept connection has one, so they are left out of the log. */
    val isOrdinary: Boolean
        get() = receivedBytes == 0L && when (reason) {
            CloseReason.PLANNED_STOP -> true
            CloseReason.IDLE_LIMIT -> limitMillis != null && limitMillis >= presentIdleLimitMillis
            else -> false
        }

    private val message: String
        get() = when (reason) {
            CloseReason.HEAD_TIME, CloseReason.BODY_TIME -> REFUSED
            CloseReason.CALLER_ENDED -> INCOMPLETE
            CloseReason.IDLE_LIMIT, CloseReason.PLANNED_STOP, CloseReason.STOP_ENDED, CloseReason.NO_RESPONSE ->
                UNANSWERED
        }

    /** Logs this close, after [omitted] of the same reason that were not logged. */
    fun log(omitted: Int) {
        log.event(
            message,
            "reason" to reason.text,
            "idleMillis" to idleMillis,
            "limitMillis" to limitMillis,
            "presentIdleLimitMillis" to presentIdleLimitMillis,
            "lateMillis" to lateMillis,
            "receivedBytes" to receivedBytes,
            "requests" to requests,
            "omitted" to omitted.takeIf { it > 0 },
        )
    }
}
