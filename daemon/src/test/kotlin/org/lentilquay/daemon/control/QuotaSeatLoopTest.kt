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

/** A table with the seats of the former process of a VM, which answers writes only when [SEATS] of them have come. */
private class PatientTable : TableService {
    private val writes = AtomicInteger()
    private val all = CompletableDeferred<Unit>()

    override suspend fun transact(operations: List<TableOperation>): TransactResult {
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
    // Guards against teams without tokens while a process that starts again takes one seat after the other: on a busy
    // VM each of them took up to a tenth of a second.
    test("all seats of the former process are taken at the same time") {
        ControlThread().use { control ->
            val pulls = TransferPlanner(OWN, SEATS)
            val plan = SeatPlan(OWN, Incarnation(2), SEATS) { "m" }
            val members = QuotaSeatLoop.SeatMembers(setOf(OWN), emptySet())
            val buckets = TeamBuckets(OWN, SEATS, pulls)
            val seats = QuotaSeatLoop(SeatTracker(plan), buckets, pulls, PatientTable(), control, { members }, { 0 })
            withTimeoutOrNull(5_000) { seats.review() }
            seats.held shouldBe (0 until SEATS).toSet()
        }
    }
})
