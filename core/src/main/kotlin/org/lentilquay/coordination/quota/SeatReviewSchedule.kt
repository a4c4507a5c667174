/*
 * When a VM reviews the quota seats. Each review reads all seat records from the table service, and seats change hands
 * only when VMs come or go, so a fleet that stays the same is reviewed less often. Single-threaded use; times are
 * monotonic milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.VmId

/** Renewals of a member record between two reviews after a change of the fleet, and while it stays the same. */
private const val RENEWALS_AFTER_CHANGE = 2
private const val RENEWALS_WITHOUT_CHANGE = 6

/** Reviews after a change until the seats are spread: VMs give seats up in one and take them in the next. */
private const val REVIEWS_AFTER_CHANGE = 4

/** How much early a review may come, because looks at the schedule come a little early and late, in milliseconds. */
private const val SLACK_MILLIS = 500L

class SeatReviewSchedule(private var reviewedAt: Long) {
    private var live: Set<VmId> = emptySet()
    private var departed: Set<VmId> = emptySet()
    private var pending = REVIEWS_AFTER_CHANGE

    /**
     * Whether a review is due, which the caller then makes, in a fleet of the [members] of which some are certain to be
     * [lost]. Records are renewed every [renewalMillis].
     */
    fun isDue(members: Set<VmId>, lost: Set<VmId>, renewalMillis: Long, now: Long): Boolean {
        if (members != live || lost != departed) pending = REVIEWS_AFTER_CHANGE
        live = members
        departed = lost
        val renewals = if (pending > 0) RENEWALS_AFTER_CHANGE else RENEWALS_WITHOUT_CHANGE
        if (now - reviewedAt < renewals * renewalMillis - SLACK_MILLIS) return false
        reviewedAt = now
        if (pending > 0) pending--
        return true
    }
}
