/*
 * The member updates that this VM still disseminates, piggybacked on probes. Each message takes the updates with the
 * fewest transmissions; an update is dropped after a number of transmissions that grows with the logarithm of the
 * number of members, as in SWIM.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.state.VmId

/** The maximum updates in a message; bounds the size of a probe, and with it the traffic of a VM. */
const val MAXIMUM_UPDATES: Int = 8

/** Transmissions per doubling of the members; with 3 a member is unlikely to be missed (SWIM, section 4.1, lambda). */
private const val TRANSMISSIONS_PER_DOUBLING = 3

internal class UpdateQueue {
    private class Pending(val update: MemberUpdate, var transmissions: Int = 0)

    private val pending = LinkedHashMap<VmId, Pending>()

    /** Adds [update], which replaces an older update of the same VM. */
    fun add(update: MemberUpdate) {
        pending[update.vm] = Pending(update)
    }

    fun remove(vm: VmId) {
        pending.remove(vm)
    }

    /** Up to [count] updates with the fewest transmissions, for a fleet of [members]. */
    fun take(count: Int, members: Int): List<MemberUpdate> {
        if (pending.isEmpty() || count <= 0) return emptyList()
        val chosen = pending.values.sortedBy { it.transmissions }.take(count)
        val limit = TRANSMISSIONS_PER_DOUBLING * (Int.SIZE_BITS - members.countLeadingZeroBits())
        chosen.forEach {
            it.transmissions++
            if (it.transmissions >= limit) pending.remove(it.update.vm)
        }
        return chosen.map { it.update }
    }
}
