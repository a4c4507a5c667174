/*
 * What the owner may do at a given time: claims, the waiting time after a takeover, doubt about a lease, and the
 * relation between the engine's clock and the local clock. Times are monotonic milliseconds of this VM unless they are
 * called engine times. The rules are those of docs/design.md, sections 4.1 and 4.2.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.AllocatorState

/** Decides whether grants, orders and evictions are allowed. */
internal class Ownership(private val policy: AllocatorPolicy, var checksFencing: Boolean, acquiredAt: Long) {
    var isDeposed: Boolean = false
        private set
    var isInDoubt: Boolean = false

    /** Set when every listed VM has acknowledged the fence of a server that ignores fencing numbers. */
    var isAcknowledgedByAll: Boolean = false

    /** End of the waiting time of a new owner. */
    var settledAt: Long = acquiredAt + policy.takeoverWaitMillis
        private set

    private var claimSentAt: Long? = null
    private var acceptClaimsSentFrom: Long = Long.MIN_VALUE

    fun claimSucceeded(sentAt: Long) {
        if (sentAt >= acceptClaimsSentFrom) claimSentAt = maxOf(sentAt, claimSentAt ?: sentAt)
    }

    fun depose() {
        isDeposed = true
    }

    /** Starts the waiting time again. A claim sent before [now] proves nothing about the time of the pause. */
    fun restart(now: Long) {
        settledAt = now + policy.takeoverWaitMillis
        claimSentAt = null
        acceptClaimsSentFrom = now
        if (!checksFencing) isInDoubt = true
    }

    fun isSettled(now: Long): Boolean = now >= settledAt

    fun mayGrant(now: Long): Boolean = !isDeposed && (!checksFencing || hasValidClaim(now))

    fun mayOrder(now: Long): Boolean = mayGrant(now) && (checksFencing || !isInDoubt)

    fun mayEvict(now: Long): Boolean = mayOrder(now) && isSettled(now) && (checksFencing || isAcknowledgedByAll)

    fun state(now: Long): AllocatorState = when {
        isDeposed -> AllocatorState.DEPOSED
        !mayGrant(now) -> AllocatorState.UNCLAIMED
        isInDoubt && !checksFencing -> AllocatorState.IN_DOUBT
        !isSettled(now) -> AllocatorState.TAKEOVER
        else -> AllocatorState.OWNING
    }

    private fun hasValidClaim(now: Long): Boolean =
        claimSentAt.let { it != null && now - it < policy.claimValidityMillis }
}

/** Derives from claim answers the earliest local time at which a report of the engine can have been taken. */
internal class EngineClock {
    private var offset: Long? = null
    private var acceptClaimsSentAfter: Long = Long.MIN_VALUE

    /** The engine read [engineTime] at some moment after [sentAt], so `sentAt - engineTime` is a lower bound. */
    fun observe(sentAt: Long, engineTime: Long) {
        if (sentAt > acceptClaimsSentAfter) offset = sentAt - engineTime
    }

    /** Forgets the relation, because a new process of the engine has another clock. */
    fun reset(now: Long) {
        offset = null
        acceptClaimsSentAfter = now
    }

    /** A lower bound of the local time of a report, or null if it is not known or contradicts [now]. */
    fun earliestLocalTime(engineTime: Long, now: Long): Long? = offset?.let { engineTime + it }?.takeIf { it <= now }
}
