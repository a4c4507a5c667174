/*
 * The duty to order backend servers: asks the decision for the wanted numbers, records each order in the table service,
 * and sends it until the platform has accepted it. Times are those of the table service's clock.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.daemon.control.decodeOrNull
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.DomainId
import org.lentilquay.state.gateway.SCALE_PREFIX
import org.lentilquay.state.gateway.ScaleOrderRecord
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.scaleKey
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private val log = KotlinLogging.logger {}

private const val FIRST_RETRY_MILLIS = 500L
private const val MAXIMUM_RETRY_MILLIS = 2_000L

/** Interval at which the recorded orders are read after a failed read, and a failed write is repeated. */
private const val TABLE_RETRY_MILLIS = 1_000L

/** Inputs of the decision without the orders, which the loop adds. Called on the control thread. */
fun interface ScaleView {
    fun inputs(targets: Set<ScaleTarget>, orders: Map<ScaleTarget, ScaleOrderRecord>, usage: UsageReading): ScaleInputs?
}

class ScaleLoop(
    private val duties: () -> DutyControl,
    private val client: DutyClient,
    private val table: TableService,
    private val rows: UsageRows,
    private val time: FleetTime,
    /** The failure domains in which each scaled service runs. Called on the control thread. */
    private val targets: () -> Set<ScaleTarget>,
    private val view: ScaleView,
    private val planner: ScalePlanner,
    private val control: ControlThread,
    private val metrics: GatewayMetrics,
    /** The age up to which the rows of demand need not be read again. */
    private val demandAgeMillis: Long,
    private val continuityMillis: Long,
) {
    /** The last order of a target; [version] is null if the row must be read before the next write. */
    private class Order(var record: ScaleOrderRecord?, var version: Long?) {
        /** Whether the platform has accepted the recorded number from this VM. */
        var isAccepted = record == null
        var isRecorded = true
        var callAt = Long.MIN_VALUE
        var retryMillis = FIRST_RETRY_MILLIS
    }

    private class Holding(val fences: Map<ScaleTarget, Long>, val now: Long, val era: Long?)

    private var orders: MutableMap<ScaleTarget, Order> = HashMap()
    private var isRead = false
    private var era: Long? = null
    private var heldAt: Long? = null
    private var tableAt = Long.MIN_VALUE

    /** Does what is due. Call once a second; not concurrently. */
    suspend fun step() {
        val holding = control.decide { holding() } ?: return
        if (!prepare(holding)) return
        val usage = rows.atMost(demandAgeMillis) ?: return
        val recorded = orders.mapNotNull { (target, order) -> order.record?.let { target to it } }.toMap()
        val inputs = control.decide { view.inputs(holding.fences.keys, recorded, usage) } ?: return
        val wanted = planner.wanted(inputs)
        holding.fences.forEach { (target, fence) ->
            val order = orders.getOrPut(target) { Order(null, 0) }
            val count = wanted[target] ?: order.record?.desired
            if (count != null && !isDone(order, count, inputs.openServers(target))) {
                order(target, order, count, fence, inputs)
            }
        }
    }

    /** Reads the recorded orders if that is needed; returns whether they are known. */
    private suspend fun prepare(holding: Holding): Boolean {
        val isContinued = heldAt?.let { holding.now - it < continuityMillis } ?: false
        if (!isContinued) orders.clear()
        if (!isContinued || holding.era != era) isRead = false
        heldAt = holding.now
        return isRead || (holding.now >= tableAt && read(holding, isContinued))
    }

    private fun isDone(order: Order, count: Int, openServers: Int) =
        count == (order.record?.desired ?: openServers) && order.isAccepted && order.isRecorded

    private fun holding(): Holding? {
        val control = duties()
        val fences = targets().mapNotNull { target -> control.fenceOf(target.subject)?.let { target to it } }.toMap()
        val now = time.tableMillis ?: return null
        return if (fences.isEmpty()) null else Holding(fences, now, time.era)
    }

    /** Reads the recorded orders. Those that this VM knows and a return of the table service has lost are kept. */
    private suspend fun read(holding: Holding, isContinued: Boolean): Boolean {
        tableAt = holding.now + TABLE_RETRY_MILLIS
        val read = table.scan(SCALE_PREFIX) as? ReadResult.Read ?: return false
        val found = read.value.mapNotNull { item ->
            val target = targetOf(item.key.removePrefix(SCALE_PREFIX)) ?: return@mapNotNull null
            target to Order(decodeOrNull<ScaleOrderRecord>(item), item.version)
        }.toMap()
        val known = orders
        orders = HashMap(found)
        known.forEach { (target, own) -> keep(target, own) }
        val recorded = found.mapNotNull { (target, order) -> order.record?.let { target to it } }.toMap()
        if (!isContinued) planner.taken(recorded, holding.now)
        era = holding.era
        isRead = true
        log.event("scale orders read", "orders" to found.size, "era" to holding.era, "isTaken" to !isContinued)
        return true
    }

    private fun keep(target: ScaleTarget, own: Order) {
        val record = own.record ?: return
        val found = orders[target]
        if ((found?.record?.fence ?: Long.MIN_VALUE) > record.fence) return
        own.isRecorded = found?.record == record
        own.version = found?.version ?: 0
        orders[target] = own
    }

    private suspend fun order(target: ScaleTarget, order: Order, count: Int, fence: Long, inputs: ScaleInputs) {
        if (inputs.now < order.callAt && order.record?.desired == count) return
        val isNew = !order.isRecorded || order.record?.let { it.desired != count || it.fence != fence } ?: true
        // A record that a return of the table service has lost is written again, without a further call.
        val isKnown = order.isAccepted && order.record?.desired == count
        if (isNew && !record(target, order, count, fence, inputs)) return
        order.isAccepted = isKnown
        if (isKnown) return
        val outcome = client.orderServers(target, count, fence) {
            control.decide { duties().mayCall(target.subject, fence) }
        }
        metrics.dutyCalled("scale", outcome)
        order.isAccepted = outcome == DutyOutcome.ACCEPTED
        order.callAt = inputs.now + order.retryMillis
        order.retryMillis =
            if (order.isAccepted) FIRST_RETRY_MILLIS else minOf(order.retryMillis * 2, MAXIMUM_RETRY_MILLIS)
        log.event("servers ordered", fieldsOf(target, count, fence, inputs) + ("outcome" to outcome))
    }

    /** Writes the order before it is sent, so that the next holder knows it. */
    private suspend fun record(
        target: ScaleTarget,
        order: Order,
        count: Int,
        fence: Long,
        inputs: ScaleInputs,
    ): Boolean {
        val record = ScaleOrderRecord(count, inputs.now, fence, era)
        val version = order.version ?: return false.also { isRead = false }
        val put = TableOperation.Put(scaleKey(target), tolerantJson.encodeToString(record), version)
        return when (val result = table.transact(listOf(put), era)) {
            is TransactResult.Committed -> {
                order.record = record
                order.version = result.versions[put.key]
                order.isRecorded = true
                true
            }
            is TransactResult.Unavailable -> false
            is TransactResult.Conflict, is TransactResult.OutcomeUnknown, is TransactResult.OtherEra -> {
                isRead = false
                false
            }
        }
    }

    private fun fieldsOf(target: ScaleTarget, count: Int, fence: Long, inputs: ScaleInputs): List<Pair<String, Any?>> {
        val demand = inputs.usage.values.mapNotNull { it.demand[target.service] }
        return listOf(
            "service" to target.service,
            "domain" to target.domain,
            "desired" to count,
            "fence" to fence,
            "servers" to inputs.openServers(target),
            "arrivals" to demand.sumOf { it.arrivals },
            "waiting" to demand.sumOf { it.waiting },
            "refused" to demand.sumOf { it.refused },
            "isDrained" to (target.domain in inputs.drainedDomains),
            "usageAgeMillis" to inputs.usageAgeMillis,
        )
    }
}

private fun ScaleInputs.openServers(target: ScaleTarget): Int =
    servers.count { it.service == target.service && it.domain == target.domain && !it.isDraining }

private fun targetOf(text: String): ScaleTarget? {
    val service = text.substringBeforeLast('/', "")
    val domain = text.substringAfterLast('/')
    return if (service.isEmpty() || domain.isEmpty()) null else ScaleTarget(service, DomainId(domain))
}
