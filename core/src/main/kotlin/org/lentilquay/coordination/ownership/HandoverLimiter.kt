/*
 * Limits how often a VM hands ownership over to better-ranked members. Without the limit, a VM that joins a large fleet
 * would put many backend servers into the takeover wait of a new owner at once. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.ownership

/** The minimum interval between two handovers by one VM. */
const val MINIMUM_HANDOVER_INTERVAL_MILLIS: Long = 2_000

class HandoverLimiter {
    private var lastAt: Long? = null

    /** Whether a handover may start at [now]; if so, it counts as started. */
    fun tryStart(now: Long): Boolean {
        val isAllowed = lastAt?.let { now - it >= MINIMUM_HANDOVER_INTERVAL_MILLIS } ?: true
        if (isAllowed) lastAt = now
        return isAllowed
    }
}
