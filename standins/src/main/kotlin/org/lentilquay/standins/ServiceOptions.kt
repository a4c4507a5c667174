/*
 * Options, switches and records of the plain service stand-in. All times are milliseconds.
 */
package org.lentilquay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Capacity and timing of a plain service. */
data class ServiceOptions(
    val port: Int = 0,
    val maximumInFlight: Int = 32,
    /** Limit of calls in flight during a cold start; the service crashes above it. */
    val coldInFlight: Int = 4,
    val coldMillis: Long = 2_000,
    /** How long the listener is closed after a crash. */
    val downMillis: Long = 500,
    /** Time between the effect of a call and its answer. */
    val workMillis: Long = 20,
    /** A POST call whose body contains this text takes effect and crashes the service. */
    val crashMarker: String = "[crash-service]",
)

/** Body of `POST /control` of a plain service; absent fields leave their switch unchanged. */
@Serializable
data class ServiceControl(
    /** Restarts immediately: calls in flight are cut, and the new incarnation is cold. Records are kept. */
    val restart: Boolean = false,
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** Number of POST calls that take effect but whose connections are closed without a response. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    /** Whether all answers say that the service is leaving. */
    val leaving: Boolean? = null,
    /** `Retry-After` of refusals because of too many calls, as it is sent; empty for none. */
    @SerialName("retry_after") val retryAfter: String? = null,
)

/** One call that the service accepted; a POST call has taken effect. */
@Serializable
data class ServiceRun(
    @SerialName("request_id") val requestId: String?,
    val method: String,
    val path: String,
    /** The `reference` of the body of a POST call. */
    val reference: String?,
    val headers: Map<String, List<String>>,
    val incarnation: Long,
)

/** Response of `GET /runs` of a plain service. */
@Serializable
data class ServiceRuns(
    val incarnation: Long,
    val runs: List<ServiceRun>,
    /** Number of POST calls that took effect, by reference. */
    @SerialName("by_reference") val byReference: Map<String, Int>,
    val counters: Map<String, Long>,
)
