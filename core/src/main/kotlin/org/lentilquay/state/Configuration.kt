/*
 * The configuration that operators change by confirmed plans: an immutable value of a revision and the items in force
 * at that revision. [Configuration.apply] creates the next revision from a [ConfigurationChange].
 */
package org.lentilquay.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A team with its rate limit, a token bucket over all VMs. */
@Serializable
data class Team(
    val id: TeamId,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    /** Weight in fair queueing when teams compete for a backend server. */
    val weight: Int = 1,
)

/** An API key of a team. Only the SHA-256 of its text, in hexadecimal, is stored. */
@Serializable
data class CallerKey(val id: KeyId, val team: TeamId, val sha256: String)

/** A LoRA adapter of a base model and its versions. Requests that name no version run on [current]. */
@Serializable
data class Adapter(val name: String, val baseModel: String, val versions: Set<Int>, val current: Int)

/** Whether a backend server is a model engine or a plain service. */
@Serializable
enum class ServerKind { ENGINE, SERVICE }

/** A backend server as configured by an operator. */
@Serializable
data class BackendServer(
    val id: ServerId,
    val kind: ServerKind,
    /** Address as `ip:port`. */
    val address: String,
    val domain: DomainId,
    /** The base model of an engine, or the service name of a plain service. */
    val serves: String,
    /** Whether the server rejects an order that carries an old fencing number. */
    val checksFencing: Boolean,
    /** The number of adapters that the engine holds at once; 0 for a plain service. */
    val adapterSlots: Int = 0,
    /** The limit of concurrent requests of the warm server. */
    val maximumInFlight: Int,
    /** The limit of concurrent requests during a cold start. */
    val coldInFlight: Int,
    val state: ServerState = ServerState.SERVING,
)

/** Whether the operator allows new requests to a backend server. */
@Serializable
enum class ServerState { SERVING, STOPPED }

/** Whether the operator allows new requests in a failure domain. */
@Serializable
enum class DomainState { SERVING, DRAINED }

/** The target of a route: an adapter of an engine, or a plain service. */
@Serializable
sealed interface RouteTarget {
    /** Inference with [adapter]; a null [version] means the adapter's current version. */
    @Serializable
    @SerialName("adapter")
    data class AdapterTarget(val adapter: String, val version: Int? = null) : RouteTarget

    /** Forwards to the plain service [service]. Calls with a method in [nonRepeatableMethods] run at most once. */
    @Serializable
    @SerialName("service")
    data class ServiceTarget(val service: String, val nonRepeatableMethods: Set<String> = setOf("POST")) : RouteTarget
}

/** A name that callers use, its target, and the teams that may use it. */
@Serializable
data class Route(
    val id: RouteId,
    val target: RouteTarget,
    /** Whether requests need no key. The tokens of requests without a key are charged to [openTeam]. */
    val open: Boolean = false,
    /** The team that is charged for requests without a key on an open route. */
    val openTeam: TeamId? = null,
    /** Teams whose keys may use the route; null means every team. */
    val teams: Set<TeamId>? = null,
    /** The maximum time, in milliseconds, that a request waits for a batch slot before it is refused. */
    @SerialName("patienceMillis") val maximumWaitMillis: Long = 3_000,
    /** The output limit, in tokens, of a request that names none. */
    val defaultMaximumTokens: Int = 256,
)

/** The configuration at one revision. A VM never returns to a lower [revision]. */
@Serializable
data class Configuration(
    val revision: Long = 0,
    val teams: Map<TeamId, Team> = emptyMap(),
    val keys: Map<KeyId, CallerKey> = emptyMap(),
    val adapters: Map<String, Adapter> = emptyMap(),
    val routes: Map<RouteId, Route> = emptyMap(),
    val servers: Map<ServerId, BackendServer> = emptyMap(),
    val domains: Map<DomainId, DomainState> = emptyMap(),
)

/** Whether the configuration allows new requests to [server]. */
fun Configuration.mayTakeWork(server: BackendServer): Boolean =
    server.state == ServerState.SERVING && domains[server.domain] != DomainState.DRAINED
