/*
 * The configuration of the gateway: routes from host and path to services, the keys of teams, and the capacity of the
 * engines of a service. It is an immutable value that is replaced as a whole. Times are in milliseconds, sizes of
 * weights in mebibytes.
 */
package org.lentilquay.state.gateway

import org.lentilquay.state.DomainId
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/** Whether requests of a route may be executed more than once. */
enum class RouteKind {
    /** A request may be executed any number of times. */
    IDEMPOTENT,

    /** A request is executed at most once. */
    RUN_ONCE,

    /** The response is an event stream. A request is executed at most once unless the route is resumable. */
    STREAM,
}

/** A service with its relative weight in the traffic split of a route. */
data class WeightedService(val service: String, val weight: Int)

/** A route: requests to [host] whose path starts with [pathPrefix] are forwarded to one of [services]. */
data class GatewayRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    /** Deadline of a request, from its arrival; 0 for none. */
    val timeoutMillis: Long,
    /** Latency target of a response, from the arrival of the request. */
    val targetLatencyMillis: Long,
    /** The maximum number of backend servers on which one request may be executed. */
    val maximumAttempts: Int,
    /** The priority of requests of teams that have none of their own. */
    val priority: Int,
    /** Whether requests need no key. */
    val isOpen: Boolean,
    /** Whether a broken stream can be resumed on another backend server after its last event. */
    val isResumable: Boolean,
) {
    /** Whether a request that may have been executed can be retried on another backend server. */
    val mayRunAgain: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}

/** A base model that the engines of a service can load, with its size and the size of one of its adapters. */
data class BaseModel(val name: String, val weightsMebibytes: Double, val adapterMebibytes: Double)

/** The capacity of one engine of a service. */
data class EngineProfile(
    val models: List<BaseModel>,
    /** Memory for the weights of base models and adapters together. */
    val weightMemoryMebibytes: Double,
    val adapterSlots: Int,
    /** Batch slots: the number of requests that one engine runs concurrently. */
    val batchSize: Int,
) {
    /** The number of adapters of [model] that fit into memory beside the weights of the model. */
    fun adapterCapacity(model: String): Int {
        val base = models.firstOrNull { it.name == model } ?: return 0
        val free = weightMemoryMebibytes - base.weightsMebibytes
        val bySize = if (base.adapterMebibytes > 0) (free / base.adapterMebibytes).toInt() else adapterSlots
        return minOf(adapterSlots, bySize).coerceAtLeast(0)
    }
}

/** A service. [engine] is null for a plain service. */
data class ServiceProfile(
    val name: String,
    /** How long a backend server stays cold after its start. */
    val coldMillis: Long,
    /** The request rate limit of a cold backend server. */
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?,
    /** The limits of the number of servers in each failure domain; null if it is not ordered. */
    val autoscale: AutoscaleLimits? = null,
)

/** The limits of the number of servers in a failure domain, and the time from an order until a new server serves. */
data class AutoscaleLimits(val minimum: Int, val maximum: Int, val bootMillis: Long)

/**
 * The rate limit and priority of requests with a team's keys. A request that states no token count is charged
 * [defaultTokenCharge]; a null [priority] means that of the route.
 */
data class TeamAccess(val team: Team, val defaultTokenCharge: Long, val priority: Int?)

/** Limits on requests of callers, in bytes and milliseconds. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    /** Time within which the request head must arrive. */
    val headerTimeoutMillis: Long,
    /** Time after which an idle connection is closed. */
    val idleTimeoutMillis: Long,
) {
    /**
     * The larger of each limit. While a change of the configuration spreads, some callers keep to the former limits and
     * some to the [present] ones.
     */
    fun largerOf(present: CallerLimits) = CallerLimits(
        headerBytes = maxOf(headerBytes, present.headerBytes),
        bodyBytes = maxOf(bodyBytes, present.bodyBytes),
        headerTimeoutMillis = maxOf(headerTimeoutMillis, present.headerTimeoutMillis),
        idleTimeoutMillis = maxOf(idleTimeoutMillis, present.idleTimeoutMillis),
    )
}

/** The whole configuration of the gateway. */
data class GatewayConfiguration(
    val version: Long,
    val routes: List<GatewayRoute>,
    val services: Map<String, ServiceProfile>,
    val teams: Map<TeamId, TeamAccess>,
    /** The team of each key, by the SHA-256 of the key in hexadecimal. */
    val teamByKeyHash: Map<String, TeamId>,
    val callerLimits: CallerLimits,
)

/** Everything that operators control: the configuration, drained failure domains and adapter versions. */
data class OperatorState(
    val configuration: GatewayConfiguration? = null,
    val drainedDomains: Set<DomainId> = emptySet(),
    /** The latest published version of adapters that have more than one version. */
    val adapterVersions: Map<AdapterName, Long> = emptyMap(),
)
