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

    /** The era and the version up to which the cache was read. */
    private data class Position(val era: Long?, val version: Long)

    private val position = MutableStateFlow(Position(null, -1L))

    /** The last deflated changes and the version after which they begin; most followers ask for the same ones. */
    private var deflated: Pair<Long, PeerAnswer.TableChanges>? = null

    /** Replaces the cache by the whole table, which was read at [tableMillis] of the table clock. */
    @Synchronized
    fun replace(all: WatchedRows, tableMillis: Long) {
        if (isFormer(all.era)) return
        rows.clear()
        completeFrom = all.version
        apply(all.rows.mapValues { RowChange(it.value, all.version) }, Position(all.era, all.version), tableMillis)
    }

    /**
     * Applies the rows that [changed] after version [after] up to [upTo], read at [tableMillis] of the table clock in
     * [era]. Changes of a new era do not continue the rows of the former one, so the whole table must be read first.
     */
    @Synchronized
    fun change(after: Long, changed: Map<String, RowChange>, upTo: Long, tableMillis: Long, era: Long? = null) {
        if (isFormer(era)) return
        if (era != position.value.era && position.value.version >= 0) {
            completeFrom = null
            return
        }
        val isContiguous = completeFrom != null && after <= position.value.version
        if (!isContiguous || rows.size > MAXIMUM_ROWS) {
            rows.clear()
            completeFrom = after
        }
        apply(changed, Position(era, upTo), tableMillis)
    }

    private fun isFormer(era: Long?) = compareValues(era, position.value.era) < 0

    private fun apply(changed: Map<String, RowChange>, upTo: Position, tableMillis: Long) {
        rows += changed
        this.tableMillis = tableMillis
        readAt = now()
        val known = position.value
        position.value = if (known.era == upTo.era) upTo.copy(version = maxOf(known.version, upTo.version)) else upTo
    }

    /** Marks the cache as possibly incomplete, because the table service did not answer this VM. */
    @Synchronized
    fun invalidate() {
        completeFrom = null
    }

    /**
     * The rows that changed after version [after] of [era], as soon as there are any or after [waitMillis]; null if the
     * cache may lack some, is too old or is in another era. Long ones are deflated if the follower [mayDeflate].
     */
    suspend fun changesAfter(
        after: Long,
        waitMillis: Long,
        mayDeflate: Boolean = false,
        era: Long? = null,
    ): PeerAnswer.TableChanges? {
        val isDue = { known: Position -> known.era != era || known.version > after }
        if (!isDue(position.value)) withTimeoutOrNull(waitMillis) { position.first(isDue) }
        return if (mayDeflate) deflatedAnswer(after, era) else answer(after, era)
    }

    @Synchronized
    private fun deflatedAnswer(after: Long, era: Long?): PeerAnswer.TableChanges? {
        val answer = answer(after, era) ?: return null
        deflated?.takeIf { (from, last) ->
            from == after && last.era == answer.era && last.version == answer.version &&
                last.tableMillis == answer.tableMillis
        }?.let { return it.second }
        return answer.deflated().also { if (it !== answer) deflated = after to it }
    }

    @Synchronized
    private fun answer(after: Long, era: Long?): PeerAnswer.TableChanges? {
        val from = completeFrom
        val known = position.value
        val isCurrent = era == known.era && now() - readAt <= MAXIMUM_AGE_MILLIS
        if (from == null || after < from || !isCurrent) return null
        val changed = rows.filterValues { it.version > after }
        return PeerAnswer.TableChanges(maxOf(after, known.version), tableMillis, changed, era = era)
    }
}
