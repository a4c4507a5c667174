/*
 * The record by which a VM of the gateway makes itself and the engines that it controls known to the others. It is
 * written at each renewal of the VM's lease; readers see it with a delay of one to two seconds.
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

/** The key of the record that names the VM in control of [server]. */
fun controllerKey(server: ServerId): String = CONTROLLER_TABLE + server

/** An engine as the VM in control of it sees it. Field names are short because every VM reads all records. */
@Serializable
data class EngineRecord(
    @SerialName("s") val server: ServerId,
    @SerialName("f") val fence: Long,
    @SerialName("r") val running: Int,
    @SerialName("q") val queued: Int,
    /** The adapters that are ready for use, by base model, as `name@version`. */
    @SerialName("a") val adapters: Map<String, List<String>> = emptyMap(),
)

/** One VM of the gateway. [renewal] rises with each write. */
@Serializable
data class MemberRecord(
    @SerialName("p") val address: String,
    @SerialName("d") val domain: DomainId,
    @SerialName("i") val incarnation: Incarnation,
    @SerialName("n") val renewal: Long,
    /** Set when the VM stops; it gives no orders any more. */
    @SerialName("l") val isLeaving: Boolean = false,
    @SerialName("e") val engines: List<EngineRecord> = emptyList(),
    /** Time of the table service, in milliseconds, from which the lease of this record counts at the latest. */
    @SerialName("t") val tableMillis: Long = 0,
)

/** Which VM controls an engine. [fence] rises with each change of control. */
@Serializable
data class ControllerRecord(val vm: VmId, val incarnation: Incarnation, val fence: Long)
