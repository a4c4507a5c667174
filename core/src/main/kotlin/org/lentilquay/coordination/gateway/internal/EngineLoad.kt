/*
 * How many requests one engine has, as the VM in control of it knows: what the engine last reported, and the requests
 * that VMs began and ended there since. Uses alone do not tell, because a lost VM never ends its own and a new
 * controller does not know those before it. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

/** How old the figures in a report may be when it is asked for; the platform says some hundred milliseconds. */
private const val REPORT_AGE_MILLIS = 300L

/** Begins and ends are forgotten after this time, also when no report comes: the longest time of a request. */
private const val CHANGE_MILLIS = 12_000L

internal class EngineLoad {
    private class Change(val at: Long, val requests: Int)

    private val changes = ArrayDeque<Change>()
    private var isReported = false

    /** Requests running and waiting at the last report. */
    var running: Int = 0
        private set
    var queued: Int = 0
        private set

    /** Takes in a report that was asked for at [askedAt]. */
    fun applyReport(running: Int, queued: Int, askedAt: Long) {
        this.running = running
        this.queued = queued
        isReported = true
        forgetUntil(askedAt - REPORT_AGE_MILLIS)
    }

    fun began(now: Long) = changed(1, now)

    fun ended(now: Long) = changed(-1, now)

    /** The requests on the engine; 0 while nothing is known of it. */
    fun requests(now: Long): Int {
        forgetUntil(now - CHANGE_MILLIS)
        return if (isReported) (running + queued + changes.sumOf { it.requests }).coerceAtLeast(0) else 0
    }

    private fun changed(requests: Int, now: Long) {
        changes.addLast(Change(now, requests))
        forgetUntil(now - CHANGE_MILLIS)
    }

    private fun forgetUntil(time: Long) {
        while (changes.isNotEmpty() && changes.first().at < time) changes.removeFirst()
    }
}
