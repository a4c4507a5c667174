/*
 * What the number of backend servers of one service is decided from, and what is decided. All values are immutable.
 * Times are monotonic milliseconds of the deciding VM; each input carries the time at which it was known to be true.
 */
package org.lentilquay.coordination.gateway.scale

import org.lentilquay.state.DomainId

/** The limits of a service for each failure domain, and the time from an order until a new server serves. */
data class ScaleLimits(val minimum: Int, val maximum: Int, val bootMillis: Long) {
    init {
        require(minimum in 0..maximum && bootMillis > 0) { "limits of the number of servers are out of range" }
    }
}

/** The registered servers of a service in one failure domain. Servers that leave are not among the others. */
data class ServerCounts(val ready: Int, val cold: Int = 0, val leaving: Int = 0) {
    /** The servers that serve or will. */
    val present: Int get() = ready + cold
}

/** Requests at the engines in one failure domain. */
data class EngineOccupancy(val running: Int, val queued: Int = 0)

/**
 * Demand of the callers in one failure domain. [arrivalsPerSecond] includes requests that were refused for lack of
 * room; [waiting] requests wait for a batch slot at a VM.
 */
data class CallerDemand(val arrivalsPerSecond: Double, val waiting: Int = 0, val refusedPerSecond: Double = 0.0)

/** The number that was ordered last for one failure domain, and when by the clock of this VM. */
data class ScaleOrder(val desired: Int, val orderedAt: Long)

/** One failure domain in which the service runs. */
data class DomainInputs(
    val servers: ServerCounts,
    val occupancy: EngineOccupancy,
    val demand: CallerDemand,
    val isDrained: Boolean = false,
    /** Null if nothing was ordered yet. */
    val order: ScaleOrder? = null,
)

/**
 * The places that adapters take: [inUse] over all engines of the service, counting only adapters that were used lately,
 * and the places of one engine; 0 for a service without adapters.
 */
data class AdapterPlaces(val inUse: Int, val perServer: Int)

/** When each kind of input was true. */
data class InputTimes(val servers: Long, val occupancy: Long, val demand: Long, val drained: Long, val places: Long) {
    /** The age of the oldest input. */
    fun ageAt(now: Long): Long = now - minOf(minOf(servers, occupancy), minOf(demand, drained, places))
}

data class ScaleInputs(
    val limits: ScaleLimits,
    /** The requests that one server runs concurrently. */
    val slotsPerServer: Int,
    val domains: Map<DomainId, DomainInputs>,
    val places: AdapterPlaces,
    val times: InputTimes,
)

/** Why a number is as it is; [text] is for the log line. */
enum class ScaleReason(val text: String) {
    STALE("an input is too old"),
    DRAINED("the failure domain is drained"),
    STEADY("the need equals the number"),
    RISES("the need has risen"),
    FALLS("the lower need has held for two boot times"),
    NOT_HELD("the lower need has not held for two boot times"),
    FELL("the number fell less than a boot time ago"),
    OCCUPIED("requests occupy the servers"),
    ADAPTERS("adapters in use have no places at fewer servers"),
}

/** The number wanted for one failure domain, and the [former] one. */
data class DomainNumber(val wanted: Int, val former: Int, val reason: ScaleReason) {
    val isChanged: Boolean get() = wanted != former
}

/** The numbers for all failure domains of a service, and the need in requests from which they follow. */
data class ScaleNumbers(
    val domains: Map<DomainId, DomainNumber>,
    /** The requests that the service has now, running, waiting or refused. */
    val need: Double,
    /** The same one boot time from now. */
    val forecast: Double,
    /** The age of the oldest input, in milliseconds. */
    val ageMillis: Long,
    private val inputs: ScaleInputs,
) {
    /** The fields of the log line about [domain]. */
    fun logFields(domain: DomainId): List<Pair<String, Any?>> {
        val number = domains.getValue(domain)
        val input = inputs.domains.getValue(domain)
        return listOf(
            "domain" to domain,
            "desired" to number.wanted,
            "former" to number.former,
            "reason" to number.reason.text,
            "need" to need.toLong(),
            "forecast" to forecast.toLong(),
            "ready" to input.servers.ready,
            "cold" to input.servers.cold,
            "leaving" to input.servers.leaving,
            "running" to input.occupancy.running,
            "queued" to input.occupancy.queued,
            "arrivalsPerSecond" to input.demand.arrivalsPerSecond.toLong(),
            "waiting" to input.demand.waiting,
            "refusedPerSecond" to input.demand.refusedPerSecond.toLong(),
            "adapterPlaces" to inputs.places.inUse,
            "ageMillis" to ageMillis,
        )
    }
}
