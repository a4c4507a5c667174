/*
 * Which VMs are gone for certain, from readings of the platform's list. The list lags behind, so a VM that has just
 * started may be absent; it counts as gone only after it was seen on the list, or was absent from every reading for
 * [ABSENT_BEFORE_GONE_MILLIS]. The second rule frees what a VM held that left before this process started. Times are
 * monotonic milliseconds; a failed reading is not passed in.
 */
package org.lentilquay.coordination

import org.lentilquay.state.VmId

/** Far over any lag of the platform's list. */
const val ABSENT_BEFORE_GONE_MILLIS: Long = 600_000

class VmListHistory {
    private val everListed = HashSet<VmId>()
    private var firstReadingAt: Long? = null
    private var lastReadingAt = 0L
    private val lastListedAt = HashMap<VmId, Long>()

    /** The VMs of the last reading. */
    var listed: Set<VmId> = emptySet()
        private set

    /** Takes in a reading at [now]. */
    fun observed(vms: Set<VmId>, now: Long) {
        firstReadingAt = firstReadingAt ?: now
        lastReadingAt = now
        listed = vms.toSet()
        everListed += vms
        vms.forEach { lastListedAt[it] = now }
    }

    /** Whether [vm] is gone for certain. */
    fun hasDeparted(vm: VmId): Boolean {
        val first = firstReadingAt ?: return false
        val absentSince = lastListedAt[vm] ?: first
        return vm !in listed && (vm in everListed || lastReadingAt - absentSince >= ABSENT_BEFORE_GONE_MILLIS)
    }
}
