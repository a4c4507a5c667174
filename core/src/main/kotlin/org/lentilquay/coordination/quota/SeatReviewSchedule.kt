/*
 * When a VM reviews the quota seats, the equal shares of every team's token bucket. A review reads all seat records
 * from the table service. Seats move only when VMs join or depart, so a fleet without changes is reviewed less often.
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.VmId

/** The interval between reviews in renewals of a member record, after a change of the fleet and without one. */
private const val RENEWALS_AFTER_CHANGE = 2
private const val RENEWALS_WITHOUT_CHANGE = 6

/** Reviews at the short interval after a change: VMs release seats in one review and others take them in the next. */
private const val REVIEWS_AFTER_CHANGE = 4

/** How early a review may be, because the ticks that check the schedule are not exact. */
private const val TICK_TOLERANCE_MILLIS = 500L

/** The review that follows a new era reads the table some time after the schedule has seen the era. */
private const val NEW_ERA_MARGIN_MILLIS = 250L

class SeatReviewSchedule(private var reviewedAt: Long) {
    private var live: Set<VmId> = emptySet()
    private var departed: Set<VmId> = emptySet()
    private var fastReviewsLeft = REVIEWS_AFTER_CHANGE
    private var era: Long? = null
    private var newEraEndsAt: Long? = null

    /**
     * Whether the caller has to review the seats now. [members] are the VMs of the fleet, [lost] those that have
     * departed; member records are renewed every [renewalMillis].
     */
    fun isDue(members: Set<VmId>, lost: Set<VmId>, renewalMillis: Long, now: Long, era: Long? = null): Boolean {
        if (isDueByEra(era, now)) {
            reviewedAt = now
            fastReviewsLeft = REVIEWS_AFTER_CHANGE
            return true
        }
        if (members != live || lost != departed) fastReviewsLeft = REVIEWS_AFTER_CHANGE
        live = members
        departed = lost
        val renewals = if (fastReviewsLeft > 0) RENEWALS_AFTER_CHANGE else RENEWALS_WITHOUT_CHANGE
        if (now - reviewedAt < renewals * renewalMillis - TICK_TOLERANCE_MILLIS) return false
        reviewedAt = now
        if (fastReviewsLeft > 0) fastReviewsLeft--
        return true
    }

    /** Whether the table service is in a new [era], or the time has ended in which no seats are taken after that. */
    private fun isDueByEra(era: Long?, now: Long): Boolean {
        if (era != this.era) {
            this.era = era
            newEraEndsAt = now + NEW_ERA_MILLIS
            return true
        }
        if (newEraEndsAt?.let { now < it + NEW_ERA_MARGIN_MILLIS } != false) return false
        newEraEndsAt = null
        return true
    }
}
