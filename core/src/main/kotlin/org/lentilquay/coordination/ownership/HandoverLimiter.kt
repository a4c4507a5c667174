/*
 * Limits how often a VM gives resources to better-ranked members, so that a VM that joins a large fleet does not move
 * many backend servers through their waiting times at once. Times are milliseconds.
 */
package org.lentilquay.coordination.ownership

/** The least time between two hand-overs of one VM. */
const val HAND_OVER_INTERVAL_MILLIS: Long = 2_000

class HandoverLimiter {
    private var lastAt: Long? = null

    /** Whether a hand-over may start at [now]; if so, the next one has to wait. */
    fun tryStart(now: Long): Boolean {
        val isAllowed = lastAt?.let { now - it >= HAND_OVER_INTERVAL_MILLIS } ?: true
        if (isAllowed) lastAt = now
        return isAllowed
    }
}
