/*
 * Limits the number of granted runs (docs/design.md, sections 4.1, 4.2 and 4.11). Two limits always hold: unconfirmed
 * runs stay within the cold limit, and runs in flight within the in-flight limit, or within the cold limit while the
 * server is not known to be warm. A new owner and an owner with unconfirmed ownership use half the in-flight limit, so
 * that two VMs that both act as the owner stay within it together.
 */
package org.lentilquay.coordination.allocation.internal

/** Computes the number of runs that may be granted on a server. */
internal class Admission(
    private val ownership: Ownership,
    private val process: ServerProcess,
    private val runs: GrantedRuns,
) {
    /** The number of runs that may be granted now. */
    fun freeGrants(now: Long): Int {
        if (!ownership.mayGrant(now) || process.isPaused(now) || process.isLeaving) return 0
        val freeUnconfirmed = process.coldLimit - runs.unconfirmed
        return minOf(freeUnconfirmed, freeInFlight(now)).coerceAtLeast(0)
    }

    /** The limit on requests in flight that applies now. */
    fun limit(now: Long): Int = when {
        ownership.isUnconfirmed || !ownership.isSettled(now) -> if (process.isKnownWarm) process.warmLimit / 2 else 0
        else -> process.inFlightLimit
    }

    private fun freeInFlight(now: Long): Int = when {
        ownership.isUnconfirmed -> limit(now) - runs.inFlight
        !ownership.isSettled(now) -> minOf(limit(now) - runs.ownInFlight, process.inFlightLimit - runs.inFlight)
        else -> limit(now) - runs.inFlight
    }
}
