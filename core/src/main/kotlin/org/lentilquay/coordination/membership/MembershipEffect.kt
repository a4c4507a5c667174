/*
 * What the membership asks its caller to do. The caller sends the requests and reports each result back by the
 * matching function of [Membership].
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.VmListDigest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/** One thing to do, or one change to take note of. */
sealed interface MembershipEffect {
    /** Send [request] to [address]; [vm] is null for an address from settings whose VM is not known yet. */
    data class Probe(val vm: VmId?, val address: String, val request: PeerRequest.Probe) : MembershipEffect

    /** Ask [via] to probe [target]. */
    data class ProbeVia(val via: VmId, val viaAddress: String, val target: VmId, val request: PeerRequest.ProbeVia) :
        MembershipEffect

    /** The state of [vm] is now [to]; [from] is null for a VM that was not known. */
    data class StateChanged(val vm: VmId, val from: MemberState?, val to: MemberState) : MembershipEffect

    /** The peer listener of [vm] is now at [address]. */
    data class AddressChanged(val vm: VmId, val address: String) : MembershipEffect

    /** The VM started again with a higher incarnation than before. */
    data class Restarted(val vm: VmId, val from: Incarnation, val to: Incarnation) : MembershipEffect

    /** A later process runs under this VM's own id; this one is outdated and must stop. */
    data class Replaced(val by: Incarnation) : MembershipEffect
}

/** The answer to a received probe, and what else follows from it. */
data class ProbeReceived(val answer: PeerAnswer.ProbeAnswer, val effects: List<MembershipEffect>)

/** What this VM says about itself in probes and answers. */
data class OwnStatus(
    val revision: Long = 0,
    val tableReachable: Boolean = false,
    val revisionCurrent: Boolean = false,
    val ready: Boolean = false,
    val list: VmListDigest? = null,
)
