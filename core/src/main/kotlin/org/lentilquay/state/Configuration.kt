/*
 * The configuration that operators change by confirmed plans. It is a value: a revision and the items in force at that
 * revision. Changes are applied one revision at a time by [Configuration.apply]; see ConfigurationChange.
 */
package org.lentilquay.state

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A team with its share of the fleet, in tokens. */
@Serializable
data class Team(
    val id: TeamId,
    val tokensPerSecond: Long,
    val burstTokens: Long,
    /** Relative share when teams compete for a backend server. */
    val weight: Int = 1,
)

/** A caller's key, kept as the SHA-256 of its text in hexadecimal. */
@Serializable
data class CallerKey(val id: KeyId, val team: TeamId, val sha256: String)

/** An adapter of a base model and its versions. Requests that name no version run on [current]. */
@Serializable
data class Adapter(val name: String, val baseModel: String, val versions: Set<Int>, val current: Int)

/** Whether a backend server is a model engine or a plain service. */
@Serializable
enum class ServerKind { ENGINE, SERVICE }

/** A backend server as the operator configured it. */
@Serializable
data class BackendServer(
    val id: ServerId,
    val kind: ServerKind,
    /** Address as `ip:port`. */
    val address: String,
    val domain: DomainId,
    /** The base model of an engine, or the service name of a plain service. */
    val serves: String,
    /** Whether the server refuses an order that carries an old fencing number. */
    val checksFencing: Boolean,
    /** Adapters that the engine holds at once; 0 for a plain service. */
    val adapterSlots: Int = 0,
    /** Requests that the server runs at once when it is warm. */
    val maximumInFlight: Int,
    /** Requests that the server bears at once in a cold start. */
    val coldInFlight: Int,
    val state: ServerState = ServerState.SERVING,
)

/** Whether the operator lets a backend server take new work. */
@Serializable
enum class ServerState { SERVING, STOPPED }

/** Whether the operator lets a failure domain take new work. */
@Serializable
enum class DomainState { SERVING, DRAINED }

/** What callers name: an adapter of an engine, or a plain service. */
@Serializable
sealed interface RouteTarget {
    /** Runs on [adapter]; [version] null stands for the adapter's current version. */
    @Serializable
    @SerialName("adapter")
    data class AdapterTarget(val adapter: String, val version: Int? = null) : RouteTarget

    /** Forwards to the plain service [service]; calls with a method in [nonRepeatableMethods] run at most once. */
    @Serializable
    @SerialName("service")
    data class ServiceTarget(val service: String, val nonRepeatableMethods: Set<String> = setOf("POST")) : RouteTarget
}

/** A name that callers use, what it leads to, and who may use it. */
@Serializable
data class Route(
    val id: RouteId,
    val target: RouteTarget,
    /** An open route needs no key. Its tokens are charged to [openTeam]. */
    val open: Boolean = false,
    /** The team that pays for requests without a key on an open route. */
    val openTeam: TeamId? = null,
    /** Teams whose keys may use the route; null stands for every team. */
    val teams: Set<TeamId>? = null,
    /** The longest time, in milliseconds, that a request may wait for a place before it is refused. */
    @SerialName("patienceMillis") val maximumWaitMillis: Long = 3_000,
    /** The output bound, in tokens, of a request that names none. */
    val defaultMaximumTokens: Int = 256,
)

/** The configuration at one revision. A VM never goes back to a lower [revision]. */
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

/** Whether [server] may take new work as far as the configuration says. */
fun Configuration.mayTakeWork(server: BackendServer): Boolean =
    server.state == ServerState.SERVING && domains[server.domain] != DomainState.DRAINED
