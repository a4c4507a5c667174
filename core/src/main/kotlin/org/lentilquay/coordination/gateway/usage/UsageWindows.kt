/*
 * Decides for each usage window when its counts are collected, fixed, sent and given up. Counts are sent only after the
 * row that fixes them is confirmed, and only as they stand there, so that two VMs never report different counts for one
 * window. Times are true time in milliseconds. Not thread-safe.
 */
package org.lentilquay.coordination.gateway.usage

import org.lentilquay.state.TeamId
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.UsageRecord
import org.lentilquay.state.gateway.UsageWindowRecord
import java.util.TreeMap

/** Time after the end of a window until the renewals that follow it are in the table: renewals are 2 s apart. */
private const val READ_DELAY_MILLIS = 2_700L

/** Interval at which rows are read again while some are missing, and failed calls of the table service are repeated. */
private const val READ_RETRY_MILLIS = 1_000L

/** The time that is kept for fixing and sending before a report is due. */
private const val SEND_MARGIN_MILLIS = 3_000L

private const val FIRST_RETRY_MILLIS = 500L
private const val MAXIMUM_RETRY_MILLIS = 2_000L

/** A report that is not accepted is given up after this many times the time within which it is due. */
private const val LATEST_SENDS = 3

/** Rows of windows are removed this long after they were given up, so that no VM can fix such a window again. */
private const val REMOVAL_MARGIN_MILLIS = 10_000L

/** The length of a window, when a report is due after its end, and the tolerated fraction of missing requests. */
data class UsageOptions(val windowMillis: Long, val lateMillis: Long, val tolerance: Double)

/** What is to be done next. */
sealed interface UsageStep {
    data object Wait : UsageStep

    /** Read the rows of all processes for [windows]. */
    data class Collect(val windows: List<Long>) : UsageStep

    /** Write [record] on the condition that there is no such row. */
    data class Fix(val record: UsageWindowRecord) : UsageStep

    /** Write [records] again, which the table service has lost or may have lost. */
    data class Restore(val records: List<UsageWindowRecord>) : UsageStep

    data class Send(val record: UsageWindowRecord) : UsageStep
}

/** Why a window is not reported by this VM. */
enum class MissedReason {
    /** It ended before the present era of the table service, so that a row that fixed it may be lost. */
    FORMER_ERA,

    /** Its counts could not be fixed in time. */
    NOT_FIXED,

    /** The platform did not accept its report in time. */
    NOT_ACCEPTED,
}

/** A window that is given up. */
data class MissedWindow(val window: Long, val reason: MissedReason)

/** The counts of a window, and the live processes whose rows are not complete. */
data class CollectedWindow(val window: Long, val counts: Map<TeamId, Long>, val missing: Set<GatewayProcess>)

class UsageWindows(private val options: UsageOptions) {
    private sealed interface State {
        class Open(var readAt: Long) : State

        /** Fixed by this VM, but the row is not confirmed. */
        class Proposed(val record: UsageWindowRecord, var writeAt: Long) : State

        /** The row is confirmed. [isSent] if the platform has accepted the report. */
        class Fixed(val record: UsageWindowRecord, var isSent: Boolean, var isMarked: Boolean) : State

        data object Ended : State
    }

    private val states = TreeMap<Long, State>()

    /** Confirmed rows, which are kept while this VM does not hold the duty. */
    private val confirmed = TreeMap<Long, UsageWindowRecord>()
    private var firstWindow = Long.MAX_VALUE
    private var restoreAt: Long? = null
    private var sendAt = Long.MIN_VALUE
    private var retryMillis = FIRST_RETRY_MILLIS

    private fun endOf(window: Long) = (window + 1) * options.windowMillis

    /** The last time at which the counts of a window are in the rows and its report may still be accepted. */
    private val fixMillis get() =
        minOf((REPEATED_WINDOWS - 1) * options.windowMillis, LATEST_SENDS * options.lateMillis)

    private val removalMillis get() = LATEST_SENDS * options.lateMillis + REMOVAL_MARGIN_MILLIS

    /**
     * Begins a time as holder of the duty, with the [rows] in the table as read in [era], which began at
     * [eraBeganMillis]. Returns the windows that this VM must not report. A window that ended before the present era
     * and has no row of it may have been reported with counts that only its former holder knows; a row of a former era
     * may also be a write that was executed late.
     */
    fun adopt(rows: List<UsageWindowRecord>, era: Long?, eraBeganMillis: Long?, now: Long): List<MissedWindow> {
        states.clear()
        firstWindow = Math.floorDiv(now - fixMillis, options.windowMillis)
        dropOld(now)
        rows.filter { it.era == era || eraBeganMillis == null || endOf(it.window) > eraBeganMillis }
            .filter { !isRemovable(it.window, now) }
            .forEach { row ->
                // What this VM has confirmed itself is right also if a late write has replaced the row.
                val own = confirmed[row.window]
                if (own == null || own.counts == row.counts) confirmed[row.window] = row
            }
        confirmed.values.forEach { states[it.window] = State.Fixed(it, it.isReported, it.isReported) }
        val isUnfixed = { window: Long -> window !in confirmed }
        val lost = if (eraBeganMillis == null) {
            emptyList()
        } else {
            val reported = rows.filter { it.isReported }.mapTo(HashSet()) { it.window }
            windowsUntil(minOf(eraBeganMillis, now)).filter(isUnfixed).onEach { states[it] = State.Ended }
                .filter { it !in reported }
        }
        val inTable = rows.associateBy { it.window }
        if (confirmed.values.any { inTable[it.window]?.counts != it.counts }) restoreAt = now
        return lost.map { MissedWindow(it, MissedReason.FORMER_ERA) }
    }

    /** The windows from the first that counts to the last that ended at [millis] or before. */
    private fun windowsUntil(millis: Long): LongRange = firstWindow until Math.floorDiv(millis, options.windowMillis)

    /** The table service has returned from a copy, which may lack rows that this VM has confirmed. */
    fun eraChanged(now: Long) {
        if (confirmed.isNotEmpty()) restoreAt = now
    }

    /** Gives up the windows whose time is over, and returns them. */
    fun expire(now: Long): List<MissedWindow> {
        dropOld(now)
        windowsUntil(now - READ_DELAY_MILLIS).forEach { window ->
            states.getOrPut(window) { State.Open(endOf(window) + READ_DELAY_MILLIS) }
        }
        val missed = states.mapNotNull { (window, state) ->
            val age = now - endOf(window)
            when (state) {
                is State.Open, is State.Proposed ->
                    MissedWindow(window, MissedReason.NOT_FIXED).takeIf { age > fixMillis }
                is State.Fixed -> MissedWindow(window, MissedReason.NOT_ACCEPTED)
                    .takeIf { !state.isSent && age > LATEST_SENDS * options.lateMillis }
                State.Ended -> null
            }
        }
        missed.forEach { states[it.window] = State.Ended }
        return missed
    }

    private fun dropOld(now: Long) {
        val oldest = Math.floorDiv(now - removalMillis, options.windowMillis)
        states.headMap(oldest).clear()
        confirmed.headMap(oldest).clear()
        firstWindow = maxOf(firstWindow, oldest)
    }

    /** What is to be done at [now]. Reports that can still be in time go first. */
    fun next(now: Long): UsageStep {
        if (restoreAt?.let { it <= now } == true) return UsageStep.Restore(confirmed.values.toList())
        val unsent = states.entries.mapNotNull { (_, state) -> (state as? State.Fixed)?.takeIf { !it.isSent } }
        val next = unsent.minWithOrNull(
            compareBy({ now > endOf(it.record.window) + options.lateMillis }, { it.record.window }),
        )
        if (next != null && now >= sendAt) return UsageStep.Send(next.record)
        states.values.firstNotNullOfOrNull { state -> (state as? State.Proposed)?.takeIf { it.writeAt <= now } }
            ?.let { return UsageStep.Fix(it.record) }
        val due = states.filterValues { it is State.Open && it.readAt <= now }.keys.toList()
        return if (due.isEmpty()) UsageStep.Wait else UsageStep.Collect(due)
    }

    /** The rows could not be read; they are read again later. */
    fun notCollected(windows: List<Long>, now: Long) =
        windows.forEach { (states[it] as? State.Open)?.readAt = now + READ_RETRY_MILLIS }

    /**
     * Takes in the [rows] of all processes, of which [live] have not ended. Returns the windows whose counts are
     * decided: all rows are complete, or the report is soon due.
     */
    fun collected(
        windows: List<Long>,
        rows: Map<GatewayProcess, UsageRecord>,
        live: Set<GatewayProcess>,
        fence: Long,
        era: Long?,
        now: Long,
    ): List<CollectedWindow> = windows.filter { states[it] is State.Open }.mapNotNull { window ->
        val end = endOf(window)
        val missing = live.filterTo(HashSet()) { process ->
            rows[process].let { it == null || (it.completeMillis < end && !it.isFinal) }
        }
        when {
            rows.isNotEmpty() && rows.values.all { it.beganMillis >= end } -> {
                // No VM counted yet: the fleet starts for the first time.
                states[window] = State.Ended
                null
            }
            // A fleet without any row has not written one yet, so that nothing is known of the window.
            rows.isEmpty() || missing.isNotEmpty() && now < end + options.lateMillis - SEND_MARGIN_MILLIS -> {
                states[window] = State.Open(now + READ_RETRY_MILLIS)
                null
            }
            else -> {
                val counts = HashMap<TeamId, Long>()
                rows.values.forEach { row ->
                    row.counts(window).forEach { (team, count) -> counts.merge(team, count, Long::plus) }
                }
                val record = UsageWindowRecord(window, counts.toSortedMap(), isReported = false, fence, era)
                states[window] = State.Proposed(record, now)
                CollectedWindow(window, counts, missing)
            }
        }
    }

    /** The row of [record] is in the table, as written or as read back. */
    fun fixed(record: UsageWindowRecord) {
        confirmed[record.window] = record
        states[record.window] = State.Fixed(record, record.isReported, record.isReported)
    }

    /** The outcome of the write of [window] is not known, or it had none. */
    fun notFixed(window: Long, now: Long) {
        (states[window] as? State.Proposed)?.writeAt = now + READ_RETRY_MILLIS
    }

    fun restored() {
        restoreAt = null
    }

    fun notRestored(now: Long) {
        restoreAt = now + READ_RETRY_MILLIS
    }

    /** The platform has accepted the report of [window]. */
    fun accepted(window: Long) {
        (states[window] as? State.Fixed)?.isSent = true
        retryMillis = FIRST_RETRY_MILLIS
    }

    /** The platform has not accepted a report; the next one waits. */
    fun notAccepted(now: Long) {
        sendAt = now + retryMillis
        retryMillis = minOf(retryMillis * 2, MAXIMUM_RETRY_MILLIS)
    }

    /** The rows to be marked as reported with the next write. */
    fun unmarked(): List<UsageWindowRecord> = states.values.filterIsInstance<State.Fixed>()
        .filter { it.isSent && !it.isMarked }.map { it.record.copy(isReported = true) }

    fun marked(records: List<UsageWindowRecord>) = records.forEach { record ->
        (states[record.window] as? State.Fixed)?.isMarked = true
        confirmed[record.window] = record
    }

    /** Whether the row of [window] is no longer needed. */
    fun isRemovable(window: Long, now: Long): Boolean = now - endOf(window) > removalMillis

    /** Whether the row of a process that is complete up to [completeMillis] is no longer needed. */
    fun isRowRemovable(completeMillis: Long, now: Long): Boolean = now - completeMillis > removalMillis
}
