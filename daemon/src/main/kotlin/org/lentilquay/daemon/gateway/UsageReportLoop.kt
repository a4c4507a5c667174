/*
 * The duty to report usage: reads the counts of all processes, fixes those of each window in the table service, and
 * sends them to the platform exactly as fixed. UsageWindows decides what is done when.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.coordination.gateway.usage.CollectedWindow
import org.lentilquay.coordination.gateway.usage.MissedWindow
import org.lentilquay.coordination.gateway.usage.UsageOptions
import org.lentilquay.coordination.gateway.usage.UsageStep
import org.lentilquay.coordination.gateway.usage.UsageWindows
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.logs.warning
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.USAGE_SUBJECT
import org.lentilquay.state.gateway.USAGE_WINDOW_PREFIX
import org.lentilquay.state.gateway.UsageWindowRecord
import org.lentilquay.state.gateway.usageKey
import org.lentilquay.state.gateway.usageWindowKey
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private val log = KotlinLogging.logger {}

/** Most actions of one step; the next step follows shortly. */
private const val MAXIMUM_ACTIONS = 8

/** Most rows that one write removes; a fleet that has restarted leaves a row of each former process. */
private const val MAXIMUM_REMOVALS = 50

/** Interval at which a new holder tries to read the rows of former ones. */
private const val ADOPT_RETRY_MILLIS = 1_000L

/** Most VMs that a log line names. */
private const val NAMED_PROCESSES = 10

class UsageReportLoop(
    private val options: UsageOptions,
    private val duties: () -> DutyControl,
    private val client: DutyClient,
    private val table: TableService,
    private val rows: UsageRows,
    private val time: FleetTime,
    /** The live processes that publish their counts. Called on the control thread. */
    private val liveProcesses: () -> Set<GatewayProcess>,
    private val control: ControlThread,
    private val metrics: GatewayMetrics,
    /** A time without the duty that is too short for another VM to have held it, in milliseconds of the table clock. */
    private val continuityMillis: Long,
) {
    /** What this VM knows at one moment as holder of the duty. Times are true time, except for [tableMillis]. */
    private class Holding(
        val fence: Long,
        val now: Long,
        val tableMillis: Long,
        val era: Long?,
        val eraBegan: Long?,
        val live: Set<GatewayProcess>,
    )

    private val windows = UsageWindows(options)

    /** The windows whose rows may be in the table. */
    private val writtenWindows = HashSet<Long>()
    private var isAdopted = false
    private var heldAt: Long? = null

    /** When the rows of former holders may be read again, in table time. */
    private var adoptAt = Long.MIN_VALUE
    private var era: Long? = null

    /** Does what is due. Call several times a second; not concurrently. */
    suspend fun step() {
        var actions = 0
        while (actions++ < MAXIMUM_ACTIONS && act()) Unit
    }

    /** Does one thing; returns whether another one may be due. */
    private suspend fun act(): Boolean {
        val holding = control.decide { holding() } ?: return false
        val isContinued = heldAt?.let { holding.tableMillis - it < continuityMillis } ?: false
        if (!isContinued) isAdopted = false
        if (!isAdopted) {
            if (holding.tableMillis < adoptAt) return false
            adoptAt = holding.tableMillis + ADOPT_RETRY_MILLIS
            return adopt(holding)
        }
        heldAt = holding.tableMillis
        if (holding.era != era) windows.eraChanged(holding.now)
        era = holding.era
        missed(windows.expire(holding.now))
        when (val step = windows.next(holding.now)) {
            UsageStep.Wait -> return false
            is UsageStep.Collect -> collect(step.windows, holding)
            is UsageStep.Fix -> fix(step.record, holding)
            is UsageStep.Restore -> restore(step.records, holding)
            is UsageStep.Send -> send(step.record, holding)
        }
        // The action may have taken a while, in which no other VM can have held the duty if this one still does.
        control.decide { holding() }?.takeIf { it.fence == holding.fence }?.let { heldAt = it.tableMillis }
        return true
    }

    private fun holding(): Holding? {
        val fence = duties().fenceOf(USAGE_SUBJECT) ?: return null
        val now = time.trueMillis ?: return null
        val tableMillis = time.tableMillis ?: return null
        val eraBegan = time.eraBeganTableMillis?.let { time.trueOf(it) }
        return Holding(fence, now, tableMillis, time.era, eraBegan, liveProcesses())
    }

    /** Reads the windows that former holders have fixed. */
    private suspend fun adopt(holding: Holding): Boolean {
        val read = table.scan(USAGE_WINDOW_PREFIX) as? ReadResult.Read ?: return false
        val records = read.value.mapNotNull { decodeOrNull<UsageWindowRecord>(it) }
        // The era may have changed during the read.
        val present = control.decide { time.update().let { holding() } }?.takeIf { it.fence == holding.fence }
            ?: return false
        if (present.era != holding.era) return false
        writtenWindows.clear()
        records.mapTo(writtenWindows) { it.window }
        val skipped = windows.adopt(records, present.era, present.eraBegan, present.now)
        isAdopted = true
        heldAt = present.tableMillis
        era = present.era
        log.event("usage duty taken", "fence" to present.fence, "rows" to records.size, "skipped" to skipped.size)
        missed(skipped)
        return true
    }

    private suspend fun collect(due: List<Long>, holding: Holding) {
        val reading = rows.read()
        val present = control.decide { holding() }?.takeIf { it.fence == holding.fence }
        if (reading == null || present == null) return windows.notCollected(due, holding.now)
        windows.collected(due, reading.rows, present.live, present.fence, present.era, present.now)
            .forEach { logCollected(it, reading.rows.size, present.live.size) }
    }

    private fun logCollected(window: CollectedWindow, rowCount: Int, liveCount: Int) {
        log.event(
            "usage window collected",
            "window" to window.window,
            "teams" to window.counts.size,
            "requests" to window.counts.values.sum(),
            "rows" to rowCount,
            "missing" to window.missing.take(NAMED_PROCESSES).takeIf { it.isNotEmpty() },
            "missingCount" to window.missing.size,
            "isWithinTolerance" to (window.missing.size <= options.tolerance * liveCount),
        )
        if (window.missing.isNotEmpty()) metrics.usageWindowEnded("incomplete")
    }

    private suspend fun fix(record: UsageWindowRecord, holding: Holding) {
        val marks = windows.unmarked()
        val put = TableOperation.Put(usageWindowKey(record.window), tolerantJson.encodeToString(record), 0)
        val result = table.transact(listOf(put) + marks.map(::put) + removals(holding), holding.era)
        if (result is TransactResult.Committed) {
            written(record, marks)
        } else if (result is TransactResult.Unavailable || !readBack(record)) {
            windows.notFixed(record.window, holding.now)
        }
    }

    private fun written(record: UsageWindowRecord, marks: List<UsageWindowRecord>) {
        writtenWindows += record.window
        windows.fixed(record)
        windows.marked(marks)
    }

    /** Whether the row of the window of [proposed] exists, which an unanswered write or another VM has left. */
    private suspend fun readBack(proposed: UsageWindowRecord): Boolean {
        val row = table.readRecord<UsageWindowRecord>(usageWindowKey(proposed.window))?.value ?: return false
        if (row.counts != proposed.counts) {
            log.event("usage window was fixed by another VM", "window" to row.window, "fence" to row.fence)
        }
        written(row, emptyList())
        return true
    }

    private suspend fun restore(records: List<UsageWindowRecord>, holding: Holding) {
        val again = records.map { it.copy(era = holding.era) }
        val result = if (again.isEmpty()) null else table.transact(again.map(::put), holding.era)
        if (result != null && result !is TransactResult.Committed) return windows.notRestored(holding.now)
        windows.restored()
        writtenWindows += again.map { it.window }
        log.event("usage windows written again", "windows" to again.size, "era" to holding.era)
    }

    private fun put(record: UsageWindowRecord) =
        TableOperation.Put(usageWindowKey(record.window), tolerantJson.encodeToString(record))

    /** Removes rows that nobody needs any more. */
    private fun removals(holding: Holding): List<TableOperation> {
        val oldWindows = writtenWindows.filter { windows.isRemovable(it, holding.now) }.take(MAXIMUM_REMOVALS)
        writtenWindows -= oldWindows.toSet()
        val oldRows = rows.latest?.rows.orEmpty().filterKeys { it !in holding.live }
            .filterValues { windows.isRowRemovable(it.completeMillis, holding.now) }.keys.take(MAXIMUM_REMOVALS)
        return (oldWindows.map(::usageWindowKey) + oldRows.map(::usageKey)).map { TableOperation.Delete(it) }
    }

    private suspend fun send(record: UsageWindowRecord, holding: Holding) {
        val outcome = client.reportUsage(record.window, record.counts, holding.fence) {
            control.decide { duties().mayCall(USAGE_SUBJECT, holding.fence) }
        }
        metrics.dutyCalled("usage", outcome)
        val present = control.decide { time.trueMillis } ?: holding.now
        if (outcome == DutyOutcome.ACCEPTED) {
            windows.accepted(record.window)
            metrics.usageWindowEnded("reported")
        } else {
            windows.notAccepted(present)
        }
        log.event(
            "usage report",
            "window" to record.window,
            "outcome" to outcome,
            "fence" to holding.fence,
            "requests" to record.counts.values.sum(),
            "sinceEndMillis" to present - (record.window + 1) * options.windowMillis,
        )
    }

    private fun missed(missed: List<MissedWindow>) = missed.forEach {
        metrics.usageWindowEnded("missed")
        log.warning("usage window missed", "window" to it.window, "reason" to it.reason)
    }
}
