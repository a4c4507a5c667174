/*
 * What a VM of the gateway knows of requests that crash backend servers, published in its member record, so that a VM
 * that starts again knows it as well. Times are milliseconds on the clock of the table service.
 */
package org.lentilquay.state.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Requests with all of [parts] are refused. */
@Serializable
data class PartQuarantineRecord(
    @SerialName("p") val parts: Set<String>,
    /** The crashes that the parts explain. */
    @SerialName("n") val crashes: Int,
    /** The time of the latest of these crashes, from which the duration of the quarantine counts. */
    @SerialName("l") val latestCrashMillis: Long,
    /** An answer to a request that was sent after this time clears its part: too few crashes are later. */
    @SerialName("d") val decisiveCrashMillis: Long,
)

@Serializable
data class QuarantineRecord(
    @SerialName("p") val parts: List<PartQuarantineRecord> = emptyList(),
    /** Parts that were quarantined, and when the request was sent whose answer cleared them. */
    @SerialName("c") val cleared: Map<String, Long> = emptyMap(),
    /** When the quarantines of whole requests end, by their fingerprints. */
    @SerialName("f") val requests: Map<String, Long> = emptyMap(),
)
