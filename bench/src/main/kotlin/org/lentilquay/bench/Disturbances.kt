/*
 * Carries out what a scenario does to the fleet while the trace is sent, and notes when. Times are seconds from the
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

/** The domain that leaves; the VM that the operator calls is in another one. */
private const val LEAVING_DOMAIN = "domain-2"
private const val MILLIS_PER_SECOND = 1_000.0
private const val NANOS_PER_SECOND = 1e9
private const val THIRDS = 3.0
private const val LONGEST_OUTAGE_SECONDS = 60.0

/** The platform's list drops VMs that vanished after this time. */
private const val LIST_LAG_SECONDS = 5.0

/** Something that began or ended [seconds] from the start of the trace. */
internal class Event(val name: String, val seconds: Double)

internal class Disturbances(
    private val scenario: Scenario,
    private val seconds: Int,
    private val fleet: Fleet,
    private val operator: FleetOperator,
    private val reader: FleetReader,
) {
    private val noted = CopyOnWriteArrayList<Event>()
    private var start = 0L

    val events: List<Event> get() = noted.sortedBy { it.seconds }

    /** The places, among the engines, of those in the domain that leaves; empty if none does. */
    val leavingEngines: List<Int> = when (scenario.disturbance) {
        Disturbance.DOMAIN_DRAINED, Disturbance.DOMAIN_LOST ->
            fleet.engines.indices.filter { fleet.engines[it].domain == LEAVING_DOMAIN }
        Disturbance.NONE, Disturbance.TABLE_OUTAGE -> emptyList()
    }

    /** Returns when nothing more is going to happen. [startNanos] is the start of the trace. */
    suspend fun run(startNanos: Long) {
        start = startNanos
        noteWorkload(scenario.workload(null))
        when (scenario.disturbance) {
            Disturbance.NONE -> Unit
            Disturbance.DOMAIN_DRAINED -> drainDomain()
            Disturbance.DOMAIN_LOST -> loseDomain()
            Disturbance.TABLE_OUTAGE -> stopTable()
        }
    }

    private fun noteWorkload(workload: Workload) {
        if (workload.popularityShifts) noted += Event("popularity shifts", seconds * SHIFT_PART)
        if (workload.peakFactor != 1.0) {
            noted += Event("arrivals rise", seconds * PEAK_BEGIN_PART)
            noted += Event("arrivals are usual again", seconds * PEAK_END_PART)
        }
    }

    private suspend fun drainDomain() {
        val domain = DomainId(LEAVING_DOMAIN)
        awaitTime(seconds / THIRDS)
        operator.change(ConfigurationChange.SetDomainState(domain, DomainState.DRAINED))
        note("drain confirmed")
        awaitTime(2 * seconds / THIRDS)
        note("return requested")
        operator.change(ConfigurationChange.SetDomainState(domain, DomainState.SERVING))
    }

    private suspend fun loseDomain() {
        val vms = fleet.vms.filter { it.entry.domain == LEAVING_DOMAIN }
        val engines = fleet.engines.filter { it.domain == LEAVING_DOMAIN }
        val standIns = engines + fleet.services.filter { it.domain == LEAVING_DOMAIN }
        awaitTime(seconds / THIRDS)
        reader.keep(vms, engines)
        note("domain lost")
        vms.forEach(RunningVm::kill)
        standIns.forEach(RunningStandIn::stop)
        awaitTime(minOf(seconds / THIRDS + LIST_LAG_SECONDS, seconds / 2.0))
        vms.forEach { fleet.platform.deregister(it.name) }
        awaitTime(2 * seconds / THIRDS)
        note("domain started again")
        standIns.forEach(RunningStandIn::restart)
        vms.forEach {
            fleet.platform.register(it.entry)
            it.restart()
        }
    }

    private suspend fun stopTable() {
        val length = minOf(LONGEST_OUTAGE_SECONDS, seconds / THIRDS)
        awaitTime(seconds / THIRDS)
        fleet.platform.control(PlatformControl(outage = true, outageOf = setOf(PlatformPart.TABLE)))
        note("table service out for ${number(length)} s")
        awaitTime(seconds / THIRDS + length)
        fleet.platform.control(PlatformControl(outage = false))
        note("table service back")
    }

    private fun note(name: String) {
        noted += Event(name, secondsSince(start))
    }

    private suspend fun awaitTime(time: Double) {
        delay(((time - secondsSince(start)) * MILLIS_PER_SECOND).toLong())
    }
}

/** Seconds since [startNanos] of `System.nanoTime`. */
internal fun secondsSince(startNanos: Long): Double = (System.nanoTime() - startNanos) / NANOS_PER_SECOND
