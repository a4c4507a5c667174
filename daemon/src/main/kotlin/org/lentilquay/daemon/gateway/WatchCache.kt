/*
 * A reader's cache of one table, from which it answers its followers. Each row is kept with the version up to which it
 * was read, so that a follower gets the rows that changed after its own version. Safe for use from any thread.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.RowChange

/**
 * Limit on the rows in the cache, which include removed ones. Beyond it the cache starts anew, and followers that are
 * further behind read the table service.
 */
private const val MAXIMUM_ROWS = 8_192

/** Age up to which the cache is current: a held request to the table service, its margin, and the time to the next. */
private const val MAXIMUM_AGE_MILLIS = 2_500L

class WatchCache(private val now: () -> Long) {
    private val rows = HashMap<String, RowChange>()

    /** The cache holds all changes after this version; null while changes may be missing. */
    private var completeFrom: Long? = null
    private var tableMillis = 0L
    private var readAt = 0L
    private val version = MutableStateFlow(-1L)

    /** The last deflated changes and the version after which they begin; most followers ask for the same ones. */
    private var deflated: Pair<Long, PeerAnswer.TableChanges>? = null

    /** Replaces the cache by the whole table, which was read at [tableMillis] of the table clock. */
    @Synchronized
    fun replace(all: WatchedRows, tableMillis: Long) {
        rows.clear()
        completeFrom = all.version
        apply(all.rows.mapValues { RowChange(it.value, all.version) }, all.version, tableMillis)
    }

    /** Applies the rows that [changed] after version [after] up to [upTo], read at [tableMillis] of the table clock. */
    @Synchronized
    fun change(after: Long, changed: Map<String, RowChange>, upTo: Long, tableMillis: Long) {
        val isContiguous = completeFrom != null && after <= version.value
        if (!isContiguous || rows.size > MAXIMUM_ROWS) {
            rows.clear()
            completeFrom = after
        }
        apply(changed, upTo, tableMillis)
    }

    private fun apply(changed: Map<String, RowChange>, upTo: Long, tableMillis: Long) {
        rows += changed
        this.tableMillis = tableMillis
        readAt = now()
        version.value = maxOf(version.value, upTo)
    }

    /** Marks the cache as possibly incomplete, because the table service did not answer this VM. */
    @Synchronized
    fun invalidate() {
        completeFrom = null
    }

    /**
     * The rows that changed after version [after], as soon as there are any or after [waitMillis]; null if the cache
     * may lack some or is too old. Long ones are deflated if the follower [mayDeflate].
     */
    suspend fun changesAfter(after: Long, waitMillis: Long, mayDeflate: Boolean = false): PeerAnswer.TableChanges? {
        if (version.value <= after) withTimeoutOrNull(waitMillis) { version.first { it > after } }
        return if (mayDeflate) deflatedAnswer(after) else answer(after)
    }

    @Synchronized
    private fun deflatedAnswer(after: Long): PeerAnswer.TableChanges? {
        val answer = answer(after) ?: return null
        deflated?.takeIf { (from, last) ->
            from == after && last.version == answer.version && last.tableMillis == answer.tableMillis
        }?.let { return it.second }
        return answer.deflated().also { if (it !== answer) deflated = after to it }
    }

    @Synchronized
    private fun answer(after: Long): PeerAnswer.TableChanges? {
        val from = completeFrom
        if (from == null || after < from || now() - readAt > MAXIMUM_AGE_MILLIS) return null
        val changed = rows.filterValues { it.version > after }
        return PeerAnswer.TableChanges(maxOf(after, version.value), tableMillis, changed)
    }
}
