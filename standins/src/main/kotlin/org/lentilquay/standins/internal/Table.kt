/*
 * The table service of the platform stand-in: a sorted map with versions and serial transactions. For stale reads it
 * keeps the earlier versions of each item for a time. Times are milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.protocol.ScanAnswer
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.protocol.TableTransaction
import org.lentilquay.protocol.TransactionAnswer
import java.util.TreeMap

/** Time for which earlier versions are kept, which bounds the staleness of reads. */
private const val HISTORY_MILLIS = 30_000L

internal class Table {
    private class State(val since: Long, val item: TableItem?)

    private val histories = TreeMap<String, ArrayDeque<State>>()

    @Synchronized
    fun transact(transaction: TableTransaction, now: Long): TransactionAnswer {
        val conflicts = transaction.operations.filterNot(::isAsExpected).map { it.key }.distinct()
        if (conflicts.isNotEmpty()) return TransactionAnswer(committed = false, conflicts = conflicts)
        val versions = mutableMapOf<String, Long>()
        transaction.operations.forEach { operation ->
            when (operation) {
                is TableOperation.Put -> {
                    val version = versionOf(operation.key) + 1
                    record(operation.key, TableItem(operation.key, operation.value, version), now)
                    versions[operation.key] = version
                }
                is TableOperation.Delete -> {
                    record(operation.key, null, now)
                    versions[operation.key] = 0
                }
                is TableOperation.Check -> versions.putIfAbsent(operation.key, operation.expectedVersion)
            }
        }
        return TransactionAnswer(committed = true, versions = versions)
    }

    /** The item as of [asOf]. */
    @Synchronized
    fun read(key: String, asOf: Long): TableItem? = histories[key]?.lastOrNull { it.since <= asOf }?.item

    /** One page of items as of [asOf], in the order of their keys. */
    @Synchronized
    fun scan(prefix: String, after: String?, limit: Int, asOf: Long): ScanAnswer {
        val tail = if (after != null && after >= prefix) histories.tailMap(after, false) else histories.tailMap(prefix)
        val items = tail.entries.asSequence()
            .takeWhile { it.key.startsWith(prefix) }
            .mapNotNull { entry -> entry.value.lastOrNull { it.since <= asOf }?.item }
            .take(limit + 1)
            .toList()
        val page = items.take(limit)
        return ScanAnswer(page, if (items.size > limit) page.lastOrNull()?.key else null)
    }

    private fun isAsExpected(operation: TableOperation): Boolean = when (operation) {
        is TableOperation.Put -> operation.expectedVersion
        is TableOperation.Delete -> operation.expectedVersion
        is TableOperation.Check -> operation.expectedVersion
    }.let { it == null || it == versionOf(operation.key) }

    private fun versionOf(key: String): Long = histories[key]?.last()?.item?.version ?: 0

    private fun record(key: String, item: TableItem?, now: Long) {
        val history = histories.getOrPut(key) { ArrayDeque() }
        history.addLast(State(now, item))
        while (history.size > 1 && history[1].since < now - HISTORY_MILLIS) history.removeFirst()
        // A key that did not exist during the whole kept time needs no history.
        if (history.size == 1 && item == null) histories.remove(key)
    }
}
