/*
 * The record by which a VM of the gateway publishes its lease and the load of the engines that it controls, stored in
 * the table service. It is written at each renewal of the lease; other VMs read it with a delay of one to two seconds.
 * Field names are short because every VM reads all records.
 */
package org.lentilquay.state.gateway

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId

private const val MEMBER_TABLE = "members/"
private const val CONTROLLER_TABLE = "controllers/"

/** The prefix of the keys of all member records. */
const val MEMBER_PREFIX: String = MEMBER_TABLE

/** The key of the member record of [vm]. */
fun memberKey(vm: VmId): String = MEMBER_TABLE + vm

/** The key of the record that names the controller of [server]. */
fun controllerKey(server: ServerId): String = CONTROLLER_TABLE + server

/** The key of the record that names the holder of [duty]. */
fun controllerKey(duty: DutySubject): String = CONTROLLER_TABLE + duty

/** The load of an engine in the view of its controller. */
@Serializable
data class EngineRecord(
    @SerialName("s") val server: ServerId,
    /** The fencing number of the controller. */
    @SerialName("f") val fence: Long,
    /** Requests in the engine's batch. */
    @SerialName("r") val running: Int,
    /** Requests in the engine's queue. */
    @SerialName("q") val queued: Int,
    /** The loaded adapters by base model, as `name@version`. */
    @SerialName("a") val adapters: Map<String, List<String>> = emptyMap(),
    /** The adapters that requests used lately; null unless the number of servers is decided from it. */
    @SerialName("u") val usedAdapters: Int? = null,
)

/** One VM of the gateway. [renewal] increases with each renewal of the lease. */
@Serializable
data class MemberRecord(
    @SerialName("p") val address: String,
    @SerialName("d") val domain: DomainId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("n") val renewal: Long,
    /** Whether the VM is stopping; it sends no further orders to engines. */
    @SerialName("l") val isLeaving: Boolean = false,
    @SerialName("e") val engines: List<EngineRecord> = emptyList(),
    /** A time of the table service's clock, in milliseconds; the lease of this record began no later. */
    @SerialName("t") val tableMillis: Long = 0,
    @SerialName("q") val quarantines: QuarantineRecord = QuarantineRecord(),
    /**
     * Backend servers whose answers to this VM said that they are leaving, with the start times of their processes in
     * milliseconds since the epoch.
     */
    @SerialName("g") val leavingServers: Map<ServerId, Long?> = emptyMap(),
    /** The speed of the VM's link, in megabits a second; 0 if it is not known. */
    @SerialName("b") val linkMegabits: Int = 0,
    /** The era of the table service in which the record was written; null if it has no eras. */
    @SerialName("v") val era: Long? = null,
    /** The duties that the VM holds. */
    @SerialName("u") val duties: List<DutyRecord> = emptyList(),
    /** Wall clock minus table clock of the VM, in milliseconds; null unless a duty needs the true time. */
    @SerialName("w") val wallOffsetMillis: Long? = null,
)

/** A duty that a VM holds, with its fencing number. */
@Serializable
data class DutyRecord(@SerialName("s") val subject: DutySubject, @SerialName("f") val fence: Long)

/** What a duty concerns: `usage`, or `scale/<service>/<failure domain>`. */
@JvmInline
@Serializable
value class DutySubject(val text: String) {
    override fun toString(): String = text
}

/** The controller of an engine, or the holder of a duty. The fencing number [fence] rises with each change. */
@Serializable
data class ControllerRecord(
    val vm: VmId,
    val incarnation: Incarnation,
    val fence: Long,
    /** The era of the table service in which the record was written; null if it has no eras. */
    val era: Long? = null,
    /** The table time at which [vm] gave the subject up for good; null while it holds it. */
    val releasedMillis: Long? = null,
)

/** The key of the record that tells since when the table service has been in its era. */
const val ERA_KEY: String = "fleet/era"

/** The era [era], which a VM first saw at the table time [sinceMillis]; null if the system started in it. */
@Serializable
data class EraRecord(val era: Long, val sinceMillis: Long? = null)
