/*
 * The membership changes that this VM still spreads. Each message takes the least transmitted ones; a change is dropped
 * after a number of transmissions that grows with the logarithm of the number of members, as in SWIM.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.state.VmId

/** Bounds the size of a probe, and with it the traffic of a VM. */
const val MAXIMUM_UPDATES: Int = 8

/** Transmissions for each doubling of the members; 3 makes a miss unlikely (SWIM, section 4.1, lambda). */
private const val TRANSMISSIONS_PER_DOUBLING = 3

internal class UpdateQueue {
    private class Pending(val update: MemberUpdate, var transmissions: Int = 0)

    private val pending = LinkedHashMap<VmId, Pending>()

    /** Spreads [update] and no longer any older news of the same VM. */
    fun add(update: MemberUpdate) {
        pending[update.vm] = Pending(update)
    }

    fun remove(vm: VmId) {
        pending.remove(vm)
    }

    /** At most [count] updates, the least transmitted first, for a fleet of [members]. */
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
