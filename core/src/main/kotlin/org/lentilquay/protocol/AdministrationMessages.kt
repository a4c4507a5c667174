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
data class ConfigurationLogEntry(
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

/** Answer of `GET /admin/v1/status`: what one VM knows. */
@Serializable
data class StatusReport(
    val vm: String,
    val domain: String,
    val revision: Long,
    /** `current`, `outage` or `isolated`; see docs/design.md, section 4.5. */
    val freshness: String,
    val ready: Boolean,
    val tableReachable: Boolean,
    val seats: List<Int>,
    val members: List<MemberStatus>,
    val ownedServers: List<ServerStatus>,
    val activeRequests: Int,
)

@Serializable
data class MemberStatus(val vm: String, val domain: String, val address: String, val state: String)

/** What the owner of a backend server knows of it. */
@Serializable
data class ServerStatus(
    val server: String,
    val fence: Long,
    val state: String,
    val loaded: List<String>,
    val inFlight: Int,
    val queued: Int,
)

/** Answer of `GET /admin/v1/explain`: how a request for a route would be placed now. */
@Serializable
data class Explanation(
    val route: String,
    val target: String,
    val revision: Long,
    /** Backend servers in the order in which they would be tried. */
    val candidates: List<ExplainedServer>,
    /** Servers that serve the target but would not be tried, with the reason. */
    val excluded: List<ExplainedServer>,
)

@Serializable
data class ExplainedServer(val server: String, val domain: String, val owner: String?, val reason: String)
