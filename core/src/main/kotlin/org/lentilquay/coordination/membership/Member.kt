/*
 * One member as this VM sees it, and the order of news about it: a higher incarnation replaces everything; within one
 * incarnation LEFT is final, then a higher refutation wins, then the worse state. Source of the idea: SWIM (Das, Gupta
 * and Motivala, 2002). Times are monotonic milliseconds of this VM.
 */
package org.lentilquay.coordination.membership

import org.lentilquay.protocol.ListedVmState
import org.lentilquay.protocol.MemberState
import org.lentilquay.protocol.MemberUpdate
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/** The incarnation of a VM that is known from the platform's list only; any news of the VM itself is higher. */
internal val unknownIncarnation = Incarnation(0)

internal class Member(var update: MemberUpdate, var knownSince: Long) {
    /** Null until the VM appears on the platform's list. */
    var listed: ListedVmState? = null
    var absentFromList = false

    /** When the question was sent whose answer, direct or through another member, proved that the VM lives. */
    var contactAt: Long? = null

    /** When the VM was last heard in any way; its own probes prove nothing about the way to it. */
    var heardAt: Long? = null
        private set

    /** When the VM itself last told its revision and whether it reaches the table. */
    var statusAt: Long? = null
    var revision = 0L
    var tableReachable = false

    /** The start of the time after which a suspect is dead. */
    var suspectSince: Long? = null
    var suspectedHere = false
    var notAliveSince: Long? = null

    val vm: VmId get() = update.vm

    /** The state for new work: a VM that the platform lists as leaving gets none. */
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

/** Whether this update takes the place of [known]. */
internal fun MemberUpdate.supersedes(known: MemberUpdate): Boolean = when {
    incarnation != known.incarnation -> incarnation > known.incarnation
    known.state == MemberState.LEFT -> false
    state == MemberState.LEFT -> true
    refutation != known.refutation -> refutation > known.refutation
    else -> state > known.state
}
