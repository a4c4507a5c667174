/*
 * Options, switches and records of the plain service stand-in. All times are milliseconds.
 */
package org.lentilquay.standins

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Sizes and timing of a plain service. */
data class ServiceOptions(
    val port: Int = 0,
    val maximumInFlight: Int = 32,
    /** Requests in flight that a cold service bears. */
    val coldInFlight: Int = 4,
    val coldMillis: Long = 2_000,
    /** How long the listener is closed after the service fell over. */
    val downMillis: Long = 500,
    /** Time between the effect of a call and its answer. */
    val workMillis: Long = 20,
    /** A POST call whose body contains this text takes effect and crashes the service. */
    val crashMarker: String = "[crash-service]",
)

/** Body of `POST /control` of a plain service; absent fields change nothing. */
@Serializable
data class ServiceControl(
    /** Restarts at once: requests in flight are cut, and the new incarnation is cold. Records are kept. */
    val restart: Boolean = false,
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** The next this many POST calls take effect, but their connections are cut in place of an answer. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    val leaving: Boolean? = null,
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

/** Answer of `GET /runs` of a plain service. */
@Serializable
data class ServiceRuns(
    val incarnation: Long,
    val runs: List<ServiceRun>,
    /** How many POST calls took effect for each reference. */
    @SerialName("by_reference") val byReference: Map<String, Int>,
    val counters: Map<String, Long>,
)
