/*
 * A fleet of VMs without network, for tests of the duties: a table service that can be away, lose answers and return
 * from a copy, and the platform's API.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.runBlocking
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.coordination.gateway.usage.UsageCounter
import org.lentilquay.coordination.gateway.usage.UsageOptions
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableItem
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.usageKey
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

/** The table service's clock minus the monotonic clock of the test. */
internal const val TABLE_OFFSET = 1_000_000L

/** The true time minus the table service's clock; a multiple of the window. */
internal const val WALL_OFFSET = 50_000_000L

internal class DutyTable(private val now: () -> Long) : TableService, TableClock {
    private var items = HashMap<String, TableItem>()
    private var copies = ArrayList<Pair<Long, HashMap<String, TableItem>>>()
    private var version = 0L
    private val late = ArrayList<List<TableOperation>>()
    var era = 0L
    var isReachable = true

    /** Executes transactions without an answer. */
    var losesAnswers = false

    /** Executes transactions only when [executeLate] is called, without an answer. */
    var delaysWrites = false
    val scans = ArrayList<String>()
    val writes = ArrayList<String>()
    override var latestMillis: Long? = null
        private set
    override var latestEra: Long? = null
        private set

    fun keys(prefix: String) = items.keys.filter { it.startsWith(prefix) }.toSet()

    fun text(key: String): String? = items[key]?.value

    fun copy() {
        copies += now() to HashMap(items)
    }

    /** The service returns from the newest copy that is at least [millis] old. */
    fun returnFrom(millis: Long) {
        items = HashMap(copies.last { it.first <= now() - millis }.second)
        era++
    }

    fun executeLate() = late.forEach { apply(it) }.also { late.clear() }

    override suspend fun transact(operations: List<TableOperation>, readEra: Long?): TransactResult {
        if (!isReachable) return TransactResult.Unavailable("away")
        writes += operations.first().key
        if (delaysWrites) return TransactResult.OutcomeUnknown("late").also { late += operations }
        val result = apply(operations)
        if (losesAnswers) return TransactResult.OutcomeUnknown("lost")
        answered()
        return if (result is TransactResult.Committed && readEra != null && readEra != era) {
            TransactResult.OtherEra(era)
        } else {
            result
        }
    }

    private fun apply(operations: List<TableOperation>): TransactResult {
        val missed = operations.filter { operation ->
            val expected = (operation as? TableOperation.Put)?.expectedVersion
            expected != null && (items[operation.key]?.version ?: 0) != expected
        }
        if (missed.isNotEmpty()) return TransactResult.Conflict(missed.map { it.key })
        version++
        operations.forEach {
            when (it) {
                is TableOperation.Put -> items[it.key] = TableItem(it.key, it.value, version)
                is TableOperation.Delete -> items.remove(it.key)
                is TableOperation.Check -> Unit
            }
        }
        return TransactResult.Committed(operations.associate { it.key to version }, era)
    }

    private fun answered() {
        latestMillis = now() + TABLE_OFFSET
        latestEra = era
    }

    override suspend fun item(key: String): ReadResult<TableItem?> =
        if (isReachable) ReadResult.Read(items[key], era).also { answered() } else ReadResult.Unavailable("away")

    override suspend fun scan(prefix: String): ReadResult<List<TableItem>> {
        if (!isReachable) return ReadResult.Unavailable("away")
        scans += prefix
        answered()
        return ReadResult.Read(items.filterKeys { it.startsWith(prefix) }.values.toList(), era)
    }
}

/** The platform's API. It records the calls that it got, also those that it did not accept. */
internal class DutyApi : DutyClient {
    data class Report(val window: Long, val counts: Map<TeamId, Long>, val fence: Long)

    data class Order(val target: ScaleTarget, val desired: Int, val fence: Long)

    var outcome = DutyOutcome.ACCEPTED
    val reports = ArrayList<Report>()
    val orders = ArrayList<Order>()

    /** The reports as the platform counts them: repeated ones once. */
    val distinct get() = reports.map { it.window to it.counts }.toSet()

    private suspend fun call(mayWrite: suspend () -> Boolean, arrived: () -> Unit): DutyOutcome {
        if (outcome == DutyOutcome.NOT_SENT || !mayWrite()) return DutyOutcome.NOT_SENT
        arrived()
        return outcome
    }

    override suspend fun reportUsage(
        window: Long,
        counts: Map<TeamId, Long>,
        fence: Long,
        mayWrite: suspend () -> Boolean,
    ) = call(mayWrite) { reports += Report(window, counts, fence) }

    override suspend fun orderServers(
        target: ScaleTarget,
        desired: Int,
        fence: Long,
        mayWrite: suspend () -> Boolean,
    ) = call(mayWrite) { orders += Order(target, desired, fence) }
}

internal class DutyFleet(private val vmCount: Int, hasEras: Boolean = false) : AutoCloseable {
    var now = 0L
    val table = DutyTable { now }.apply { era = if (hasEras) 1 else 0 }
    val api = DutyApi()
    val control = ControlThread()
    val metrics = GatewayMetrics()

    /** The VM that holds the duties, by number, and its fencing number. */
    var holder: Int? = 0
    var fence = 1L
    val vms = ArrayList<Vm>()

    inner class Vm(val number: Int, incarnation: Long) {
        val process = GatewayProcess(VmId("vm-$number"), Incarnation(incarnation))
        var isAlive = true

        /** How far the wall clock of the VM is ahead. */
        var clockError = 0L
        val counter = UsageCounter(5_000)
        val duties = object : DutyControl {
            override fun require(subjects: Set<DutySubject>) = Unit

            override fun fenceOf(subject: DutySubject): Long? = fence.takeIf { holder == number && isAlive }

            override fun mayCall(subject: DutySubject, fence: Long) = fenceOf(subject) == fence
        }
        val time = FleetTime(table, { vms.filter { it.isAlive }.map { WALL_OFFSET + it.clockError } }) { now }
        val rows = UsageRows(table) { now }
        private val loop = UsageReportLoop(
            UsageOptions(5_000, 10_000, 0.05),
            { duties },
            api,
            table,
            rows,
            time,
            { vms.filter { it.isAlive }.mapTo(HashSet()) { it.process } },
            control,
            metrics,
            continuityMillis = 3_000,
        )

        suspend fun tick() {
            control.decide {
                time.update()
                time.offsetMillis?.let { counter.setOffset(it, now) }
            }
            if (now % 2_000 == number * 200L) renew()
            loop.step()
        }

        private suspend fun renew() {
            val record = counter.record(now, isFinal = false) ?: return
            val put = TableOperation.Put(usageKey(process), tolerantJson.encodeToString(record))
            table.transact(listOf(put))
        }
    }

    init {
        repeat(vmCount) { vms += Vm(it, 1) }
        runBlocking { table.scan("") }
        table.scans.clear()
    }

    fun restart(number: Int) {
        vms.last { it.number == number }.isAlive = false
        vms += Vm(number, vms.count { it.number == number } + 1L)
    }

    /** Lets [millis] pass; each VM that is alive runs a request of a team every 200 ms while [isBusy]. */
    suspend fun pass(millis: Long, isBusy: Boolean = true) {
        val until = now + millis
        while (now < until) {
            now += 200
            if (now % 1_000 == 0L && table.isReachable) table.copy()
            if (table.isReachable && now % 400 == 0L) table.item("op/config")
            vms.filter { it.isAlive }.forEach {
                if (isBusy) it.counter.began(KITCHEN, now)
                it.tick()
            }
        }
    }

    fun window(millis: Long) = (millis + TABLE_OFFSET + WALL_OFFSET) / 5_000

    override fun close() = control.close()
}

internal val KITCHEN = TeamId("kitchen")
