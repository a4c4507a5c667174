/*
 * The rows of the table service by which the duties of the fleet keep their state. Field names of rows that every VM
 * writes are short.
 */
package org.lentilquay.state.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The prefix of the rows in which each process publishes its counts. */
const val USAGE_PREFIX: String = "usage/"

/** The prefix of the rows of windows whose counts are fixed. */
const val USAGE_WINDOW_PREFIX: String = "usage-windows/"

/** The prefix of the rows of orders of backend servers. */
const val SCALE_PREFIX: String = "scale/"

/** The duty to report usage; all windows are one subject. */
val USAGE_SUBJECT: DutySubject = DutySubject("usage")

/** A process of the gateway on a VM. */
data class GatewayProcess(val vm: VmId, val incarnation: Incarnation) {
    override fun toString(): String = "$vm.$incarnation"
}

fun usageKey(process: GatewayProcess): String = USAGE_PREFIX + process

fun usageWindowKey(window: Long): String = USAGE_WINDOW_PREFIX + window

/** A failure domain in which a service runs, whose number of backend servers is ordered. */
data class ScaleTarget(val service: String, val domain: DomainId) {
    val subject: DutySubject get() = DutySubject(scaleKey(this))
}

fun scaleKey(target: ScaleTarget): String = "$SCALE_PREFIX${target.service}/${target.domain}"

/** The counts and the demand of one process; each row replaces the one before. Times are true time. */
@Serializable
data class UsageRecord(
    /** The time up to which the counts are complete; no later row adds to the time before it. */
    @SerialName("c") val completeMillis: Long,
    /** When this process began to count. */
    @SerialName("b") val beganMillis: Long,
    /** Whether the process is stopping and counts nothing more. */
    @SerialName("l") val isFinal: Boolean = false,
    @SerialName("n") val teams: List<TeamId> = emptyList(),
    /** By window, the requests that began to run, in the order of [teams]; zeros at the end are omitted. */
    @SerialName("w") val windows: Map<Long, List<Long>> = emptyMap(),
    /** The time that [demand] covers, in milliseconds. */
    @SerialName("s") val spanMillis: Long = 0,
    val demand: Map<String, DemandRecord> = emptyMap(),
) {
    /** The requests of each team that began to run in [window]. */
    fun counts(window: Long): Map<TeamId, Long> =
        teams.zip(windows[window].orEmpty()).filter { it.second > 0 }.toMap()
}

/** The requests for one service: those that arrived and were refused in a time, and those that wait now. */
@Serializable
data class DemandRecord(
    @SerialName("a") val arrivals: Long = 0,
    @SerialName("w") val waiting: Long = 0,
    /** Refused for lack of room. */
    @SerialName("r") val refused: Long = 0,
)

/** The counts of a window, fixed before they are reported for the first time. */
@Serializable
data class UsageWindowRecord(
    val window: Long,
    val counts: Map<TeamId, Long>,
    val isReported: Boolean = false,
    /** The fencing number of the VM that fixed the counts. */
    val fence: Long,
    /** The era of the table service in which the row was written; null if it has no eras. */
    val era: Long? = null,
)

/** The number of backend servers that was ordered last for one failure domain; written before the order is sent. */
@Serializable
data class ScaleOrderRecord(val desired: Int, val tableMillis: Long, val fence: Long, val era: Long? = null)
