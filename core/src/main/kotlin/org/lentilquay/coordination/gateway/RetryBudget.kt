/*
 * The part of the fleet's budget for repeated sends that one VM may use, for each service. In any window of the bound's
 * length, a VM repeats at most a share of the requests that it took in that time, and an equal part of the fixed
 * allowance, so the sum over all VMs holds without messages. Requests are counted whether or not repeats follow at
 * once: the failures of a fleet come together. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

/** The bounds on repeated sends over all VMs: [ratio] for each request, and [allowance] more in [windowMillis]. */
data class RetryBounds(val ratio: Double, val allowance: Double, val windowMillis: Long)

/** The part of the ratio that is used; the rest covers sends that are counted by the server but not by this VM. */
private const val RATIO_PART = 0.7

/** The part of the allowance that is used: a process that starts again knows nothing of its former one's repeats. */
private const val ALLOWANCE_PART = 0.35

/** Counts are kept for this many parts of a window. */
private const val PARTS = 20

class RetryBudget(private val bounds: RetryBounds) {
    private val services = HashMap<String, Counts>()
    private var allowance = 1.0

    private class Counts {
        /** Requests and repeated sends by the number of their part. */
        val requests = HashMap<Long, Int>()
        val repeats = HashMap<Long, Int>()
    }

    /** Adjusts the part of this VM to the number of VMs. */
    fun membersChanged(count: Int) {
        allowance = (bounds.allowance * ALLOWANCE_PART / count.coerceAtLeast(1)).coerceAtLeast(1.0)
    }

    /** Notes a request for [service]. */
    fun recordRequest(service: String, now: Long) {
        counts(service, now).requests.merge(partOf(now), 1, Int::plus)
    }

    /** Takes one repeated send to [service], or returns false if there is none left. */
    fun tryAcquire(service: String, now: Long): Boolean {
        val counts = counts(service, now)
        val bound = bounds.ratio * RATIO_PART * counts.requests.values.sum() + allowance
        if (counts.repeats.values.sum() + 1 > bound) return false
        counts.repeats.merge(partOf(now), 1, Int::plus)
        return true
    }

    /** The counts of [service], without what is older than a window. */
    private fun counts(service: String, now: Long): Counts = services.getOrPut(service) { Counts() }.also { counts ->
        val oldest = partOf(now) - PARTS
        // A part that has only partly passed counts whole for repeats, and not at all for requests.
        counts.requests.keys.removeIf { it <= oldest }
        counts.repeats.keys.removeIf { it < oldest }
    }

    private fun partOf(now: Long): Long = now / (bounds.windowMillis / PARTS).coerceAtLeast(1)
}
