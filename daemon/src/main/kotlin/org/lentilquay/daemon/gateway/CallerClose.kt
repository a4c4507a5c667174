/*
 * The log line of a caller's connection that the gateway closes without an answer. Its fields tell apart a request that
 * had arrived, a limit that a configuration has raised, a timer that ran late, and a failure.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.daemon.logs.event

private val log = KotlinLogging.logger {}

/** Why the gateway closes a connection without an answer. */
internal enum class CloseReason(val text: String) {
    IDLE_LIMIT("idle_limit"),
    HEAD_TIME("head_time"),
    BODY_TIME("body_time"),
    PLANNED_STOP("planned_stop"),
    FAILURE("failure"),

    /** The handling of a request ended without a response. */
    NO_RESPONSE("no_response"),
}

/** A connection that is closed after a wait of [idleMillis], which [limitMillis] bounded if it is not null. */
internal data class CallerClose(
    val reason: CloseReason,
    val idleMillis: Long,
    val limitMillis: Long?,
    val presentIdleLimitMillis: Long,
    val receivedBytes: Long,
    val requests: Int,
    val detail: String? = null,
) {
    /** How long after the end of the limit the wait ended; negative if it ended before. */
    private val lateMillis: Long? get() = limitMillis?.let { idleMillis - it }

    /** The end of an idle connection. Each kept connection has one, so they are left out of the log. */
    val isOrdinary: Boolean
        get() = (reason == CloseReason.IDLE_LIMIT || reason == CloseReason.PLANNED_STOP) &&
            receivedBytes == 0L && limitMillis != null && limitMillis >= presentIdleLimitMillis

    fun report() {
        if (isOrdinary) return
        log.event(
            "connection of a caller closed without an answer",
            "reason" to reason.text,
            "idleMillis" to idleMillis,
            "limitMillis" to limitMillis,
            "presentIdleLimitMillis" to presentIdleLimitMillis,
            "lateMillis" to lateMillis,
            "receivedBytes" to receivedBytes,
            "requests" to requests,
            "detail" to detail,
        )
    }
}
