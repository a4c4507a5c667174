/*
 * Carries out the disturbance of a scenario while the trace is sent, and records its events. Times are seconds from the
 * start of the trace.
 */
package org.lentilquay.bench

import kotlinx.coroutines.delay
import org.lentilquay.protocol.PlatformControl
import org.lentilquay.protocol.PlatformPart
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import java.util.concurrent.CopyOnWriteArrayList

/** The domain that is drained or lost; not that of the first VM, which the operator calls. */
private const val AFFECTED_DOMAIN = "domain-2"
private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_SECOND = 1e9
private const val PHASES_PER_TRACE = 3.0
private const val MAXIMUM_OUTAGE_SECONDS = 60.0

/** The platform removes crashed VMs from its VM list after this time. */
private const val VM_LIST_LAG_SECONDS = 5.0

/** A change of the fleet or the workload, [seconds] from the start of the trace. */
internal class RunEvent(val name: String, val seconds: Double)

internal class DisturbanceRunner(
    private val scenario: Scenario,
    private val seconds: Int,
    private val fleet: Fleet,
    private val operator: FleetOperator,
    private val monitor: FleetMonitor,
) {
    private val recordedEvents = CopyOnWriteArrayList<RunEvent>()
    private var traceStartNanos = 0L

    val events: List<RunEvent> get() = recordedEvents.sortedBy { it.seconds }

    /** The indexes of the engines in the domain that is drained or lost; empty if none is. */
    val affectedEngines: List<Int> = when (scenario.disturbance) {
        Disturbance.DOMAIN_DRAINED, Disturbance.DOMAIN_LOST ->
            fleet.engines.indices.filter { fleet.engines[it].domain == AFFECTED_DOMAIN }
        Disturbance.NONE, Disturbance.TABLE_OUTAGE -> emptyList()
    }

    /** Returns after the last event. [startNanos] is the start of the trace by `System.nanoTime`. */
    suspend fun run(startNanos: Long) {
        traceStartNanos = startNanos
        recordWorkloadEvents(scenario.workload(null))
        when (scenario.disturbance) {
            Disturbance.NONE -> Unit
            Disturbance.DOMAIN_DRAINED -> drainDomain()
            Disturbance.DOMAIN_LOST -> crashDomain()
            Disturbance.TABLE_OUTAGE -> interruptTableService()
        }
    }

    private fun recordWorkloadEvents(workload: Workload) {
        if (workload.popularityShifts) recordedEvents += RunEvent("popularity shifts", seconds * SHIFT_FRACTION)
        if (workload.peakFactor != 1.0) {
            recordedEvents += RunEvent("arrivals rise", seconds * PEAK_START_FRACTION)
            recordedEvents += RunEvent("arrivals are usual again", seconds * PEAK_END_FRACTION)
        }
    }

    private suspend fun drainDomain() {
        val domain = DomainId(AFFECTED_DOMAIN)
        delayUntil(seconds / PHASES_PER_TRACE)
        operator.applyChange(ConfigurationChange.SetDomainState(domain, DomainState.DRAINED))
        recordEvent("drain confirmed")
        delayUntil(2 * seconds / PHASES_PER_TRACE)
        recordEvent("return requested")
        operator.applyChange(ConfigurationChange.SetDomainState(domain, DomainState.SERVING))
    }

    private suspend fun crashDomain() {
        val vms = fleet.vms.filter { it.entry.domain == AFFECTED_DOMAIN }
        val engines = fleet.engines.filter { it.domain == AFFECTED_DOMAIN }
        val standIns = engines + fleet.services.filter { it.domain == AFFECTED_DOMAIN }
        delayUntil(seconds / PHASES_PER_TRACE)
        monitor.retainCounters(vms, engines)
        recordEvent("domain lost")
        vms.forEach(DaemonProcess::kill)
        standIns.forEach(RestartableStandIn::stop)
        delayUntil(minOf(seconds / PHASES_PER_TRACE + VM_LIST_LAG_SECONDS, seconds / 2.0))
        vms.forEach { fleet.platform.deregister(it.name) }
        delayUntil(2 * seconds / PHASES_PER_TRACE)
        recordEvent("domain started again")
        standIns.forEach(RestartableStandIn::restart)
        vms.forEach {
            fleet.platform.register(it.entry)
            it.restart()
        }
    }

    private suspend fun interruptTableService() {
        val outageSeconds = minOf(MAXIMUM_OUTAGE_SECONDS, seconds / PHASES_PER_TRACE)
        delayUntil(seconds / PHASES_PER_TRACE)
        fleet.platform.control(PlatformControl(outage = true, outageOf = setOf(PlatformPart.TABLE)))
        recordEvent("table service out for ${number(outageSeconds)} s")
        delayUntil(seconds / PHASES_PER_TRACE + outageSeconds)
        fleet.platform.control(PlatformControl(outage = false))
        recordEvent("table service back")
    }

    private fun recordEvent(name: String) {
        recordedEvents += RunEvent(name, secondsSince(traceStartNanos))
    }

    private suspend fun delayUntil(time: Double) {
        delay(((time - secondsSince(traceStartNanos)) * MILLIS_PER_SECOND).toLong())
    }
}

/** Seconds since [startNanos] of `System.nanoTime`. */
internal fun secondsSince(startNanos: Long): Double = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
