package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private object AnsweringTable : TableService {
    override suspend fun transact(operations: List<TableOperation>, readEra: Long?) =
        TransactResult.Committed(emptyMap())

    override suspend fun item(key: String): ReadResult<TableItem?> = ReadResult.Unavailable("no answer")

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> = ReadResult.Read(emptyList())
}

/** Guards against calls to the table service that the metrics do not attribute to a table and a kind of call. */
class InstrumentedTableTest : FunSpec({
    test("each call is counted by its kind, its table and whether it was answered") {
        val metrics = GatewayMetrics()
        val table = InstrumentedTable(AnsweringTable, NoWatch, metrics)
        table.transact(listOf(TableOperation.Put("members/vm-1", "{}"))) shouldBe TransactResult.Committed(emptyMap())
        table.item("controllers/e1")
        repeat(2) { table.scan("seats/") }
        table.changes(WatchedTableName.OPERATOR, 1, 2)
        val text = metrics.text().decodeToString()
        val name = "lentilquay_gateway_table_calls_total"
        text shouldContain "$name{answered=\"true\",call=\"write\",table=\"members\"} 1.0"
        text shouldContain "$name{answered=\"false\",call=\"read\",table=\"controllers\"} 1.0"
        text shouldContain "$name{answered=\"true\",call=\"read\",table=\"seats\"} 2.0"
        text shouldContain "$name{answered=\"false\",call=\"follow\",table=\"operator\"} 1.0"
    }

    // A VM that was cut off sees the era rise by more than one.
    test("each return of the table service is counted once, and the first era is none") {
        val metrics = GatewayMetrics()
        var era: Long? = null
        val table = InstrumentedTable(AnsweringTable, NoWatch, metrics) { era }
        listOf(null, 3L, 3L, 4L, 6L, 6L).forEach {
            era = it
            table.scan("seats/")
        }
        metrics.text().decodeToString() shouldContain "lentilquay_gateway_table_returns_total 3.0"
    }
})
