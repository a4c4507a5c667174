/*
 * Which VMs are permanently gone, from successive reads of the platform's VM list. The list lags behind, so a VM that
 * has just started may not be on it yet. A VM counts as departed only if it was on the VM list and is not now, or
 * was absent from every read for [ABSENCE_BEFORE_DEPARTURE_MILLIS]. The second rule frees the quota seats of a VM that
 * left before this process started. Times are monotonic milliseconds; failed reads are not passed in.
 */
package org.lentilquay.coordination

import org.lentilquay.state.VmId

/** Much longer than any lag of the platform's VM list. */
const val ABSENCE_BEFORE_DEPARTURE_MILLIS: Long = 600_000

class VmListHistory {
    private val everListed = HashSet<VmId>()
    private var firstReadAt: Long? = null
    private var lastReadAt = 0L
    private val lastListedAt = HashMap<VmId, Long>()

    /** The VMs of the last read. */
    var listed: Set<VmId> = emptySet()
        private set

    /** Records that a read at [now] returned [vms]. */
    fun observed(vms: Set<VmId>, now: Long) {
        firstReadAt = firstReadAt ?: now
        lastReadAt = now
        listed = vms.toSet()
        everListed += vms
        vms.forEach { lastListedAt[it] = now }
    }

    /** Whether [vm] is permanently gone. */
    fun hasDeparted(vm: VmId): Boolean {
        val first = firstReadAt ?: return false
        val absentSince = lastListedAt[vm] ?: first
        return vm !in listed && (vm in everListed || lastReadAt - absentSince >= ABSENCE_BEFORE_DEPARTURE_MILLIS)
    }
}
