/*
 * The requests and events that [Membership] returns to its caller. The caller sends the requests and reports each
 * result by the matching function of [Membership].
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.VmListDigest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/** A request to send, or a change of the membership. */
sealed interface MembershipEffect {
    /** Send [request] to [address]. [vm] is null if the address is from settings and its VM is not known yet. */
    data class Probe(val vm: VmId?, val address: String, val request: PeerRequest.Probe) : MembershipEffect

    /** Ask [via] to probe [target]. */
    data class ProbeVia(val via: VmId, val viaAddress: String, val target: VmId, val request: PeerRequest.ProbeVia) :
        MembershipEffect

    /** The state of [vm] is now [to]; [from] is null if the VM is new. */
    data class StateChanged(val vm: VmId, val from: MemberState?, val to: MemberState) : MembershipEffect

    /** The peer listener of [vm] is now at [address]. */
    data class AddressChanged(val vm: VmId, val address: String) : MembershipEffect

    /** The process on [vm] has restarted, with a higher incarnation than before. */
    data class Restarted(val vm: VmId, val from: Incarnation, val to: Incarnation) : MembershipEffect

    /** A process with a later incarnation runs under the id of this VM; this process must stop. */
    data class Replaced(val by: Incarnation) : MembershipEffect
}

/** The answer to a received probe, and the effects of the updates in it. */
data class ProbeReceived(val answer: PeerAnswer.ProbeAnswer, val effects: List<MembershipEffect>)

/** The status that this VM reports in probes and answers. */
data class OwnStatus(
    val revision: Long = 0,
    val tableReachable: Boolean = false,
    val revisionCurrent: Boolean = false,
    val ready: Boolean = false,
    val list: VmListDigest? = null,
)
