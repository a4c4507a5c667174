/*
 * The configuration of the gateway: which host and path leads to which service, which key belongs to which team, and
 * what the engines of a service can hold. It is one immutable value that replaces the one before it as a whole. Times
 * are in milliseconds, sizes of weights in mebibytes.
 */
package org.lentilquay.state.gateway

import org.lentilquay.state.DomainId
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/** What may be repeated on a route. */
enum class RouteKind {
    /** A request may run any number of times. */
    IDEMPOTENT,

    /** A request runs at most once. */
    RUN_ONCE,

    /** The answer is a series of events; a request runs at most once unless the route can be resumed. */
    STREAM,
}

/** A service and its share of the requests of a route. */
data class WeightedService(val service: String, val weight: Int)

/** One route: requests to [host] whose path starts with [pathPrefix] go to one of [services]. */
data class GatewayRoute(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RouteKind,
    val services: List<WeightedService>,
    /** Longest time that a request may take, from its arrival; 0 for no bound. */
    val timeoutMillis: Long,
    /** Time within which an answer has its full value. */
    val targetLatencyMillis: Long,
    /** Most backend servers on which one request may run. */
    val maximumAttempts: Int,
    val priority: Int,
    /** Whether requests need no key. */
    val isOpen: Boolean,
    /** Whether a stream can be continued on another backend server after its last event. */
    val isResumable: Boolean,
) {
    /** Whether a request that may have run can be sent to another backend server. */
    val mayRunAgain: Boolean get() = kind == RouteKind.IDEMPOTENT || (kind == RouteKind.STREAM && isResumable)
}

/** A base model that the engines of a service can load. */
data class BaseModel(val name: String, val weightsMebibytes: Double, val adapterMebibytes: Double)

/** What one engine of a service holds. */
data class EngineProfile(
    val models: List<BaseModel>,
    val weightMemoryMebibytes: Double,
    val adapterSlots: Int,
    /** Requests that one engine runs at the same time. */
    val batchSize: Int,
) {
    /** Adapters of [model] that fit beside its weights. */
    fun adapterCapacity(model: String): Int {
        val base = models.firstOrNull { it.name == model } ?: return 0
        val free = weightMemoryMebibytes - base.weightsMebibytes
        val bySize = if (base.adapterMebibytes > 0) (free / base.adapterMebibytes).toInt() else adapterSlots
        return minOf(adapterSlots, bySize).coerceAtLeast(0)
    }
}

/** A service; [engine] is null for a plain service. */
data class ServiceProfile(
    val name: String,
    /** How long a backend server stays cold after its start, and the requests a second that it bears meanwhile. */
    val coldMillis: Long,
    val coldRequestsPerSecond: Double,
    val engine: EngineProfile?,
)

/** What a team's keys entitle to. A request without a token count is charged [defaultTokenCharge]. */
data class TeamAccess(val team: Team, val defaultTokenCharge: Long, val priority: Int?)

/** Bounds on what callers send, in bytes and milliseconds. */
data class CallerLimits(
    val headerBytes: Int,
    val bodyBytes: Int,
    val headerTimeoutMillis: Long,
    val idleTimeoutMillis: Long,
)

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

/** What operators changed apart from the configuration itself. */
data class OperatorState(
    val configuration: GatewayConfiguration? = null,
    val drainedDomains: Set<DomainId> = emptySet(),
    /** The newest announced version of adapters that have more than one. */
    val adapterVersions: Map<AdapterName, Long> = emptyMap(),
)
