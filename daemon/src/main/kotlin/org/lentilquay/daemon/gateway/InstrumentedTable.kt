/*
 * Counts the calls of this VM to the platform's table service, by table. Each call is billed, and the rate of calls of
 * all VMs together is limited.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult
import java.util.concurrent.atomic.AtomicLong

private const val WRITE = "write"
private const val READ = "read"
private const val FOLLOW = "follow"
private const val NO_ERA = -1L

class InstrumentedTable(
    private val table: TableService,
    private val watch: WatchSource,
    private val metrics: GatewayMetrics,
    private val latestEra: () -> Long? = { null },
) : TableService, WatchSource {
    private val countedEra = AtomicLong(NO_ERA)

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        val result = table.transact(operations, readEra)
        val isAnswered = result is TransactResult.Committed || result is TransactResult.Conflict
        countReturns()
        metrics.tableCalled(WRITE, operations.first().key.substringBefore('/'), isAnswered)
        return result
    }

    override suspend fun item(key: String): ReadResult<TableItem?> =
        table.item(key).also { count(READ, key.substringBefore('/'), it) }

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> =
        table.scan(prefix).also { count(READ, prefix.substringBefore('/'), it) }

    override suspend fun readAll(table: WatchedTableName): ReadResult<WatchedRows> =
        watch.readAll(table).also { count(READ, table.text, it) }

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult =
        watch.changes(table, after, waitMillis)
            .also {
                countReturns()
                metrics.tableCalled(FOLLOW, table.text, isAnswered = it !is WatchResult.Unavailable)
            }

    private fun count(call: String, table: String, result: ReadResult<*>) {
        countReturns()
        metrics.tableCalled(call, table, isAnswered = result is ReadResult.Read)
    }

    /** The era rises by one with each return; the first one that this process sees is none. */
    private fun countReturns() {
        val era = latestEra() ?: return
        val before = countedEra.getAndAccumulate(era, ::maxOf)
        if (before != NO_ERA && era > before) metrics.tableReturned(era - before)
    }
}
