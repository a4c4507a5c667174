/*
 * Reads of the store that VMs of a failure domain share: readers ask the store and keep copies, the others ask a reader
 * and turn to the store when it does not answer. Docs: docs/platform.md, section 5.
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
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.platform.ReadResult

private val log = KotlinLogging.logger {}

/**
 * How long a reader holds a question for changes, in milliseconds. A follower whose reader is lost turns to the store
 * after this and the margin, well within the time in which a leaving server must be known.
 */
private const val RELAY_HOLD_MILLIS = 500L

/** How much later than the end of its hold a reader may answer, in milliseconds. */
private const val RELAY_MARGIN_MILLIS = 300L

/** How long the store holds the question of a reader with followers, which learn of a lost store only from it. */
private const val READER_HOLD_MILLIS = 1_000L

class TableRelay(
    private val plan: TableReaders,
    private val store: WatchSource,
    private val clock: TableClock,
    private val fleet: () -> PeerCaller,
    private val control: ControlThread,
    private val now: () -> Long,
) : WatchSource {
    private val copies = WatchedTableName.entries.associateWith { TableCopy(now) }

    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> {
        val read = store.readAll(table)
        when (read) {
            is ReadResult.Read -> copy(table).replace(read.value, clock.latestMillis ?: 0)
            is ReadResult.Unavailable -> copy(table).lost()
        }
        return read
    }

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult {
        val relayed = ask(table, after, RELAY_HOLD_MILLIS)
        if (relayed != null) {
            return WatchResult.Changes(relayed.version, relayed.rows.mapValues { it.value.text }, isRelayed = true)
        }
        val hold = if (control.decide { plan.hasFollowers }) minOf(waitMillis, READER_HOLD_MILLIS) else waitMillis
        val answer = store.changes(table, after, hold)
        when (answer) {
            is WatchResult.Changes -> {
                // A row may be older than the answer that shows it; a follower then gets it once more.
                val rows = answer.rows.mapValues { RowChange(it.value, answer.version) }
                copy(table).change(after, rows, answer.version, clock.latestMillis ?: 0)
            }
            WatchResult.HistoryLost, is WatchResult.Unavailable -> copy(table).lost()
        }
        return answer
    }

    /** Asks a reader for the changes of [table] after version [after]; null if this VM is to ask the store. */
    suspend fun ask(table: WatchedTableName, after: Long, waitMillis: Long): PeerAnswer.TableChanges? {
        val reader = control.decide { plan.readerFor(table.text, now()) } ?: return null
        val request = PeerRequest.FollowTable(table.text, after, waitMillis)
        val result = fleet().call(reader, request, waitMillis + RELAY_MARGIN_MILLIS)
        val answer = (result as? PeerCallResult.Answered)?.answer
        if (answer is PeerAnswer.TableChanges) return answer
        control.decide { plan.readerFailed(reader, now()) }
        log.event("reader has no current copy", "vm" to reader, "table" to table.text, "reason" to (answer ?: result))
        return null
    }

    /** This VM's own copy of [table], which its own reads fill. */
    fun copy(table: WatchedTableName): TableCopy = copies.getValue(table)

    /** Answers a VM that follows this one. */
    suspend fun answer(request: PeerRequest.FollowTable): PeerAnswer {
        val table = WatchedTableName.entries.firstOrNull { it.text == request.table }
        val wait = request.waitMillis.coerceIn(0, RELAY_HOLD_MILLIS)
        return table?.let { copy(it).changesAfter(request.afterVersion, wait) }
            ?: PeerAnswer.Refused(Failure(ErrorKind.CONFIGURATION_STALE, "no current copy of table ${request.table}"))
    }
}
