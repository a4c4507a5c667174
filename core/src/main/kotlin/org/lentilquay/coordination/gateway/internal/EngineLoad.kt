/*
 * Estimates the number of requests on one engine for its controller: the number in the last report, plus the requests
 * that VMs started and minus those that ended since. Counting starts and ends alone is not enough: a VM that crashed
 * never reports an end, and a new controller does not know earlier starts. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

/** Age of the figures in a report when it is requested; the platform allows a few hundred milliseconds. */
private const val REPORT_AGE_MILLIS = 300L

/** Starts and ends are dropped after this, also if no report comes: the longest time of a request. */
private const val CHANGE_EXPIRY_MILLIS = 12_000L

internal class EngineLoad {
    /** Requests that started, or a negative number of requests that ended. */
    private class Change(val at: Long, val requests: Int)

    private val changes = ArrayDeque<Change>()
    private var hasReport = false

    /** Requests running on the engine, and waiting in its queue, at the last report. */
    var running: Int = 0
        private set
    var queued: Int = 0
        private set

    /** Applies a report that was requested at [requestedAt]. */
    fun applyReport(running: Int, queued: Int, requestedAt: Long) {
        this.running = running
        this.queued = queued
        hasReport = true
        dropBefore(requestedAt - REPORT_AGE_MILLIS)
    }

    fun requestStarted(now: Long) = addChange(1, now)

    fun requestEnded(now: Long) = addChange(-1, now)

    /** The estimated number of requests on the engine; 0 before the first report. */
    fun requests(now: Long): Int {
        dropBefore(now - CHANGE_EXPIRY_MILLIS)
        return if (hasReport) (running + queued + changes.sumOf { it.requests }).coerceAtLeast(0) else 0
    }

    private fun addChange(requests: Int, now: Long) {
        changes.addLast(Change(now, requests))
        dropBefore(now - CHANGE_EXPIRY_MILLIS)
    }

    private fun dropBefore(time: Long) {
        while (changes.isNotEmpty() && changes.first().at < time) changes.removeFirst()
    }
}
