/*
 * A reader's copy of one table of the store, from which it answers the VMs that follow it. It keeps with each row the
 * version up to which it was read, so that a follower gets what changed after its own version. Used from any thread.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.RowChange

/** Rows that were removed are remembered up to this many; followers that are further behind read the store. */
private const val MAXIMUM_ROWS = 8_192

/** The age up to which a copy is current, in milliseconds: a held question to the store, its margin and the pause. */
private const val CURRENT_MILLIS = 2_500L

class TableCopy(private val now: () -> Long) {
    private val rows = HashMap<String, RowChange>()

    /** The copy holds all changes after this version; null while it may have missed some. */
    private var completeFrom: Long? = null
    private var tableMillis = 0L
    private var readAt = 0L
    private val version = MutableStateFlow(-1L)

    /** The whole table was read at [tableMillis] of the store's clock. */
    @Synchronized
    fun replace(all: WatchedRows, tableMillis: Long) {
        rows.clear()
        completeFrom = all.version
        read(all.rows.mapValues { RowChange(it.value, all.version) }, all.version, tableMillis)
    }

    /** The rows [changed] after version [after] and up to [upTo] were read at [tableMillis] of the store's clock. */
    @Synchronized
    fun change(after: Long, changed: Map<String, RowChange>, upTo: Long, tableMillis: Long) {
        val isConnected = completeFrom != null && after <= version.value
        if (!isConnected || rows.size > MAXIMUM_ROWS) {
            rows.clear()
            completeFrom = after
        }
        read(changed, upTo, tableMillis)
    }

    private fun read(changed: Map<String, RowChange>, upTo: Long, tableMillis: Long) {
        rows += changed
        this.tableMillis = tableMillis
        readAt = now()
        version.value = maxOf(version.value, upTo)
    }

    /** The store does not answer this VM, so the copy may be old. */
    @Synchronized
    fun lost() {
        completeFrom = null
    }

    /** The rows after version [after], once there are any or [waitMillis] have passed; null if they are not known. */
    suspend fun changesAfter(after: Long, waitMillis: Long): PeerAnswer.TableChanges? {
        if (version.value <= after) withTimeoutOrNull(waitMillis) { version.first { it > after } }
        return answer(after)
    }

    @Synchronized
    private fun answer(after: Long): PeerAnswer.TableChanges? {
        val from = completeFrom
        if (from == null || after < from || now() - readAt > CURRENT_MILLIS) return null
        val changed = rows.filterValues { it.version > after }
        return PeerAnswer.TableChanges(maxOf(after, version.value), tableMillis, changed)
    }
}
