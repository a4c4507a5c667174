/*
 * The retry budget of one VM for each service. In any window, a VM retries at most a ratio of the requests that it
 * received in that window, plus an equal part of the fleet's fixed allowance. The sum over all VMs thus stays within
 * the fleet's bound without messages between them. Requests of the whole window count, not only the newest, because
 * the failures of a fleet come in bursts. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

/** The bound on retries over all VMs in [windowMillis]: [ratio] for each request, plus a fixed [allowance]. */
data class RetryBounds(val ratio: Double, val allowance: Double, val windowMillis: Long)

/** Fraction of the ratio that is used; the rest covers retries that the server counts and this VM does not. */
private const val USED_RATIO_FRACTION = 0.7

/** Fraction of the allowance that is used; a restarted process does not know the retries of its predecessor. */
private const val USED_ALLOWANCE_FRACTION = 0.35

/** Counters per window. */
private const val BUCKETS_PER_WINDOW = 20

class RetryBudget(private val bounds: RetryBounds) {
    private val services = HashMap<String, Counts>()
    private var allowance = 1.0

    private class Counts {
        /** Requests and retries by the number of their bucket. */
        val requests = HashMap<Long, Int>()
        val retries = HashMap<Long, Int>()
    }

    /** Adjusts this VM's part of the allowance to [count] VMs. */
    fun membersChanged(count: Int) {
        allowance = (bounds.allowance * USED_ALLOWANCE_FRACTION / count.coerceAtLeast(1)).coerceAtLeast(1.0)
    }

    /** Counts a request for [service]. */
    fun recordRequest(service: String, now: Long) {
        counts(service, now).requests.merge(bucketOf(now), 1, Int::plus)
    }

    /** Takes one retry for [service] from the budget; returns false if the budget is used up. */
    fun tryAcquire(service: String, now: Long): Boolean {
        val counts = counts(service, now)
        val bound = bounds.ratio * USED_RATIO_FRACTION * counts.requests.values.sum() + allowance
        if (counts.retries.values.sum() + 1 > bound) return false
        counts.retries.merge(bucketOf(now), 1, Int::plus)
        return true
    }

    /** The counts of [service] in the last window. */
    private fun counts(service: String, now: Long): Counts = services.getOrPut(service) { Counts() }.also { counts ->
        val oldest = bucketOf(now) - BUCKETS_PER_WINDOW
        // The bucket that is only partly inside the window counts in full for retries, and not at all for requests.
        counts.requests.keys.removeIf { it <= oldest }
        counts.retries.keys.removeIf { it < oldest }
    }

    private fun bucketOf(now: Long): Long = now / (bounds.windowMillis / BUCKETS_PER_WINDOW).coerceAtLeast(1)
}
