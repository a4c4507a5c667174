/*
 * The load permits that the owner of a weight store grants: at most [ratePerSecond] starts in any second and at most
 * [parallel] loads at a time. VMs poll with a load id while a load waits. The load with the most waiting requests comes
 * first, then the one that has waited longest (docs/design.md, section 4.10). Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.loads

import org.lentilquay.state.VmId

/** A permit that is neither returned nor requested again within this time expires. */
const val LOAD_PERMIT_EXPIRY_MILLIS: Long = 10_000

/** A waiting load that is not requested again within this time is dropped. */
const val LOAD_REQUEST_EXPIRY_MILLIS: Long = 1_000

/**
 * A new owner grants nothing for this long, because it does not know the loads that its predecessor permitted. Equals
 * the window of the rate, and is longer than the usual load of 0.25 s.
 */
const val LOAD_TAKEOVER_WAIT_MILLIS: Long = 1_000

/** The interval at which a VM repeats the request for a waiting load. */
const val LOAD_POLL_MILLIS: Long = 100

/** A returned load id is refused for this long, so that a late duplicate of its request gets no second permit. */
const val RETURNED_LOAD_EXPIRY_MILLIS: Long = 30_000

private const val MILLIS_PER_SECOND = 1_000L

/** The answer to a request for a load permit. */
data class LoadPermitAnswer(val isGranted: Boolean, val retryAfterMillis: Long)

class LoadPermits(private val ratePerSecond: Int, private val parallel: Int, ownedSince: Long) {
    private class Waiting(val requester: VmId, val since: Long, val requests: Int, val polledAt: Long)

    private class Permit(val requester: VmId, val renewedAt: Long)

    private val opensAt = ownedSince + LOAD_TAKEOVER_WAIT_MILLIS
    private val waiting = LinkedHashMap<String, Waiting>()
    private val active = HashMap<String, Permit>()
    private val starts = ArrayDeque<Long>()
    private val returned = LinkedHashMap<String, Long>()

    /** The number of loads with a permit. */
    val activeCount: Int get() = active.size

    /**
     * Answers a request of [requester] for [loadId], whose adapter has [waitingRequests] waiting requests. Idempotent.
     */
    fun request(loadId: String, requester: VmId, waitingRequests: Int, now: Long): LoadPermitAnswer {
        expire(now)
        if (loadId in active) {
            active[loadId] = Permit(requester, now)
            return GRANTED
        }
        if (loadId in returned) return LoadPermitAnswer(false, LOAD_POLL_MILLIS)
        waiting[loadId] = Waiting(requester, waiting[loadId]?.since ?: now, waitingRequests, now)
        return if (grantFree(now) { it == loadId }.isEmpty()) LoadPermitAnswer(false, LOAD_POLL_MILLIS) else GRANTED
    }

    /**
     * Grants the free permits to the first waiting loads and returns the granted load ids. A load for which [isPolling]
     * is false keeps its turn but gets no permit until it is polled again, because its VM may have crashed.
     */
    fun grantFree(now: Long, isPolling: (String) -> Boolean): List<String> {
        expire(now)
        val free = freePermits(now)
        if (free == 0) return emptyList()
        return waiting.entries
            .sortedWith(compareByDescending<Map.Entry<String, Waiting>> { it.value.requests }.thenBy { it.value.since })
            .take(free)
            .map { it.key }
            .filter(isPolling)
            .onEach { grant(it, now) }
    }

    private fun grant(loadId: String, now: Long) {
        val queued = waiting.remove(loadId) ?: return
        active[loadId] = Permit(queued.requester, now)
        starts.addLast(now)
    }

    /** Returns the permit of [loadId] or withdraws its request. Idempotent. */
    fun done(loadId: String, now: Long) {
        waiting.remove(loadId)
        active.remove(loadId)
        returned[loadId] = now
    }

    /**
     * Takes back the permits of a VM that crashed. A crash is detected after 2 s without an answer, by which
     * time a usual load has ended. Waiting for the expiry would block permits for 10 s after each crash.
     */
    fun memberGone(vm: VmId, now: Long) = active.filterValues { it.requester == vm }.keys.forEach { done(it, now) }

    private fun freePermits(now: Long): Int =
        if (now < opensAt) 0 else minOf(parallel - active.size, ratePerSecond - starts.size).coerceAtLeast(0)

    private fun expire(now: Long) {
        active.values.removeAll { now - it.renewedAt > LOAD_PERMIT_EXPIRY_MILLIS }
        waiting.values.removeAll { now - it.polledAt > LOAD_REQUEST_EXPIRY_MILLIS }
        returned.values.removeAll { now - it > RETURNED_LOAD_EXPIRY_MILLIS }
        while (starts.isNotEmpty() && now - starts.first() >= MILLIS_PER_SECOND) starts.removeFirst()
    }

    private companion object {
        val GRANTED = LoadPermitAnswer(true, 0)
    }
}
