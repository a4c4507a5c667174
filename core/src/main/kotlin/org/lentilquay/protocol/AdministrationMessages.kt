/*
 * Wire types of the administration API, JSON over HTTP. An operator posts a configuration change and gets a plan,
 * confirms the plan, and reads confirmed changes in the audit trail. Docs: docs/design.md, sections 4.6 and 5.4.
 */
package org.lentilquay.protocol

import kotlinx.serialization.Serializable
import org.lentilquay.state.ConfigurationChange

/** Body of `POST /admin/v1/plans`. */
@Serializable
data class PlanRequest(val change: ConfigurationChange)

/** The effects of a proposed change. The configuration changes only when the plan is confirmed. */
@Serializable
data class Plan(
    val id: String,
    val operator: String,
    val change: ConfigurationChange,
    /** The revision on which the plan was computed; confirming on a later revision is a conflict. */
    val baseRevision: Long,
    /** What the change does, one sentence each. */
    val effects: List<String>,
    /** What stops working or is probably a mistake, one sentence each. */
    val warnings: List<String>,
    /** Wall-clock time, in milliseconds since the epoch, after which the plan can no longer be confirmed. */
    val expiresAtEpochMillis: Long,
    /** HMAC over the other fields, so that any VM can confirm the plan; empty while it is being computed. */
    val signature: String = "",
)

/** Response of `POST /admin/v1/plans/confirm`, whose request body is the plan. */
@Serializable
data class Confirmation(val planId: String, val revision: Long, val alreadyConfirmed: Boolean)

/** One entry of the configuration log, which is also the audit trail: a change that was confirmed. */
@Serializable
data class ConfigurationLogEntry(
    val revision: Long,
    val planId: String,
    val operator: String,
    val change: ConfigurationChange,
    /** Wall-clock time of the confirming VM, in milliseconds since the epoch. */
    val confirmedAtEpochMillis: Long,
    /** The VM that wrote the entry. */
    val confirmedBy: String,
)

/** Body of an error response, in the shape that OpenAI-compatible client libraries parse. */
@Serializable
data class ErrorBody(val error: ErrorDetail)

/** The error itself; codes and advice come from [org.lentilquay.state.ErrorKind]. */
@Serializable
data class ErrorDetail(
    val message: String,
    val type: String,
    val code: String,
    /** Whether the request was executed: `not_run`, `ran` or `unknown`. */
    val run: String,
    /** Retry advice: `do_not_retry`, `retry_after` or `retry_same_key`. */
    val retry: String,
    @kotlinx.serialization.SerialName("retry_after_ms") val retryAfterMillis: Long? = null,
)

/** Response of `GET /admin/v1/status`: the local view of one VM. */
@Serializable
data class StatusReport(
    val vm: String,
    /** The failure domain of the VM. */
    val domain: String,
    /** The configuration revision in force. */
    val revision: Long,
    /** `current`, `outage` or `isolated`; see docs/design.md, section 4.5. */
    val freshness: String,
    val ready: Boolean,
    /** Whether the VM reaches the table service. */
    val tableReachable: Boolean,
    /** The quota seats that the VM holds. */
    val seats: List<Int>,
    val members: List<MemberStatus>,
    val ownedServers: List<ServerStatus>,
    val activeRequests: Int,
)

/** A member of the fleet in the local view of the answering VM. */
@Serializable
data class MemberStatus(val vm: String, val domain: String, val address: String, val state: String)

/** A backend server as its owner sees it. */
@Serializable
data class ServerStatus(
    val server: String,
    /** The fencing number of the ownership. */
    val fence: Long,
    val state: String,
    /** Engine names of the loaded adapters. */
    val loaded: List<String>,
    /** Requests that run on the server. */
    val inFlight: Int,
    /** Requests that wait for the server. */
    val queued: Int,
)

/** Response of `GET /admin/v1/explain`: the server selection that a request for a route would get now. */
@Serializable
data class Explanation(
    val route: String,
    val target: String,
    val revision: Long,
    /** Backend servers in the order of selection. */
    val candidates: List<ExplainedServer>,
    /** Servers that serve the target but are excluded from selection, with the reason. */
    val excluded: List<ExplainedServer>,
)

/** A backend server with the reason for its rank or its exclusion. */
@Serializable
data class ExplainedServer(val server: String, val domain: String, val owner: String?, val reason: String)
