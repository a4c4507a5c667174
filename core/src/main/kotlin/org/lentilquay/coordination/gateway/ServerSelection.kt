/*
 * Chooses the backend server of a request on the VM that received it, without asking another VM: from the registered
 * servers, the drained failure domains, what the VMs in control of engines report, and what this VM has seen itself.
 * A request for an adapter goes to an engine that holds it; if none does, or all that do are busy, the engine that
 * ranks first for the adapter is asked to load it, so that the same adapters meet the same engines again.
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

/** What a request needs of a backend server. */
data class ServerRequirements(
    val service: String,
    /** The base model, or null for a plain service. */
    val model: String?,
    val adapter: AdapterName?,
    /** Servers that have refused or failed this request. */
    val excluded: Set<ServerId> = emptySet(),
)

/** Where to send a request. */
sealed interface ServerChoice {
    /**
     * Send to [server]; [adapterVersion] is the version that it is known to hold. If [reservationController] names a
     * VM, that one is asked for a place first.
     */
    data class Send(
        val server: RegisteredServer,
        val adapterVersion: Long? = null,
        val reservationController: VmId? = null,
    ) : ServerChoice

    /** Ask [controller] to load the adapter on [server] first, and also for a place if [needsReservation]. */
    data class Load(
        val server: RegisteredServer,
        val controller: VmId,
        val version: Long,
        val needsReservation: Boolean = false,
    ) : ServerChoice

    /** No server of the service can take the request now. */
    data class Unavailable(val reason: String) : ServerChoice
}

/** A busier engine than this part of its places is relieved by loading the adapter elsewhere too. */
private const val BUSY_PART = 0.6

/** What this VM learned itself about an adapter counts for this long against older reports, in milliseconds. */
private const val LEARNED_MILLIS = 2_500L

/** A member that did not answer is not asked for this long, about two renewals of its record, in milliseconds. */
private const val UNREACHABLE_MILLIS = 2_000L

/** The cost of a server in another failure domain, in places. */
private const val OTHER_DOMAIN_COST = 0.4

/** How much one place less in rank may cost before the next engine is asked to load an adapter. */
private const val RANK_COST = 12.0

class ServerSelection(
    private val own: VmId,
    private val domain: DomainId,
    private val health: ServerHealth,
    private val cold: ColdStartLimit,
) {
    private class Learned(val version: Long?, val at: Long)

    private var servers: Map<ServerId, RegisteredServer> = emptyMap()
    private var operator = OperatorState()
    private var members: Map<VmId, MemberRecord> = emptyMap()
    private var byService: Map<String, List<RegisteredServer>> = emptyMap()
    private var engines: Map<ServerId, Pair<VmId, EngineRecord>> = emptyMap()
    private var holders: Map<AdapterName, Map<ServerId, Long>> = emptyMap()
    private var silent: Set<VmId> = emptySet()

    /** Members that did not answer this VM, with the time until which they are not asked. */
    private val unreachable = HashMap<VmId, Long>()
    private val learned = HashMap<Pair<AdapterName, ServerId>, Learned>()

    /** Registered servers by id, also those that take no new work. */
    val registered: Map<ServerId, RegisteredServer> get() = servers

    /** Takes over the registered servers; new processes are cold for as long as they say. */
    fun serversChanged(changed: Map<ServerId, RegisteredServer>, now: Long) {
        changed.values.forEach { server ->
            val known = servers[server.id]
            val isNews = known == null || known.coldMillis != server.coldMillis ||
                known.startedAtEpochMillis != server.startedAtEpochMillis
            if (isNews && server.coldMillis > 0) cold.becameCold(server.id, now + server.coldMillis)
        }
        servers = changed
        health.retain(changed.keys)
        refresh()
    }

    /** Takes over the operator's state; servers of a domain that comes back may be cold. */
    fun operatorChanged(changed: OperatorState, now: Long) {
        val returned = operator.drainedDomains - changed.drainedDomains
        operator = changed
        servers.values.filter { it.domain in returned }.forEach { server ->
            val coldMillis = changed.configuration?.services?.get(server.service)?.coldMillis ?: 0
            if (coldMillis > 0) cold.becameCold(server.id, now + coldMillis)
        }
        refresh()
    }

    /** Takes over what the VMs of the fleet report about the engines they control; [silentMembers] missed renewals. */
    fun membersChanged(changed: Map<VmId, MemberRecord>, silentMembers: Set<VmId>, now: Long) {
        if (changed.keys != members.keys) cold.membersChanged()
        members = changed
        silent = silentMembers
        unreachable.values.removeIf { it <= now }
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
        learned.values.removeIf { now - it.at > LEARNED_MILLIS }
    }

    /** The VM that controls [server], as last reported. */
    fun controllerOf(server: ServerId): VmId? = engines[server]?.first

    /** The member [vm] did not answer this VM. */
    fun memberUnreachable(vm: VmId, now: Long) {
        unreachable[vm] = now + UNREACHABLE_MILLIS
    }

    /** The VM that can be asked to load adapters on [server], or null if there is none. */
    private fun loaderOf(server: ServerId, now: Long): VmId? =
        controllerOf(server)?.takeIf { it !in silent && (unreachable[it] ?: 0) <= now }

    /** Whether the VMs of the fleet can fill [server] before they see its load in a report. */
    private fun needsReservation(server: RegisteredServer): Boolean = server.batchSlots <= members.size

    /** Open servers of [service]. */
    fun open(service: String): List<RegisteredServer> = byService[service].orEmpty()

    /** This VM found [adapter] on [server] in [version], or learned that it is not there if that is null. */
    fun recordAdapter(adapter: AdapterName, server: ServerId, version: Long?, now: Long) {
        learned[adapter to server] = Learned(version, now)
    }

    fun choose(wish: ServerRequirements, now: Long): ServerChoice {
        val open = open(wish.service).filter { it.id !in wish.excluded }
        if (open.isEmpty()) return ServerChoice.Unavailable("no open backend server of the service")
        val able = if (wish.model == null) open else open.filter { wish.model in modelsOf(it) }
        if (able.isEmpty()) return ServerChoice.Unavailable("no open engine holds the base model")
        val chosen = if (wish.adapter == null) leastCost(able, now) else chooseForAdapter(wish.adapter, able, now)
        return admitted(chosen, able, now)
    }

    /** Replaces a cold server that bears no request now by a warm one, if there is one. */
    private fun admitted(chosen: ServerChoice, able: List<RegisteredServer>, now: Long): ServerChoice {
        val server = when (chosen) {
            is ServerChoice.Send -> chosen.server
            is ServerChoice.Load, is ServerChoice.Unavailable -> return chosen
        }
        if (takeCold(server, now)) return chosen
        val others = able.filter { it.id != server.id && !cold.isCold(it.id, now) }
        val isAdapterRequest = chosen.adapterVersion != null
        if (others.isEmpty() || isAdapterRequest) return ServerChoice.Unavailable("the backend server is cold")
        return leastCost(others, now)
    }

    private fun takeCold(server: RegisteredServer, now: Long): Boolean {
        val rate = operator.configuration?.services?.get(server.service)?.coldRequestsPerSecond ?: 0.0
        return rate <= 0 || cold.tryAcquire(server.id, rate, members.keys + own, now)
    }

    private fun leastCost(able: List<RegisteredServer>, now: Long): ServerChoice =
        ServerChoice.Send(able.minBy { cost(it, now) })

    private fun chooseForAdapter(adapter: AdapterName, able: List<RegisteredServer>, now: Long): ServerChoice {
        val version = operator.adapterVersions[adapter] ?: 0
        val held = able.mapNotNull { server -> heldVersion(adapter, server.id, now)?.let { server to it } }
            .filter { it.second >= version }
        val best = held.minByOrNull { cost(it.first, now) }
        if (best != null && !isBusy(best.first, now)) return sendTo(best, now)
        val home = homeFor(adapter, able.filter { server -> held.none { it.first.id == server.id } }, now)
        val controller = home?.let { loaderOf(it.id, now) }
        return when {
            home != null && controller != null && (best == null || !isBusy(home, now)) ->
                ServerChoice.Load(home, controller, version, needsReservation(home))
            best != null -> sendTo(best, now)
            else -> ServerChoice.Unavailable("no engine with a reachable controller can load the adapter")
        }
    }

    private fun sendTo(holder: Pair<RegisteredServer, Long>, now: Long): ServerChoice {
        val (server, version) = holder
        return ServerChoice.Send(server, version, if (needsReservation(server)) loaderOf(server.id, now) else null)
    }

    private fun homeFor(adapter: AdapterName, able: List<RegisteredServer>, now: Long): RegisteredServer? =
        rendezvousRanking(adapter.toString(), able.filter { loaderOf(it.id, now) != null }) { it.id.text }
            .withIndex()
            .minByOrNull { (rank, server) -> rank * RANK_COST + cost(server, now) + coldCost(server, now) }
            ?.value

    private fun coldCost(server: RegisteredServer, now: Long) = if (cold.isCold(server.id, now)) RANK_COST * 2 else 0.0

    private fun isBusy(server: RegisteredServer, now: Long): Boolean =
        cost(server, now) > BUSY_PART * server.batchSlots || cold.isCold(server.id, now)

    private fun heldVersion(adapter: AdapterName, server: ServerId, now: Long): Long? {
        val own = learned[adapter to server]
        if (own != null && now - own.at <= LEARNED_MILLIS) return own.version
        // While no VM controls the engine, what it registered itself is all that is known.
        return if (server in engines) holders[adapter]?.get(server) else servers[server]?.adapters?.get(adapter)
    }

    /** The load of [server] in places, with what its faults and its distance cost. */
    private fun cost(server: RegisteredServer, now: Long): Double {
        val reported = engines[server.id]?.second?.let { it.running + 2 * it.queued } ?: 0
        val own = health.outstanding(server.id)
        val distance = if (server.domain == domain) 0.0 else OTHER_DOMAIN_COST
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

/** Reads `name@version`; a name without a version has version 1. */
fun parseVersionedAdapter(model: String, text: String): Pair<AdapterName, Long> {
    val name = text.substringBeforeLast('@')
    val version = text.substringAfterLast('@', "").toLongOrNull()
    return if (version == null) AdapterName(model, text) to 1L else AdapterName(model, name) to version
}
