/*
 * Applies the scale decision to what this VM knows: one decision for each service, which lasts as long as this VM holds
 * the duty.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.gateway.scale.AdapterPlaces
import org.lentilquay.coordination.gateway.scale.CallerDemand
import org.lentilquay.coordination.gateway.scale.DomainInputs
import org.lentilquay.coordination.gateway.scale.EngineOccupancy
import org.lentilquay.coordination.gateway.scale.InputTimes
import org.lentilquay.coordination.gateway.scale.ScaleDecision
import org.lentilquay.coordination.gateway.scale.ScaleLimits
import org.lentilquay.coordination.gateway.scale.ScaleOrder
import org.lentilquay.coordination.gateway.scale.ServerCounts
import org.lentilquay.daemon.logs.event
import org.lentilquay.state.DomainId
import org.lentilquay.state.gateway.AutoscaleLimits
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.ScaleOrderRecord
import org.lentilquay.state.gateway.ScaleTarget
import org.lentilquay.state.gateway.ServiceProfile
import org.lentilquay.coordination.gateway.scale.ScaleInputs as ServiceInputs

private val log = KotlinLogging.logger {}
private const val MILLIS_PER_SECOND = 1_000.0

class DecidedScalePlanner : ScalePlanner {
    private val decisions = HashMap<String, ScaleDecision>()

    override fun taken(orders: Map<ScaleTarget, ScaleOrderRecord>, now: Long) = decisions.clear()

    override fun wanted(inputs: ScaleInputs): Map<ScaleTarget, Int> = buildMap {
        inputs.services.forEach { (name, profile) ->
            val serviceInputs = inputsOf(name, profile, inputs) ?: return@forEach
            val numbers = decisions.getOrPut(name, ::ScaleDecision).decide(serviceInputs, inputs.now)
            numbers.domains.forEach { (domain, number) ->
                if (number.isChanged) {
                    log.event("number of servers decided", listOf("service" to name) + numbers.logFields(domain))
                }
                val target = ScaleTarget(name, domain)
                if (target in inputs.targets) put(target, number.wanted)
            }
        }
    }
}

/** The inputs for the service [name]; null if its limits are out of range or its servers are not known. */
private fun inputsOf(name: String, profile: ServiceProfile, inputs: ScaleInputs): ServiceInputs? {
    val limits = profile.autoscale?.takeIf { it.isValid } ?: return null
    val servers = inputs.servers.filter { it.service == name }
    val slots = profile.engine?.batchSize ?: servers.minOfOrNull { it.batchSlots } ?: return null
    val ids = servers.mapTo(HashSet()) { it.id }
    val engines = inputs.members.values.flatMap { it.engines }.filter { it.server in ids }.associateBy { it.server }
    val domains = servers.mapTo(HashSet()) { it.domain } +
        inputs.targets.filter { it.service == name }.map { it.domain }
    if (domains.isEmpty() || slots <= 0) return null
    val usageTime = inputs.now - inputs.usageAgeMillis
    val memberTime = inputs.now - inputs.membersAgeMillis
    val serverTime = inputs.now - inputs.serversAgeMillis
    return ServiceInputs(
        limits = ScaleLimits(limits.minimum, limits.maximum, limits.bootMillis),
        slotsPerServer = slots,
        domains = domains.associateWith { domain ->
            val ofDomain = servers.filter { it.domain == domain }
            DomainInputs(
                servers = countsOf(ofDomain),
                occupancy = occupancyOf(ofDomain.mapNotNull { engines[it.id] }),
                demand = demandIn(domain, name, inputs),
                isDrained = domain in inputs.drainedDomains,
                order = inputs.orders[ScaleTarget(name, domain)]?.let { ScaleOrder(it.desired, it.tableMillis) },
            )
        },
        places = AdapterPlaces(engines.values.sumOf { it.usedAdapters ?: 0 }, profile.engine?.adapterSlots ?: 0),
        times = InputTimes(serverTime, memberTime, usageTime, serverTime, memberTime),
    )
}

private val AutoscaleLimits.isValid: Boolean get() = minimum in 0..maximum && bootMillis > 0

private fun countsOf(servers: List<RegisteredServer>): ServerCounts {
    val (leaving, staying) = servers.partition { it.isDraining }
    val cold = staying.count { it.coldMillis > 0 }
    return ServerCounts(staying.size - cold, cold, leaving.size)
}

private fun occupancyOf(engines: List<EngineRecord>) =
    EngineOccupancy(engines.sumOf { it.running }, engines.sumOf { it.queued })

/** The demand of the callers of the VMs in [domain]; rows of former processes cover a time that has passed. */
private fun demandIn(domain: DomainId, service: String, inputs: ScaleInputs): CallerDemand {
    val rows = inputs.usage.filterKeys { process ->
        val member = inputs.members[process.vm]
        member?.domain == domain && member.incarnation == process.incarnation
    }.values
    fun perSecond(count: Long, millis: Long) = if (millis > 0) count * MILLIS_PER_SECOND / millis else 0.0
    return CallerDemand(
        arrivalsPerSecond = rows.sumOf { perSecond(it.demand[service]?.arrivals ?: 0, it.spanMillis) },
        waiting = rows.sumOf { it.demand[service]?.waiting ?: 0 }.toInt(),
        refusedPerSecond = rows.sumOf { perSecond(it.demand[service]?.refused ?: 0, it.spanMillis) },
    )
}
