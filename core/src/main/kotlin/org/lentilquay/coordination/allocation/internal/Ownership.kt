/*
 * The rights of the owner of a backend server: ownership claims, the takeover wait, unconfirmed ownership, and the
 * offset between the engine's clock and the local clock (docs/design.md, sections 4.1 and 4.2). Times are monotonic
 * milliseconds of this VM unless they are called engine times.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.coordination.allocation.AllocatorState

/** Decides whether grants, orders and evictions are allowed. */
internal class Ownership(private val policy: AllocatorPolicy, var checksFencing: Boolean, acquiredAt: Long) {
    var isDeposed: Boolean = false
        private set

    /**
     * Whether the ownership is unconfirmed, because the lease of this VM expired or the VM was suspended; only for
     * servers that ignore fencing numbers.
     */
    var isUnconfirmed: Boolean = false

    /** Whether every VM in the VM list has acknowledged the fencing number; for servers that ignore fencing numbers. */
    var isAcknowledgedByAll: Boolean = false

    /** End of the takeover wait of a new owner. */
    var takeoverEndsAt: Long = acquiredAt + policy.takeoverWaitMillis
        private set

    private var claimSentAt: Long? = null
    private var acceptClaimsSentFrom: Long = Long.MIN_VALUE

    fun claimSucceeded(sentAt: Long) {
        if (sentAt >= acceptClaimsSentFrom) claimSentAt = maxOf(sentAt, claimSentAt ?: sentAt)
    }

    fun depose() {
        isDeposed = true
    }

    /** Restarts the takeover wait after a suspension. Claims that were sent before [now] do not count any more. */
    fun restart(now: Long) {
        takeoverEndsAt = now + policy.takeoverWaitMillis
        claimSentAt = null
        acceptClaimsSentFrom = now
        if (!checksFencing) isUnconfirmed = true
    }

    /** Whether the takeover wait has ended. */
    fun isSettled(now: Long): Boolean = now >= takeoverEndsAt

    fun mayGrant(now: Long): Boolean = !isDeposed && (!checksFencing || hasValidClaim(now))

    fun mayOrder(now: Long): Boolean = mayGrant(now) && (checksFencing || !isUnconfirmed)

    fun mayEvict(now: Long): Boolean = mayOrder(now) && isSettled(now) && (checksFencing || isAcknowledgedByAll)

    fun state(now: Long): AllocatorState = when {
        isDeposed -> AllocatorState.DEPOSED
        !mayGrant(now) -> AllocatorState.UNCLAIMED
        isUnconfirmed && !checksFencing -> AllocatorState.IN_DOUBT
        !isSettled(now) -> AllocatorState.TAKEOVER
        else -> AllocatorState.OWNING
    }

    private fun hasValidClaim(now: Long): Boolean =
        claimSentAt.let { it != null && now - it < policy.claimValidityMillis }
}

/** Uses answers to claims to compute the earliest local time at which a report of the engine was taken. */
internal class EngineClock {
    private var offset: Long? = null
    private var acceptClaimsSentAfter: Long = Long.MIN_VALUE

    /** The engine read [engineTime] after [sentAt], so `sentAt - engineTime` is a lower bound of the clock offset. */
    fun observe(sentAt: Long, engineTime: Long) {
        if (sentAt > acceptClaimsSentAfter) offset = sentAt - engineTime
    }

    /** Drops the offset, because a new process of the engine has another clock. */
    fun reset(now: Long) {
        offset = null
        acceptClaimsSentAfter = now
    }

    /** A lower bound of the local time of a report, or null if it is unknown or later than [now]. */
    fun earliestLocalTime(engineTime: Long, now: Long): Long? = offset?.let { engineTime + it }?.takeIf { it <= now }
}
