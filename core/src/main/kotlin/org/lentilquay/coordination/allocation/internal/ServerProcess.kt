/*
 * The owner's view of the process on a backend server: its incarnation, whether it is warm, and its limits. A server
 * may enter a cold start without notice. From the first sign of that it does not count as warm, until a later report of
 * the current incarnation says that it is warm (docs/design.md, section 4.11).
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.state.BackendServer

/** The state of the server's process. */
internal class ServerProcess(private val policy: AllocatorPolicy, var server: BackendServer) {
    var incarnation: Long? = null
        private set
    var isKnownWarm: Boolean = false
        private set
    var hasReport: Boolean = false
        private set
    private var reportedSlots: Int? = null
    private var reportedMaximum: Int? = null
    private var lastReportEngineTime: Long = Long.MIN_VALUE

    /** Time of the last sign of a cold start. */
    private var coldSignAt: Long = Long.MIN_VALUE
    private var pausedUntil: Long = Long.MIN_VALUE
    private var reportsLeaving = false

    /** When an answer said that the process is leaving; a report that was taken later may say that it stays. */
    private var saidLeavingAt: Long? = null
    val isLeaving: Boolean get() = reportsLeaving || saidLeavingAt != null

    val slotLimit: Int get() = reportedSlots ?: server.adapterSlots
    val coldLimit: Int get() = server.coldInFlight
    val warmLimit: Int get() = reportedMaximum?.let { minOf(it, server.maximumInFlight) } ?: server.maximumInFlight

    /** The limit on requests in flight. */
    val inFlightLimit: Int get() = if (isKnownWarm) warmLimit else minOf(coldLimit, warmLimit)

    /** Handles the incarnation in an answer or report; returns whether the server restarted. */
    fun observeIncarnation(observed: Long, now: Long): Boolean {
        val known = incarnation
        if (known != null && observed <= known) return false
        incarnation = observed
        if (known == null) return false
        suspectColdStart(now)
        reportsLeaving = false
        saidLeavingAt = null
        hasReport = false
        lastReportEngineTime = Long.MIN_VALUE
        return true
    }

    /** Whether [report] is of the current incarnation and newer than the last one. */
    fun isNewer(report: LoadReport): Boolean =
        report.incarnation == incarnation && report.asOfMillis > lastReportEngineTime

    /** Applies a report that [isNewer]; [takenAt] is the earliest time at which it was taken, or null if unknown. */
    fun accept(report: LoadReport, takenAt: Long?, now: Long) {
        hasReport = true
        lastReportEngineTime = report.asOfMillis
        if (report.slots > 0) reportedSlots = report.slots
        if (report.maximumInFlight > 0) reportedMaximum = report.maximumInFlight
        reportsLeaving = report.state == EngineState.LEAVING
        if (saidLeavingAt?.let { isTakenAfter(it, takenAt, now) } == true) saidLeavingAt = null
        val isAfterColdSign = coldSignAt == Long.MIN_VALUE || isTakenAfter(coldSignAt, takenAt, now)
        when (report.state) {
            EngineState.WARM -> if (isAfterColdSign) isKnownWarm = true
            EngineState.COLD -> isKnownWarm = false
            EngineState.LEAVING -> Unit
        }
    }

    /** Whether a report was taken after [since]. If [takenAt] is not known, it must have come later than its lag. */
    private fun isTakenAfter(since: Long, takenAt: Long?, now: Long): Boolean =
        if (takenAt != null) takenAt > since else now - since > maximumLag

    fun suspectColdStart(now: Long) {
        isKnownWarm = false
        coldSignAt = now
    }

    /** Pauses grants after the server answered that it is overloaded. */
    fun pause(now: Long) {
        pausedUntil = maxOf(pausedUntil, now + policy.overloadPauseMillis)
    }

    /** Applies what an answer of this process said of the server. */
    fun noticed(isLeaving: Boolean, pauseMillis: Long, now: Long) {
        if (isLeaving) saidLeavingAt = now
        pausedUntil = maxOf(pausedUntil, now + pauseMillis)
    }

    fun isPaused(now: Long): Boolean = now < pausedUntil

    private val maximumLag: Long get() = policy.reportLagMillis
}
