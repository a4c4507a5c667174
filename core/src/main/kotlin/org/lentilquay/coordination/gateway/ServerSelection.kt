/*
 * Chooses the backend server of a request on the VM that received it, without a call to another VM. The inputs are the
 * registered servers, the drained failure domains, the engine states that controllers publish in their member records,
 * and this VM's own observations. A request for an adapter goes to an engine that holds it. If none does, or all that
 * do are busy, the adapter is loaded on the engine that ranks first for it by rendezvous hashing and cost, so that the
 * same adapters tend to stay on the same engines.
 *
 * Costs are in batch slots: a running request costs one.
 *
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.EngineRecord
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.OperatorState
import org.lentilquay.state.gateway.RegisteredServer

/** The server requirements of a request. */
data class ServerRequirements(
    val service: String,
    /** The base model, or null for a plain service. */
    val model: String?,
    val adapter: AdapterName?,
    /** Servers that already refused or failed this request. */
    val excluded: Set<ServerId> = emptySet(),
)

/** Where to send a request. */
sealed interface ServerChoice {
    /**
     * Send to [server], which holds [adapterVersion] of the adapter. If [reservationController] is set, reserve a batch
     * slot at that VM first.
     */
    data class Send(
        val server: RegisteredServer,
        val adapterVersion: Long? = null,
        val reservationController: VmId? = null,
    ) : ServerChoice

    /** Have [controller] load [version] of the adapter on [server] first, and reserve a batch slot if needed. */
    data class Load(
        val server: RegisteredServer,
        val controller: VmId,
        val version: Long,
        val needsReservation: Boolean = false,
    ) : ServerChoice

    /**
     * No server of the service can take the request now. [reopensAt] is when the first of them takes requests again, if
     * all of them have asked for a pause.
     */
    data class Unavailable(val reason: String, val reopensAt: Long? = null) : ServerChoice
}

/** An engine whose cost exceeds this fraction of its batch slots is busy; its adapters are loaded elsewhere too. */
private const val BUSY_FRACTION = 0.6

/** An observation of this VM overrides member records for this long, until they have caught up. */
private const val OBSERVATION_MILLIS = 2_500L

/** A member that did not answer is not called again for this long: about two renewals of its member record. */
private const val UNREACHABLE_MILLIS = 2_000L

/** The cost of a server in another failure domain, in batch slots. */
private const val OTHER_DOMAIN_COST_SLOTS = 0.4

/** An adapter is loaded on the engine of the next lower rank when that saves more than this, in batch slots. */
private const val RANK_COST_SLOTS = 12.0

class ServerSelection(
    private val own: VmId,
    private val domain: DomainId,
    private val health: ServerHealth,
    private val cold: ColdStartLimit,
    private val notices: ServerNotices = ServerNotices(),
) {
    /** [version] is null if the server did not hold the adapter. */
    private class Observation(val version: Long?, val at: Long)

    private var servers: Map<ServerId, RegisteredServer> = emptyMap()
    private var operator = OperatorState()
    private var members: Map<VmId, MemberRecord> = emptyMap()
    private var byService: Map<String, List<RegisteredServer>> = emptyMap()

    /** The controller and the published state of each engine. */
    private var engines: Map<ServerId, Pair<VmId, EngineRecord>> = emptyMap()

    /** The adapters that engines hold by their published state, with the versions. */
    private var holders: Map<AdapterName, Map<ServerId, Long>> = emptyMap()

    /** Members that missed several renewals. */
    private var overdueMembers: Set<VmId> = emptySet()

    /** Members that did not answer this VM, with the time until which they are not called. */
    private val unreachableUntil = HashMap<VmId, Long>()
    private val observations = HashMap<Pair<AdapterName, ServerId>, Observation>()

    /** Registered servers by id, including those that take no new work. */
    val registered: Map<ServerId, RegisteredServer> get() = servers

    /** Replaces the registered servers. A server that restarted is cold for the time in its registration. */
    fun serversChanged(changed: Map<ServerId, RegisteredServer>, now: Long) {
        changed.values.forEach { server ->
            val known = servers[server.id]
            val isNewOrRestarted = known == null || known.coldMillis != server.coldMillis ||
                known.startedAtEpochMillis != server.startedAtEpochMillis
            if (isNewOrRestarted && server.coldMillis > 0) cold.becameCold(server.id, now + server.coldMillis)
        }
        servers = changed
        health.retain(changed.keys)
        notices.retain(changed)
        refresh()
    }

    /** Replaces the operator's state. Servers of a failure domain that is no longer drained may be cold. */
    fun operatorChanged(changed: OperatorState, now: Long) {
        val returned = operator.drainedDomains - changed.drainedDomains
        operator = changed
        servers.values.filter { it.domain in returned }.forEach { server ->
            val coldMillis = changed.configuration?.services?.get(server.service)?.coldMillis ?: 0
            if (coldMillis > 0) cold.becameCold(server.id, now + coldMillis)
        }
        refresh()
    }

    /** Replaces the records of the live members; those in [overdue] missed several renewals. */
    fun membersChanged(changed: Map<VmId, MemberRecord>, overdue: Set<VmId>, now: Long) {
        if (changed.keys != members.keys) cold.membersChanged()
        members = changed
        overdueMembers = overdue
        unreachableUntil.values.removeIf { it <= now }
        val reported = HashMap<ServerId, Pair<VmId, EngineRecord>>()
        changed.forEach { (vm, record) ->
            record.engines.forEach { engine ->
                val known = reported[engine.server]
                if (known == null || known.second.fence < engine.fence) reported[engine.server] = vm to engine
            }
        }
        engines = reported
        holders = reported.values.flatMap { (_, engine) -> heldBy(engine) }
            .groupBy({ it.first }, { it.second })
            .mapValues { (_, held) -> held.toMap() }
        observations.values.removeIf { now - it.at > OBSERVATION_MILLIS }
        changed.filterKeys { it != own }.values.forEach { record ->
            record.leavingServers.forEach { (server, startedAt) -> notices.recordPublishedLeaving(server, startedAt) }
        }
        notices.retain(servers)
    }

    /** The controller of [server] by the member records, or null if there is none. */
    fun controllerOf(server: ServerId): VmId? = engines[server]?.first

    /** The member [vm] did not answer this VM. */
    fun memberUnreachable(vm: VmId, now: Long) {
        unreachableUntil[vm] = now + UNREACHABLE_MILLIS
    }

    /** The controller of [server], or null if there is none that is expected to answer. */
    private fun reachableController(server: ServerId, now: Long): VmId? =
        controllerOf(server)?.takeIf { it !in overdueMembers && (unreachableUntil[it] ?: 0) <= now }

    /** Whether the VMs of the fleet together can fill [server] before its load shows in a member record. */
    private fun needsReservation(server: RegisteredServer): Boolean = server.batchSlots <= members.size

    /** The servers of [service] that take new work. */
    fun openServers(service: String): List<RegisteredServer> = byService[service].orEmpty()

    /** This VM observed that [server] holds [version] of [adapter], or does not hold it if [version] is null. */
    fun recordAdapter(adapter: AdapterName, server: ServerId, version: Long?, now: Long) {
        observations[adapter to server] = Observation(version, now)
    }

    /** Whether [server] may get requests by its own answers, which may be newer than the choice of it. */
    fun isOpen(server: RegisteredServer, now: Long): Boolean = notices.isOpen(server, now)

    fun choose(request: ServerRequirements, now: Long): ServerChoice {
        val candidates = openServers(request.service).filter { it.id !in request.excluded }
        val open = candidates.filter { notices.isOpen(it, now) }
        if (open.isEmpty()) {
            val reopensAt = notices.reopensAt(candidates, now)
            return ServerChoice.Unavailable("no backend server of the service takes requests", reopensAt)
        }
        val eligible = if (request.model == null) open else open.filter { request.model in modelsOf(it) }
        if (eligible.isEmpty()) return ServerChoice.Unavailable("no engine that takes requests holds the base model")
        val chosen =
            if (request.adapter == null) leastCost(eligible, now) else chooseForAdapter(request.adapter, eligible, now)
        return limitColdStart(chosen, eligible, now)
    }

    /** Replaces a cold server that can take no further request now by a warm one. */
    private fun limitColdStart(chosen: ServerChoice, eligible: List<RegisteredServer>, now: Long): ServerChoice {
        val server = when (chosen) {
            is ServerChoice.Send -> chosen.server
            is ServerChoice.Load, is ServerChoice.Unavailable -> return chosen
        }
        if (acquireIfCold(server, now)) return chosen
        val others = eligible.filter { it.id != server.id && !cold.isCold(it.id, now) }
        val isAdapterRequest = chosen.adapterVersion != null
        if (others.isEmpty() || isAdapterRequest) return ServerChoice.Unavailable("backend server is in a cold start")
        return leastCost(others, now)
    }

    /** Takes a token of the cold start limit if [server] is cold; returns false if there is none. */
    fun acquireIfCold(server: RegisteredServer, now: Long): Boolean {
        val rate = operator.configuration?.services?.get(server.service)?.coldRequestsPerSecond ?: 0.0
        return rate <= 0 || cold.tryAcquire(server.id, rate, members.keys + own, now)
    }

    private fun leastCost(eligible: List<RegisteredServer>, now: Long): ServerChoice =
        ServerChoice.Send(eligible.minBy { cost(it, now) })

    private fun chooseForAdapter(adapter: AdapterName, eligible: List<RegisteredServer>, now: Long): ServerChoice {
        val version = operator.adapterVersions[adapter] ?: 0
        val held = eligible.mapNotNull { server -> heldVersion(adapter, server.id, now)?.let { server to it } }
            .filter { it.second >= version }
        val best = held.minByOrNull { cost(it.first, now) }
        if (best != null && !isBusy(best.first, now)) return sendTo(best, now)
        val target = loadTarget(adapter, eligible.filter { server -> held.none { it.first.id == server.id } }, now)
        val controller = target?.let { reachableController(it.id, now) }
        return when {
            target != null && controller != null && (best == null || !isBusy(target, now)) ->
                ServerChoice.Load(target, controller, version, needsReservation(target))
            best != null -> sendTo(best, now)
            else -> ServerChoice.Unavailable("no engine with a reachable controller can load the adapter")
        }
    }

    private fun sendTo(holder: Pair<RegisteredServer, Long>, now: Long): ServerChoice {
        val (server, version) = holder
        return ServerChoice.Send(
            server,
            version,
            if (needsReservation(server)) reachableController(server.id, now) else null,
        )
    }

    /** The engine that should load [adapter]: the best by rank, load and cold start. */
    private fun loadTarget(adapter: AdapterName, eligible: List<RegisteredServer>, now: Long): RegisteredServer? =
        rendezvousRanking(
            adapter.toString(),
            eligible.filter { reachableController(it.id, now) != null },
        ) { it.id.text }
            .withIndex()
            .minByOrNull { (rank, server) -> rank * RANK_COST_SLOTS + cost(server, now) + coldCost(server, now) }
            ?.value

    /** A cold engine costs as much as two ranks. */
    private fun coldCost(server: RegisteredServer, now: Long) =
        if (cold.isCold(server.id, now)) RANK_COST_SLOTS * 2 else 0.0

    private fun isBusy(server: RegisteredServer, now: Long): Boolean =
        cost(server, now) > BUSY_FRACTION * server.batchSlots || cold.isCold(server.id, now)

    private fun heldVersion(adapter: AdapterName, server: ServerId, now: Long): Long? {
        val observed = observations[adapter to server]
        if (observed != null && now - observed.at <= OBSERVATION_MILLIS) return observed.version
        // An engine without a controller has no published state, only the adapters in its registration.
        return if (server in engines) holders[adapter]?.get(server) else servers[server]?.adapters?.get(adapter)
    }

    /** The load of [server], with the costs of its faults and of another failure domain, in batch slots. */
    private fun cost(server: RegisteredServer, now: Long): Double {
        val reported = engines[server.id]?.second?.let { it.running + 2 * it.queued } ?: 0
        val own = health.outstanding(server.id)
        val distance = if (server.domain == domain) 0.0 else OTHER_DOMAIN_COST_SLOTS
        val load = maxOf(reported.toDouble(), own.toDouble()) + own + health.unansweredWork(server.id)
        return load + distance + health.faultCost(server.id, now)
    }

    private fun modelsOf(server: RegisteredServer): Set<String> =
        engines[server.id]?.second?.adapters?.keys?.takeIf { it.isNotEmpty() } ?: server.models

    private fun heldBy(engine: EngineRecord): List<Pair<AdapterName, Pair<ServerId, Long>>> =
        engine.adapters.flatMap { (model, adapters) ->
            adapters.map { text -> parseVersionedAdapter(model, text).let { it.first to (engine.server to it.second) } }
        }

    private fun refresh() {
        byService = servers.values
            .filter { !it.isDraining && it.domain !in operator.drainedDomains }
            .groupBy { it.service }
    }
}

/** Parses `name@version`; a name without a version has version 1. */
fun parseVersionedAdapter(model: String, text: String): Pair<AdapterName, Long> {
    val name = text.substringBeforeLast('@')
    val version = text.substringAfterLast('@', "").toLongOrNull()
    return if (version == null) AdapterName(model, text) to 1L else AdapterName(model, name) to version
}
