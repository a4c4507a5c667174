/*
 * One member in the local view of this VM, and the precedence of updates about it: a higher incarnation replaces all
 * else; within an incarnation LEFT is final, then a higher refutation wins, then the worse state. As in SWIM (Das,
 * Gupta and Motivala, 2002). Times are monotonic milliseconds of this VM.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/** The incarnation of a VM that is known from the VM list only; every update of the VM itself is higher. */
internal val unknownIncarnation = Incarnation(0)

internal class Member(var update: MemberUpdate, var knownSince: Long) {
    /** The state on the platform's VM list, or null until the VM appears on it. */
    var listed: ListedVmState? = null
    var absentFromList = false

    /** When the latest probe was sent whose answer, direct or through another member, proved that the VM is alive. */
    var contactAt: Long? = null

    /** When the VM was last heard from. That includes its own probes, which do not prove that it can be reached. */
    var heardAt: Long? = null
        private set

    /** When the VM last reported its revision and whether it reaches the table service. */
    var statusAt: Long? = null
    var revision = 0L
    var tableReachable = false

    /** The start of the suspicion timeout. */
    var suspectSince: Long? = null
    var suspectedHere = false
    var notAliveSince: Long? = null

    val vm: VmId get() = update.vm

    /** The state as it counts for new work: a VM that the platform lists as leaving gets none. */
    val state: MemberState
        get() {
            val isLeaving = listed == ListedVmState.LEAVING && update.state == MemberState.ALIVE
            return if (isLeaving) MemberState.LEFT else update.state
        }

    fun contacted(at: Long) {
        contactAt = maxOf(contactAt ?: at, at)
        heard(at)
    }

    fun heard(at: Long) {
        heardAt = maxOf(heardAt ?: at, at)
    }
}

/** Whether this update replaces [known]. */
internal fun MemberUpdate.supersedes(known: MemberUpdate): Boolean = when {
    incarnation != known.incarnation -> incarnation > known.incarnation
    known.state == MemberState.LEFT -> false
    state == MemberState.LEFT -> true
    refutation != known.refutation -> refutation > known.refutation
    else -> state > known.state
}
