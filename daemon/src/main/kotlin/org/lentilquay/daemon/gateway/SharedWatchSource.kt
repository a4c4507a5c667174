/*
 * Table reads that the VMs of a failure domain share: readers watch the table service and cache the tables, followers
 * ask a reader and fall back to the table service when it does not answer. Docs: docs/platform.md, section 5.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.TableReaders
import org.lentilquay.daemon.control.PeerCaller
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.RowChange
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.transport.describe
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.runSuspendCatching

private val log = KotlinLogging.logger {}

/**
 * How long a reader holds a follower's request while there are no changes. A follower whose reader is lost falls back
 * to the table service after this time and [READER_MARGIN_MILLIS], well within the time in which all VMs must know that
 * a server leaves.
 */
private const val FOLLOWER_HOLD_MILLIS = 500L

/** Time that a reader's answer may take beyond the hold. */
private const val READER_MARGIN_MILLIS = 300L

/**
 * How long the table service holds the request of a reader with followers: only through the reader do they find out
 * that the table service does not answer.
 */
private const val READER_HOLD_MILLIS = 1_000L

/** A longer answer to a follower is logged, because it delays the responses on the same link. */
private const val REPORTED_RELAY_BYTES = 16 shl 10

class SharedWatchSource(
    private val readers: TableReaders,
    private val source: WatchSource,
    private val clock: TableClock,
    private val fleet: () -> PeerCaller,
    private val control: ControlThread,
    private val now: () -> Long,
) : WatchSource {
    private val caches = WatchedTableName.entries.associateWith { WatchCache(now) }

    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> {
        val read = source.readAll(table)
        when (read) {
            is ReadResult.Read -> cache(table).replace(read.value, clock.latestMillis ?: 0)
            is ReadResult.Unavailable -> cache(table).invalidate()
        }
        return read
    }

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult =
        changes(table, after, waitMillis, era = null)

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long, era: Long?): WatchResult {
        val relayed = ask(table, after, FOLLOWER_HOLD_MILLIS, era)
        if (relayed != null) {
            val rows = relayed.rows.mapValues { it.value.text }
            return WatchResult.Changes(relayed.version, rows, isRelayed = true, era = relayed.era)
        }
        val hold = if (control.decide { readers.hasFollowers }) minOf(waitMillis, READER_HOLD_MILLIS) else waitMillis
        val answer = source.changes(table, after, hold)
        when (answer) {
            is WatchResult.Changes -> {
                // The rows get the version of the answer; a row that is older reaches followers once more.
                val rows = answer.rows.mapValues { RowChange(it.value, answer.version) }
                // Rows that changed since a version of another era are no continuation of that version.
                if (answer.era == era) {
                    cache(table).change(after, rows, answer.version, clock.latestMillis ?: 0, era)
                } else {
                    cache(table).invalidate()
                }
            }
            WatchResult.HistoryLost, is WatchResult.Unavailable -> cache(table).invalidate()
        }
        return answer
    }

    /**
     * Asks a reader for the changes of [table] after version [after] of [era]; null if this VM must ask the table
     * service, also because the reader is in another era.
     */
    suspend fun ask(
        table: WatchedTableName,
        after: Long,
        waitMillis: Long,
        era: Long? = null,
    ): PeerAnswer.TableChanges? {
        val reader = control.decide { readers.readerFor(table.text, now()) } ?: return null
        val request = PeerRequest.FollowTable(table.text, after, waitMillis, mayDeflate = true, era)
        val result = fleet().call(reader, request, waitMillis + READER_MARGIN_MILLIS)
        val answer = (result as? PeerCallResult.Answered)?.answer
        val inflated = (answer as? PeerAnswer.TableChanges)?.let { runSuspendCatching { it.inflated() } }
        inflated?.getOrNull()?.takeIf { it.era == era }?.let { return it }
        control.decide { readers.readerFailed(reader, table.text, now()) }
        val reason = inflated?.exceptionOrNull()?.let { describe(it) } ?: answer ?: result
        log.event("reader has no current copy", "vm" to reader, "table" to table.text, "reason" to reason)
        return null
    }

    /** This VM's cache of [table], which its own reads of the table service fill. */
    fun cache(table: WatchedTableName): WatchCache = caches.getValue(table)

    /** Answers a follower of this VM from the cache. */
    suspend fun answer(request: PeerRequest.FollowTable): PeerAnswer {
        val table = WatchedTableName.entries.firstOrNull { it.text == request.table }
        val wait = request.waitMillis.coerceIn(0, FOLLOWER_HOLD_MILLIS)
        val changes = table?.let { cache(it).changesAfter(request.afterVersion, wait, request.mayDeflate, request.era) }
        val bytes = changes?.run { deflatedRows?.size ?: characters } ?: 0
        if (changes != null && bytes >= REPORTED_RELAY_BYTES) {
            log.event(
                "long change relayed",
                "table" to request.table,
                "after" to request.afterVersion,
                "version" to changes.version,
                "bytes" to bytes,
            )
        }
        return changes
            ?: PeerAnswer.Refused(Failure(ErrorKind.CONFIGURATION_STALE, "no current copy of table ${request.table}"))
    }
}
