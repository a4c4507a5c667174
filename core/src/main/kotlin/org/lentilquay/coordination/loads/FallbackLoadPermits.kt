/*
 * The load permits that a VM grants itself while it cannot reach the owner of the weight store: an equal part of the
 * load rate, one load at a time. If all members are cut off from the owner, they stay within the rate together. Times
 * are monotonic milliseconds.
 */
package org.lentilquay.coordination.loads

private const val MILLIS_PER_SECOND = 1_000L

class FallbackLoadPermits(private val ratePerSecond: Int) {
    private var lastStart: Long? = null
    private var activeLoad: String? = null
    private var activeSince = 0L

    /** Answers a request for [loadId] while [members] VMs share the weight store. Idempotent. */
    fun request(loadId: String, members: Int, now: Long): LoadPermitAnswer {
        if (activeLoad != null && now - activeSince > LOAD_PERMIT_EXPIRY_MILLIS) activeLoad = null
        val nextStart = lastStart?.let { it + intervalMillis(members) } ?: now
        return when {
            activeLoad == loadId -> LoadPermitAnswer(true, 0)
            ratePerSecond <= 0 || activeLoad != null -> LoadPermitAnswer(false, LOAD_POLL_MILLIS)
            now < nextStart -> LoadPermitAnswer(false, nextStart - now)
            else -> {
                lastStart = now
                activeSince = now
                activeLoad = loadId
                LoadPermitAnswer(true, 0)
            }
        }
    }

    /** Returns the permit of [loadId]. */
    fun done(loadId: String) {
        if (activeLoad == loadId) activeLoad = null
    }

    /** The owner became unreachable at [now]. The first load waits: the owner may just have granted a permit. */
    fun ownerLost(now: Long) {
        lastStart = now
    }

    /** The interval is rounded up so that the members together stay within the rate. */
    private fun intervalMillis(members: Int): Long =
        (members.coerceAtLeast(1) * MILLIS_PER_SECOND + ratePerSecond - 1) / ratePerSecond
}
