/*
 * A stand-in of the platform's table service in memory, which can be away and return from a copy of some time ago, and
 * its client on one VM. Versions are those of one counter, as at the platform's service.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.delay
import kotlinx.coroutines.yield
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private const val POLL_MILLIS = 5L

/** The service. Its clock is [now], which continues over returns. An [era] of null is a service without eras. */
class ReturningStore(val now: () -> Long, era: Long? = 1) {
    private class Change(val key: String, val text: String?, val version: Long, val at: Long)

    /** All changes of the present copy, oldest first. */
    private val changes = ArrayList<Change>()
    private val held = ArrayList<List<TableOperation>>()

    @Volatile
    var era = era
        private set

    /** While true, the service answers no call. */
    @Volatile
    var isAway = false

    /** While true, transactions get no answer, and are executed by [executeHeld]. */
    @Volatile
    var holdsTransactions = false

    @get:Synchronized
    val version: Long get() = changes.lastOrNull()?.version ?: 0

    /** Returns from the copy of [millisAgo] with the next era. What was written since is lost, with its versions. */
    @Synchronized
    fun returnFromCopy(millisAgo: Long) {
        val takenAt = now() - millisAgo
        changes.removeAll { it.at > takenAt }
        era = (era ?: 0) + 1
        isAway = false
    }

    @Synchronized
    fun rows(prefix: String): List<TableItem> = changes.filter { it.key.startsWith(prefix) }.groupBy { it.key }
        .mapNotNull { (key, all) -> all.last().let { last -> last.text?.let { TableItem(key, it, last.version) } } }

    /** The rows with [prefix] that changed after [after]; null if the service does not have that version. */
    @Synchronized
    fun changed(prefix: String, after: Long): Map<String, String?>? {
        if (after > version) return null
        return changes.filter { it.key.startsWith(prefix) && it.version > after }.associate { it.key to it.text }
    }

    /** Executes [operations] and returns the new version, or the keys whose condition does not hold. */
    @Synchronized
    fun execute(operations: List<TableOperation>): Pair<Long, List<String>> {
        val versions = rows("").associate { it.key to it.version }
        val conflicts = operations.filter { operation ->
            val expected = when (operation) {
                is TableOperation.Put -> operation.expectedVersion
                is TableOperation.Delete -> operation.expectedVersion
                is TableOperation.Check -> operation.expectedVersion
            }
            expected != null && expected != (versions[operation.key] ?: 0L)
        }
        if (conflicts.isNotEmpty()) return version to conflicts.map { it.key }
        val next = version + 1
        operations.forEach { operation ->
            when (operation) {
                is TableOperation.Put -> changes += Change(operation.key, operation.value, next, now())
                is TableOperation.Delete -> changes += Change(operation.key, null, next, now())
                is TableOperation.Check -> Unit
            }
        }
        return next to emptyList()
    }

    /** Writes [text] to [key] as another program does; null removes the row. */
    fun put(key: String, text: String?) {
        execute(listOf(if (text == null) TableOperation.Delete(key) else TableOperation.Put(key, text)))
    }

    @Synchronized
    fun hold(operations: List<TableOperation>) {
        held += operations
    }

    /** Executes the transactions without an answer whose conditions still hold. */
    @Synchronized
    fun executeHeld() {
        held.forEach { execute(it) }
        held.clear()
    }
}

/** The client of [store] on one VM. */
class ReturningTable(val store: ReturningStore) : TableService, WatchSource, TableClock {
    /** While true, this VM does not reach the service. */
    @Volatile
    var isCutOff = false

    @Volatile
    override var latestMillis: Long? = null
        private set

    @Volatile
    override var latestEra: Long? = null
        private set

    /** The calls that were sent. */
    @Volatile
    var calls = 0
        private set

    private val isReachable get() = !isCutOff && !store.isAway

    private fun answered() {
        latestMillis = store.now()
        latestEra = store.era
    }

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        val latest = latestEra
        if (readEra != null && latest != null && latest != readEra) return TransactResult.OtherEra(latest)
        calls++
        if (!isReachable) return TransactResult.Unavailable("away")
        if (store.holdsTransactions) {
            store.hold(operations)
            return TransactResult.OutcomeUnknown("no answer")
        }
        val (version, conflicts) = store.execute(operations)
        answered()
        val era = store.era
        return when {
            readEra != null && era != null && era != readEra -> TransactResult.OtherEra(era)
            conflicts.isNotEmpty() -> TransactResult.Conflict(conflicts)
            else -> {
                val written = operations.filterIsInstance<TableOperation.Put>()
                TransactResult.Committed(written.associate { it.key to version }, era)
            }
        }
    }

    override suspend fun item(key: String): ReadResult<TableItem?> =
        read { store.rows(key).firstOrNull { it.key == key } }

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> = read { store.rows(prefix) }

    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> = read {
        val prefix = "${table.text}/"
        val rows = store.rows(prefix).associate { it.key.removePrefix(prefix) to it.value }
        WatchedRows(store.version, rows, store.era)
    }

    private suspend fun <T> read(value: () -> T): ReadResult<T> {
        calls++
        // Lets a loop that reads again and again be cancelled.
        yield()
        if (!isReachable) return ReadResult.Unavailable("away")
        answered()
        return ReadResult.Read(value(), store.era)
    }

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult {
        calls++
        val prefix = "${table.text}/"
        val until = System.nanoTime() / 1_000_000 + waitMillis
        while (isReachable) {
            val changed = store.changed(prefix, after)
            if (changed == null || changed.isNotEmpty() || System.nanoTime() / 1_000_000 >= until) {
                answered()
                if (changed == null) return WatchResult.HistoryLost
                val rows = changed.mapKeys { it.key.removePrefix(prefix) }
                return WatchResult.Changes(store.version, rows, era = store.era)
            }
            delay(POLL_MILLIS)
        }
        return WatchResult.Unavailable("away")
    }
}
