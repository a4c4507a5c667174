/*
 * Which VMs have acknowledged a new owner's fence. A VM acknowledges by its answer to `ActiveRuns`; from then on it
 * sends nothing under an older fence. Docs: docs/design.md, section 4.2.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.VmId

class FenceAcknowledgements(private val own: VmId) {
    private val fences = HashMap<VmId, Long>()

    /** Notes that [vm] acknowledged [fence]. */
    fun acknowledged(vm: VmId, fence: Long) {
        fences.merge(vm, fence, ::maxOf)
    }

    /** Whether [vm] has acknowledged [fence] or a later one. */
    fun has(vm: VmId, fence: Long): Boolean = vm == own || fences[vm].let { it != null && it >= fence }

    /** The VMs of the platform's list that still have to acknowledge [fence]. */
    fun missing(listed: Set<VmId>, fence: Long): Set<VmId> = listed.filterTo(LinkedHashSet()) { !has(it, fence) }
}
