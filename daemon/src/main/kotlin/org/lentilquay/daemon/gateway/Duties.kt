/*
 * The duties of the fleet on one VM: what the VM publishes with the renewals of its member record, and the loops that
 * perform the duties while this VM holds them.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.coordination.gateway.usage.UsageCounter
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.ScaleOrderRecord
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.USAGE_SUBJECT
import org.lentilquay.state.gateway.usageKey
import org.lentilquay.transport.platform.TableService

/**
 * The age from which the rows of demand are read again for the number of servers; with the time between two decisions
 * it stays below the age at which the decision changes nothing.
 */
private const val MAXIMUM_DEMAND_AGE_MILLIS = 3_000L

/** What [Duties] use of the gateway. */
class DutyContext(
    val options: GatewayOptions,
    val incarnation: Incarnation,
    val state: GatewayState,
    val table: TableService,
    val clock: TableClock,
    val control: ControlThread,
    val metrics: GatewayMetrics,
    val now: () -> Long,
    /** Whether this VM stops and counts nothing more. */
    val isLeaving: () -> Boolean,
    /** The leases of the duties. */
    val leases: () -> DutyControl,
    /** The age of the registered servers, in milliseconds. */
    val serversAgeMillis: () -> Long,
    /** The decision how many servers to order; null if this build has none. */
    val planner: ScalePlanner? = null,
)

/** The duties that the settings ask for, or null if there are none. */
fun dutiesOf(context: DutyContext, client: DutyClient?): Duties? {
    val duties = context.options.duties ?: return null
    return client?.let { Duties(context, duties, it) }
}

/** Creates a [Duties] object by [dutiesOf]. */
class Duties internal constructor(
    private val context: DutyContext,
    private val options: DutyOptions,
    client: DutyClient,
) {
    private val state = context.state
    private val own = GatewayProcess(context.options.vm, context.incarnation)
    private val time = FleetTime(
        context.clock,
        { state.members.values.mapNotNull { it.wallOffsetMillis } },
        context.now,
    )
    private val rows = UsageRows(context.table, context.now)
    private val seenTargets = HashSet<ScaleTarget>()
    private var required: Set<DutySubject> = emptySet()

    /** The counts of this VM. */
    val counter = UsageCounter(options.windowMillis)

    private val usage = options.usage?.let { usage ->
        UsageReportLoop(
            usage,
            context.leases,
            client,
            context.table,
            rows,
            time,
            ::liveProcesses,
            context.control,
            context.metrics,
            context.options.controllerChangePauseMillis,
        )
    }
    private val scale = context.planner?.takeIf { options.scalesServers }?.let { planner ->
        ScaleLoop(
            context.leases,
            client,
            context.table,
            rows,
            time,
            ::targets,
            ::scaleInputs,
            planner,
            context.control,
            context.metrics,
            MAXIMUM_DEMAND_AGE_MILLIS,
            context.options.controllerChangePauseMillis,
        )
    }

    val renewalContent = RenewalContent(
        hasWallOffset = { true },
        additionalWrites = ::ownRow,
    )

    private fun ownRow(): List<TableOperation> {
        updateTime()
        val record = counter.record(context.now(), context.isLeaving()) ?: return emptyList()
        return listOf(TableOperation.Put(usageKey(own), tolerantJson.encodeToString(record)))
    }

    private fun updateTime() {
        time.update()
        time.offsetMillis?.let { counter.setOffset(it, context.now()) }
    }

    /** Updates the true time and what some VM must hold. Call on the control thread, several times a second. */
    fun tick() {
        updateTime()
        val subjects = buildSet {
            if (options.usage != null) add(USAGE_SUBJECT)
            if (options.scalesServers) targets().forEach { add(it.subject) }
        }
        if (subjects != required) context.leases().require(subjects)
        required = subjects
    }

    /** Performs the duties that this VM holds. Call several times a second; not concurrently. */
    suspend fun reportUsage() {
        usage?.step()
    }

    /** As [reportUsage], for the orders of backend servers. */
    suspend fun orderServers() {
        scale?.step()
    }

    private fun liveProcesses(): Set<GatewayProcess> = state.members.filterValues { it.wallOffsetMillis != null }
        .mapTo(HashSet()) { (vm, record) -> GatewayProcess(vm, record.incarnation) }

    private fun scaledServices() =
        state.operator.configuration?.services.orEmpty().filterValues { it.autoscale != null }

    // A failure domain whose servers are all gone still gets orders.
    private fun targets(): Set<ScaleTarget> {
        val services = scaledServices().keys
        state.selection.registered.values.filter { it.service in services }
            .mapTo(seenTargets) { ScaleTarget(it.service, it.domain) }
        return seenTargets.filterTo(HashSet()) { it.service in services }
    }

    private fun scaleInputs(
        targets: Set<ScaleTarget>,
        orders: Map<ScaleTarget, ScaleOrderRecord>,
        usage: UsageReading,
    ): ScaleInputs? {
        val services = scaledServices()
        val tableMillis = time.tableMillis ?: return null
        return ScaleInputs(
            now = tableMillis,
            services = services,
            targets = targets,
            servers = state.selection.registered.values.filter { it.service in services },
            serversAgeMillis = context.serversAgeMillis(),
            members = state.members,
            membersAgeMillis = tableMillis - (state.members.values.maxOfOrNull { it.tableMillis } ?: 0),
            usage = usage.rows,
            usageAgeMillis = context.now() - usage.readAt,
            drainedDomains = state.operator.drainedDomains,
            orders = orders,
        )
    }
}
