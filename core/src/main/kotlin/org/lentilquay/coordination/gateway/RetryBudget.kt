/*
 * The part of the fleet's budget for repeated sends that one VM may use, for each service: every request adds a share,
 * every repeated send takes one. Each VM uses only its part of the fixed allowance, so the sum over all VMs holds
 * without messages. Single-threaded use.
 */
package org.lentilquay.coordination.gateway

/** The bounds on repeated sends over all VMs: [ratio] for each request, and [allowance] more in a window. */
data class RetryBounds(val ratio: Double, val allowance: Double)

/** The part of the bounds that is used; the rest covers sends that are counted by the server but not by this VM. */
private const val USED_PART = 0.7

class RetryBudget(private val bounds: RetryBounds) {
    private val credits = HashMap<String, Double>()
    private var cap = bounds.allowance * USED_PART / 2

    /** Adjusts the part of this VM to the number of VMs. */
    fun membersChanged(count: Int) {
        // A full credit can be spent at the end of one window and once more in the next.
        cap = (bounds.allowance * USED_PART / 2 / count.coerceAtLeast(1)).coerceAtLeast(1.0)
    }

    /** Notes a request for [service]. */
    fun requested(service: String) {
        credits[service] = minOf(cap, (credits[service] ?: cap) + bounds.ratio * USED_PART)
    }

    /** Takes one repeated send to [service], or returns false if there is none left. */
    fun take(service: String): Boolean {
        val credit = credits[service] ?: cap
        if (credit < 1) return false
        credits[service] = credit - 1
        return true
    }
}
