/*
 * The wire types of the administration API, JSON over HTTP: an intent gives a plan, a plan is confirmed, and the audit
 * trail lists what was done. Docs: docs/design.md, sections 4.6 and 5.4.
 */
package org.lentilquay.protocol

import kotlinx.serialization.Serializable
import org.lentilquay.state.ConfigurationChange

/** Body of `POST /admin/v1/plans`. */
@Serializable
data class PlanRequest(val change: ConfigurationChange)

/** What a change would do. Nothing changes until it is confirmed. */
@Serializable
data class Plan(
    val id: String,
    val operator: String,
    val change: ConfigurationChange,
    /** The revision that the plan was made for; the plan conflicts with any later one. */
    val baseRevision: Long,
    val effects: List<String>,
    val warnings: List<String>,
    /** Wall-clock time, in milliseconds since the epoch, after which the plan can no longer be confirmed. */
    val expiresAtEpochMillis: Long,
    /** Authenticates the plan, so that any VM can confirm it. */
    val signature: String = "",
)

/** Answer of `POST /admin/v1/plans/confirm`, whose body is the plan. */
@Serializable
data class Confirmation(val planId: String, val revision: Long, val alreadyConfirmed: Boolean)

/** One line of the audit trail, and at the same time one entry of the configuration log. */
@Serializable
data class LogEntry(
    val revision: Long,
    val planId: String,
    val operator: String,
    val change: ConfigurationChange,
    val confirmedAtEpochMillis: Long,
    val confirmedBy: String,
)

/** Body of an error answer, in the form that OpenAI-compatible client libraries read. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

@Serializable
data class ErrorDetail(
    val message: String,
    val type: String,
    val code: String,
    val run: String,
    val retry: String,
    @kotlinx.serialization.SerialName("retry_after_ms") val retryAfterMillis: Long? = null,
)
