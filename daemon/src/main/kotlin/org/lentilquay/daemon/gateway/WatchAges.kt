/*
 * Remembers when each watched table was last known to be current.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.transport.platform.ReadResult
import java.util.concurrent.ConcurrentHashMap

/** Passes reads on to [source] and remembers when they were answered. */
class WatchAges(private val source: WatchSource, private val now: () -> Long) : WatchSource {
    private val answeredAt = ConcurrentHashMap<WatchedTableName, Long>()

    /** The time since the last answer for [table], in milliseconds. */
    fun ageMillis(table: WatchedTableName): Long = answeredAt[table]?.let { now() - it } ?: Long.MAX_VALUE

    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> =
        source.readAll(table).also { if (it is ReadResult.Read) answeredAt[table] = now() }

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult =
        answered(table, source.changes(table, after, waitMillis))

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long, era: Long?): WatchResult =
        answered(table, source.changes(table, after, waitMillis, era))

    private fun answered(table: WatchedTableName, result: WatchResult): WatchResult {
        if (result is WatchResult.Changes) answeredAt[table] = now()
        return result
    }
}
