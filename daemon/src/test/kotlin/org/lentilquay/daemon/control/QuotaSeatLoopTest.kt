package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.quota.SeatPlan
import org.lentilquay.coordination.quota.SeatTracker
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferPlanner
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.QuotaSeatRecord
import org.lentilquay.state.VmId
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult
import java.util.concurrent.atomic.AtomicInteger

private const val SEATS = 3
private val OWN = VmId("vm-1")

/** A table with the seats of a VM's former process; it answers writes only once [SEATS] of them are in progress. */
private class BatchingTable : TableService {
    private val writes = AtomicInteger()
    private val all = CompletableDeferred<Unit>()

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        if (writes.incrementAndGet() == SEATS) all.complete(Unit)
        all.await()
        return TransactResult.Committed(emptyMap())
    }

    override suspend fun item(key: String): ReadResult<TableItem?> = ReadResult.Read(null)

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> = ReadResult.Read(
        List(SEATS) { TableItem("seats/$it", Json.encodeToString(QuotaSeatRecord(OWN, Incarnation(1), "n")), 1) },
    )
}

class QuotaSeatLoopTest : FunSpec({
    // Guards against teams without tokens while a restarted process acquires its seats one after the other: on a busy
    // VM each seat took up to 100 ms.
    test("a restarted process acquires all seats of its former process concurrently") {
        ControlThread().use { control ->
            val transfers = TransferPlanner(OWN, SEATS)
            val plan = SeatPlan(OWN, Incarnation(2), SEATS) { "m" }
            val members = QuotaSeatLoop.SeatMembers(setOf(OWN), emptySet())
            val buckets = TeamBuckets(OWN, SEATS, transfers)
            val tracker = SeatTracker(plan)
            val seats = QuotaSeatLoop(tracker, buckets, transfers, BatchingTable(), control, { members }, { 0 })
            withTimeoutOrNull(5_000) { seats.review() }
            seats.held shouldBe (0 until SEATS).toSet()
        }
    }
})
