/*
 * Which VMs have acknowledged the fence (fencing number) of a new owner. A VM acknowledges a fence by its answer to
 * `ActiveRuns` and sends nothing under an older fence from then on. Docs: docs/design.md, section 4.2.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.VmId

class FenceAcknowledgements(private val own: VmId) {
    private val fences = HashMap<VmId, Long>()

    /** Records that [vm] acknowledged [fence]. */
    fun acknowledged(vm: VmId, fence: Long) {
        fences.merge(vm, fence, ::maxOf)
    }

    /** Whether [vm] has acknowledged [fence] or a later one. */
    fun has(vm: VmId, fence: Long): Boolean = vm == own || fences[vm].let { it != null && it >= fence }

    /** The VMs of [listed], the VM list of the platform, that have not acknowledged [fence]. */
    fun missing(listed: Set<VmId>, fence: Long): Set<VmId> = listed.filterTo(LinkedHashSet()) { !has(it, fence) }
}
