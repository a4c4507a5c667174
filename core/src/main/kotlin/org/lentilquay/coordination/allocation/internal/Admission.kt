/*
 * How many runs may be granted at a moment (docs/design.md, sections 4.1, 4.2 and 4.11). Two limits hold at all times:
 * unconfirmed runs are at most the cold limit, and runs in flight are at most the in-flight limit, or the cold limit
 * while the server is not known to be warm. A new owner and an owner in doubt use half the in-flight limit, so that
 * two VMs that both believe to be the owner stay inside it together.
 */
package org.lentilquay.coordination.allocation.internal

/** Counts the free places of a server. */
internal class Admission(
    private val ownership: Ownership,
    private val health: ServerHealth,
    private val runs: RunLedger,
) {
    /** Grants that are possible now. */
    fun places(now: Long): Int {
        if (!ownership.mayGrant(now) || health.isPaused(now) || health.isLeaving) return 0
        val confirmedEnough = health.coldLimit - runs.unconfirmed
        return minOf(confirmedEnough, placesInFlight(now)).coerceAtLeast(0)
    }

    /** The limit on requests in flight as it counts now. */
    fun limit(now: Long): Int = when {
        ownership.isInDoubt || !ownership.isSettled(now) -> if (health.isKnownWarm) health.warmLimit / 2 else 0
        else -> health.inFlightLimit
    }

    private fun placesInFlight(now: Long): Int = when {
        ownership.isInDoubt -> limit(now) - runs.inFlight
        !ownership.isSettled(now) -> minOf(limit(now) - runs.ownInFlight, health.inFlightLimit - runs.inFlight)
        else -> limit(now) - runs.inFlight
    }
}
