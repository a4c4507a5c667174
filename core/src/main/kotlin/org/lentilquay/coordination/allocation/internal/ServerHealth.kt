/*
 * What is known about the process on a backend server: its incarnation, whether it is warm, and its limits. A server
 * that silently fell into a cold start is treated as not known to be warm from the first sign on, until a report of
 * the current incarnation that was taken later says warm (docs/design.md, section 4.11).
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.state.BackendServer

/** The state of the server's process. */
internal class ServerHealth(private val policy: AllocatorPolicy, var server: BackendServer) {
    var incarnation: Long? = null
        private set
    var isKnownWarm: Boolean = false
        private set
    var isLeaving: Boolean = false
        private set
    var hasReport: Boolean = false
        private set
    private var reportedSlots: Int? = null
    private var reportedMaximum: Int? = null
    private var lastReportEngineTime: Long = Long.MIN_VALUE

    /** Time of the last sign of a cold start. */
    private var doubtedAt: Long = Long.MIN_VALUE
    private var pausedUntil: Long = Long.MIN_VALUE

    val slotLimit: Int get() = reportedSlots ?: server.adapterSlots
    val coldLimit: Int get() = server.coldInFlight
    val warmLimit: Int get() = reportedMaximum?.let { minOf(it, server.maximumInFlight) } ?: server.maximumInFlight

    /** All requests in flight that the server bears as far as is known. */
    val inFlightLimit: Int get() = if (isKnownWarm) warmLimit else minOf(coldLimit, warmLimit)

    /** Notes an incarnation that an answer or report carried; returns whether the server was started anew. */
    fun observeIncarnation(observed: Long, now: Long): Boolean {
        val known = incarnation
        if (known != null && observed <= known) return false
        incarnation = observed
        if (known == null) return false
        doubtWarmth(now)
        isLeaving = false
        hasReport = false
        lastReportEngineTime = Long.MIN_VALUE
        return true
    }

    /** Whether [report] is of the current incarnation and newer than the last one. */
    fun isNews(report: LoadReport): Boolean =
        report.incarnation == incarnation && report.asOfMillis > lastReportEngineTime

    /** Takes over a report that is news; [takenAt] is the earliest time at which it can have been taken, if known. */
    fun accept(report: LoadReport, takenAt: Long?, now: Long) {
        hasReport = true
        lastReportEngineTime = report.asOfMillis
        if (report.slots > 0) reportedSlots = report.slots
        if (report.maximumInFlight > 0) reportedMaximum = report.maximumInFlight
        isLeaving = report.state == EngineState.LEAVING
        val isLaterThanDoubt =
            if (takenAt != null) takenAt > doubtedAt else doubtedAt == Long.MIN_VALUE || now - doubtedAt > lagBound
        when (report.state) {
            EngineState.WARM -> if (isLaterThanDoubt) isKnownWarm = true
            EngineState.COLD -> isKnownWarm = false
            EngineState.LEAVING -> Unit
        }
    }

    fun doubtWarmth(now: Long) {
        isKnownWarm = false
        doubtedAt = now
    }

    /** Pauses grants after the server answered that it has no room. */
    fun pause(now: Long) {
        pausedUntil = now + policy.overloadPauseMillis
    }

    fun isPaused(now: Long): Boolean = now < pausedUntil

    private val lagBound: Long get() = policy.reportLagMillis
}
