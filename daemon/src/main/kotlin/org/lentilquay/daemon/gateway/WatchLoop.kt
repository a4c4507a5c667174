/*
 * Keeps a copy of a watched table: reads it whole once, then follows its changes. While the platform does not answer
 * this VM, it asks other VMs for their copies; versions only rise within an era of the table service, so an older copy
 * never replaces a newer one. In a new era the table is read whole, whatever its version.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import org.lentilquay.daemon.logs.event
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.transport.platform.ReadResult

private val log = KotlinLogging.logger {}

/** How long a request for changes is held; a dead connection is noticed after this time and a margin. */
private const val HOLD_MILLIS = 2_000L

/**
 * Minimum intervals between two requests. Backend servers register anew with each adapter that they load, and each
 * request is billed, but a leaving server must be known within two seconds.
 */
private const val OPERATOR_INTERVAL_MILLIS = 100L
private const val SERVERS_INTERVAL_MILLIS = 800L

/** Minimum interval between answers of a reader, which itself paces its requests; limits the work of rapid changes. */
private const val RELAYED_INTERVAL_MILLIS = 100L

/** Delay after a failed request. */
private const val RETRY_MILLIS = 250L

/** After an outage, removed rows are kept this long, because their writers may write them again. */
private const val REMOVAL_DELAY_MILLIS = 2_000L

/** Somewhat more than the time for which rows are merged with those of the former era. */
private const val WRITTEN_MILLIS = 35_000L

class WatchLoop(
    private val table: WatchedTableName,
    private val source: WatchSource,
    /** Asks another VM for its copy if that is newer than the given version. */
    private val askPeer: suspend (WatchedTableName, Long) -> PeerAnswer.Watched?,
    private val now: () -> Long,
    /** The highest era in any answer of the table service. */
    private val latestEra: () -> Long? = { null },
    /** Gets the copy, and the keys that were written or removed since a return of the table service. */
    private val onChange: suspend (WatchedRows, Set<String>) -> Unit,
) {
    private val steps = LoopSteps("watch of ${table.text}")
    private var failures = 0
    private var recoveredAt = Long.MIN_VALUE / 2

    /** The copy, or null before the first read. Readable from any thread. */
    @Volatile
    var copy: WatchedRows? = null
        private set

    /**
     * The keys of the rows that were written or removed since the table was first read after a return of the table
     * service. Kept for [WRITTEN_MILLIS] after the return.
     */
    private var writtenSinceReturn: Set<String> = emptySet()
    private var returnedAt: Long? = null

    suspend fun run() {
        while (true) {
            val isDone = steps.run {
                val known = copy
                val isFormer = known != null && compareValues(known.era, latestEra()) < 0
                if (known == null || isFormer) readAll() else follow(known)
            }
            if (!isDone) delay(RETRY_MILLIS)
        }
    }

    private suspend fun readAll() {
        val known = copy
        when (val read = source.readAll(table)) {
            is ReadResult.Read -> {
                succeeded(read.value)
                // A read that is older than the copy would otherwise be repeated at once, and each call is billed.
                if (known != null && copy === known) delay(RETRY_MILLIS)
            }
            is ReadResult.Unavailable -> failed(read.reason)
        }
    }

    private suspend fun follow(known: WatchedRows) {
        val askedAt = now()
        when (val answer = source.changes(table, known.version, HOLD_MILLIS, known.era)) {
            is WatchResult.Changes -> when {
                compareValues(answer.era, known.era) > 0 -> readAll()
                answer.era != known.era -> dropped(answer.era, answer.version, known)
                else -> {
                    if (returnedAt != null) writtenSinceReturn += answer.rows.keys
                    succeeded(merged(known, answer))
                    delay(intervalMillis(answer) - (now() - askedAt))
                }
            }
            is WatchResult.HistoryLost -> {
                log.event("history of a table is lost, reading it again", "table" to table.text)
                readAll()
            }
            is WatchResult.Unavailable -> failed(answer.reason)
        }
    }

    private fun intervalMillis(answer: WatchResult.Changes) = when {
        answer.isRelayed -> RELAYED_INTERVAL_MILLIS
        table == WatchedTableName.SERVERS -> SERVERS_INTERVAL_MILLIS
        else -> OPERATOR_INTERVAL_MILLIS
    }

    private suspend fun merged(known: WatchedRows, answer: WatchResult.Changes): WatchedRows {
        val removed = answer.rows.filterValues { it == null }.keys
        val isRecovering = now() - recoveredAt < REMOVAL_DELAY_MILLIS
        if (isRecovering && table == WatchedTableName.SERVERS && removed.isNotEmpty()) {
            delay(REMOVAL_DELAY_MILLIS - (now() - recoveredAt))
        }
        val written = answer.rows.filterValues { it != null }.mapValues { it.value.orEmpty() }
        return WatchedRows(answer.version, known.rows - removed + written, known.era)
    }

    private suspend fun succeeded(rows: WatchedRows) {
        if (failures > 0) {
            val version = rows.version
            log.event("table is readable again", "table" to table.text, "failures" to failures, "version" to version)
            recoveredAt = now()
            failures = 0
        }
        update(rows)
    }

    private suspend fun failed(reason: String) {
        if (failures++ == 0) log.event("table is not readable", "table" to table.text, "reason" to reason)
        val answer = askPeer(table, copy?.version ?: -1)
        val rows = answer?.rows
        val known = copy
        when {
            rows == null -> Unit
            compareValues(answer.era, latestEra()) < 0 -> logDropped(answer.era, answer.version, known)
            known == null || compareVersions(answer.era, answer.version, known.era, known.version) > 0 ->
                update(WatchedRows(answer.version, rows, answer.era))
        }
        delay(RETRY_MILLIS)
    }

    private suspend fun dropped(era: Long?, version: Long, known: WatchedRows) {
        logDropped(era, version, known)
        delay(RETRY_MILLIS)
    }

    private fun logDropped(era: Long?, version: Long, known: WatchedRows?) = log.event(
        "state of a former era dropped",
        "table" to table.text,
        "era" to era,
        "version" to version,
        "latestEra" to (latestEra() ?: known?.era),
    )

    private suspend fun update(rows: WatchedRows) {
        val known = copy
        if (known != null && compareVersions(rows.era, rows.version, known.era, known.version) < 0) return
        when {
            known == null -> Unit
            known.era != rows.era -> returned(rows, known)
            // A whole read and the copy of a peer do not say which rows were written, but show those that differ.
            returnedAt != null -> writtenSinceReturn += (known.rows.keys + rows.rows.keys)
                .filter { known.rows[it] != rows.rows[it] }
        }
        copy = rows
        if (known?.rows != rows.rows || known.era != rows.era || returnedAt != null) {
            onChange(rows, writtenSinceReturn)
        }
        if (returnedAt?.let { now() - it > WRITTEN_MILLIS } == true) {
            returnedAt = null
            writtenSinceReturn = emptySet()
        }
    }

    private fun returned(rows: WatchedRows, known: WatchedRows) {
        returnedAt = now()
        writtenSinceReturn = emptySet()
        log.event(
            "table service returned from a copy",
            "table" to table.text,
            "era" to rows.era,
            "version" to rows.version,
            "formerEra" to known.era,
            "formerVersion" to known.version,
        )
    }
}
