/*
 * The permits to load adapters from one weight store, as its owner gives them out: at most [ratePerSecond] starts in
 * any second and at most [parallel] at a time. Requests are repeated by their load id while they wait; the adapter with
 * the most waiting requests comes first, then the load that has waited longest. Times are monotonic milliseconds.
 * Docs: docs/design.md, section 4.10.
 */
package org.lentilquay.coordination.loads

import org.lentilquay.state.VmId

/** A permit that is neither returned nor asked for again within this time is taken to be lost. */
const val LOAD_PERMIT_EXPIRY_MILLIS: Long = 10_000

/** A waiting load that is not asked for again within this time is forgotten. */
const val LOAD_REQUEST_EXPIRY_MILLIS: Long = 1_000

/**
 * How long a new owner of the store gives nothing. It does not know the starts of its predecessor; this is the window
 * of the rate, and covers the usual load of 0.25 s.
 */
const val LOAD_TAKEOVER_WAIT_MILLIS: Long = 1_000

/** The advised interval between two requests for the same load. */
const val LOAD_POLL_MILLIS: Long = 100

/** A returned load id is refused for this time, so that a late duplicate of its request gets no second permit. */
const val RETURNED_LOAD_MEMORY_MILLIS: Long = 30_000

private const val MILLIS_PER_SECOND = 1_000L

/** The answer to a request for a permit. */
data class LoadPermitAnswer(val isGranted: Boolean, val retryAfterMillis: Long)

class LoadPermits(private val ratePerSecond: Int, private val parallel: Int, ownedSince: Long) {
    private class Waiting(val holder: VmId, val since: Long, val requests: Int, val lastAsked: Long)

    private class Permit(val holder: VmId, val renewedAt: Long)

    private val opensAt = ownedSince + LOAD_TAKEOVER_WAIT_MILLIS
    private val waiting = LinkedHashMap<String, Waiting>()
    private val active = HashMap<String, Permit>()
    private val starts = ArrayDeque<Long>()
    private val returned = LinkedHashMap<String, Long>()

    /** Loads that hold a permit. */
    val activeCount: Int get() = active.size

    /**
     * Answers a request of [holder] for [loadId], for whose adapter [waitingRequests] requests wait. Repeating it is
     * harmless.
     */
    fun request(loadId: String, holder: VmId, waitingRequests: Int, now: Long): LoadPermitAnswer {
        expire(now)
        if (loadId in active) {
            active[loadId] = Permit(holder, now)
            return GRANTED
        }
        if (loadId in returned) return LoadPermitAnswer(false, LOAD_POLL_MILLIS)
        waiting[loadId] = Waiting(holder, waiting[loadId]?.since ?: now, waitingRequests, now)
        return if (grantFree(now) { it == loadId }.isEmpty()) LoadPermitAnswer(false, LOAD_POLL_MILLIS) else GRANTED
    }

    /**
     * Grants what is free now to the first of the waiting loads and returns those that got a permit. A load for which
     * [isPolling] is false keeps its turn, but gets nothing until it asks again: its VM may be gone.
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
        val asked = waiting.remove(loadId) ?: return
        active[loadId] = Permit(asked.holder, now)
        starts.addLast(now)
    }

    /** Takes back the permit of [loadId], or its request. Repeating it is harmless. */
    fun done(loadId: String, now: Long) {
        waiting.remove(loadId)
        active.remove(loadId)
        returned[loadId] = now
    }

    /**
     * Takes back what a VM that died holds. Death is seen after 2 s without an answer, by when a usual load has ended;
     * waiting for the expiry would block places of the store for 10 s after each crash.
     */
    fun memberGone(vm: VmId, now: Long) = active.filterValues { it.holder == vm }.keys.forEach { done(it, now) }

    private fun freePermits(now: Long): Int =
        if (now < opensAt) 0 else minOf(parallel - active.size, ratePerSecond - starts.size).coerceAtLeast(0)

    private fun expire(now: Long) {
        active.values.removeAll { now - it.renewedAt > LOAD_PERMIT_EXPIRY_MILLIS }
        waiting.values.removeAll { now - it.lastAsked > LOAD_REQUEST_EXPIRY_MILLIS }
        returned.values.removeAll { now - it > RETURNED_LOAD_MEMORY_MILLIS }
        while (starts.isNotEmpty() && now - starts.first() >= MILLIS_PER_SECOND) starts.removeFirst()
    }

    private companion object {
        val GRANTED = LoadPermitAnswer(true, 0)
    }
}
