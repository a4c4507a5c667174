/*
 * Describes a change in sentences for the operator who confirms it. Effects state what changes; warnings state what
 * stops working or is probably a mistake.
 */
package org.lentilquay.coordination.configuration

import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.CallerKey
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.ServerState
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.internal.ConfigurationDraft
import org.lentilquay.state.internal.listed
import org.lentilquay.state.mayTakeWork

/** The effects and warnings of one change. */
internal class PlanDescription {
    val effects = mutableListOf<String>()
    val warnings = mutableListOf<String>()
}

/** Describes [change] from [before] to [after]; [vms] are the members and their failure domains. */
internal fun describe(
    change: ConfigurationChange,
    before: Configuration,
    after: Configuration,
    vms: Map<VmId, DomainId>,
): PlanDescription {
    val description = PlanDescription()
    val builder = PlanDescriptionBuilder(description, vms)
    if (change is ConfigurationChange.Batch) {
        // Each change is described relative to the earlier ones, because it may refer to items that they create.
        val draft = ConfigurationDraft(before)
        change.changes.forEach {
            val intermediate = draft.toConfiguration(before.revision)
            builder.describe(it, intermediate)
            draft.applyChange(it)
        }
    } else {
        builder.describe(change, before)
    }
    if (before.copy(revision = after.revision) == after) description.warnings += "Nothing changes by this plan."
    builder.describeLostCapacity(before, after)
    return description
}

/** Adds the effects and warnings of changes to [description]. */
private class PlanDescriptionBuilder(private val description: PlanDescription, private val vms: Map<VmId, DomainId>) {
    @Suppress("CyclomaticComplexMethod") // One branch for each kind of change.
    fun describe(change: ConfigurationChange, current: Configuration) = when (change) {
        is ConfigurationChange.PutTeam -> describeTeam(change.team, current)
        is ConfigurationChange.RemoveTeam -> effect("Team ${change.team} is removed.")
        is ConfigurationChange.GrantKey -> effect("Key ${change.key.id} of team ${change.key.team} becomes valid.")
        is ConfigurationChange.WithdrawKey -> describeKeyWithdrawal(change.key, current)
        is ConfigurationChange.PutAdapter -> describeAdapter(change.adapter, current)
        is ConfigurationChange.RemoveAdapter -> effect("Adapter ${change.adapter} is removed.")
        is ConfigurationChange.PutRoute -> describeRoute(change.route, current)
        is ConfigurationChange.RemoveRoute ->
            effect("Route ${change.route} is removed; requests for it get route_unknown.")
        is ConfigurationChange.PutServer -> describeServer(change.server, current)
        is ConfigurationChange.SetServerState -> describeServerState(change.server, change.state, current)
        is ConfigurationChange.RemoveServer -> effect("Backend server ${change.server} is removed.")
        is ConfigurationChange.SetDomainState -> describeDomainState(change.domain, change.state, current)
        is ConfigurationChange.Batch -> Unit
    }

    private fun effect(text: String) {
        description.effects += text
    }

    private fun warning(text: String) {
        description.warnings += text
    }

    private fun describeTeam(team: Team, current: Configuration) {
        val former = current.teams[team.id]
        val limits = "${team.tokensPerSecond} tokens a second, a burst of ${team.burstTokens} and weight ${team.weight}"
        if (former == null) {
            effect("Team ${team.id} is created with $limits.")
        } else {
            effect(
                "Team ${team.id} gets $limits, after ${former.tokensPerSecond} tokens a second, " +
                    "a burst of ${former.burstTokens} and weight ${former.weight}.",
            )
        }
    }

    private fun describeKeyWithdrawal(id: KeyId, current: Configuration) {
        val key: CallerKey = current.keys[id] ?: return
        effect("Key $id of team ${key.team} stops working within seconds, and its streams are cut.")
        if (current.keys.values.none { it.team == key.team && it.id != id }) {
            warning("$id is the last key of team ${key.team}; the team can then use open routes only.")
        }
    }

    private fun describeAdapter(adapter: Adapter, current: Configuration) {
        val former = current.adapters[adapter.name]
        val routes = routesOf(adapter.name, current)
        if (former == null) {
            effect(
                "Adapter ${adapter.name} of base model ${adapter.baseModel} is created " +
                    "with current version ${adapter.current}.",
            )
        } else {
            describeVersions(former, adapter, routes)
        }
        if (current.servers.values.none { it.kind == ServerKind.ENGINE && it.serves == adapter.baseModel }) {
            warning("No engine serves base model ${adapter.baseModel}; requests for ${adapter.name} get no_capacity.")
        }
    }

    private fun describeVersions(former: Adapter, adapter: Adapter, routes: List<Route>) {
        val added = adapter.versions - former.versions
        val removed = former.versions - adapter.versions
        if (added.isNotEmpty()) effect("Adapter ${adapter.name} gets versions ${listed(added)}.")
        if (removed.isNotEmpty()) {
            effect("Adapter ${adapter.name} loses versions ${listed(removed)}; requests that name them are refused.")
        }
        if (former.current != adapter.current) {
            val following = routes.filter { (it.target as RouteTarget.AdapterTarget).version == null }.map { it.id }
            val followers = if (following.isEmpty()) "no route follows it" else "routes ${listed(following)} follow it"
            effect(
                "The current version of adapter ${adapter.name} changes from ${former.current} to " +
                    "${adapter.current}; $followers.",
            )
        }
        if (former.current in removed) {
            warning("Version ${former.current} of adapter ${adapter.name} is in use as the current one and is removed.")
        }
    }

    private fun describeRoute(route: Route, current: Configuration) {
        val target = when (val it = route.target) {
            is RouteTarget.AdapterTarget -> "adapter ${it.adapter}, version ${it.version ?: "current"}"
            is RouteTarget.ServiceTarget -> "service ${it.service}"
        }
        effect(
            "Route ${route.id} is ${if (route.id in current.routes) "changed" else "created"}; its target is $target.",
        )
        if (route.open) {
            warning("Route ${route.id} is open: it needs no key, and team ${route.openTeam} is charged.")
        }
        val former = current.routes[route.id] ?: return
        val losing = current.teams.keys.filter { former.allows(it) && !route.allows(it) }
        if (losing.isNotEmpty()) warning("Teams ${listed(losing)} can no longer use route ${route.id}.")
    }

    private fun Route.allows(team: TeamId) = open || teams?.contains(team) != false

    private fun describeServer(server: BackendServer, current: Configuration) {
        val former = current.servers[server.id]
        val details = "at ${server.address} in failure domain ${server.domain}, for ${server.serves}"
        effect("Backend server ${server.id} ${if (former == null) "is added" else "is changed"}: $details.")
        if (former != null && former.address != server.address) {
            warning("Backend server ${server.id} moves from ${former.address}; its active requests are not tracked.")
        }
        if (current.domains[server.domain] == DomainState.DRAINED) {
            warning("Failure domain ${server.domain} is drained, so backend server ${server.id} gets no requests yet.")
        }
    }

    private fun describeServerState(id: ServerId, state: ServerState, current: Configuration) {
        val server = current.servers[id] ?: return
        when (state) {
            ServerState.STOPPED -> effect("Backend server $id gets no new requests in a few seconds; active ones end.")
            ServerState.SERVING -> effect("Backend server $id accepts new requests for ${server.serves}.")
        }
    }

    private fun describeDomainState(domain: DomainId, state: DomainState, current: Configuration) {
        val servers = current.servers.values.filter { it.domain == domain }.map { it.id }
        val members = vms.filterValues { it == domain }.keys
        val scope = "backend servers ${listed(servers).ifEmpty { "none" }}; VMs ${listed(members).ifEmpty { "none" }}"
        when (state) {
            DomainState.DRAINED -> effect("Failure domain $domain gets no new requests in a few seconds: $scope.")
            DomainState.SERVING -> effect("Failure domain $domain accepts new requests: $scope.")
        }
        if (servers.isEmpty() && members.isEmpty()) {
            warning("No backend server and no VM is in failure domain $domain; check the name.")
        }
        if (state == DomainState.DRAINED) {
            val remaining = vms.size - vms.values.count { it == domain || current.domains[it] == DomainState.DRAINED }
            if (vms.isNotEmpty() && remaining == 0) warning("No VM remains outside drained failure domains.")
        }
    }

    /**
     * States the remaining backend servers of each base model and service that loses some, and warns if none remain.
     */
    fun describeLostCapacity(before: Configuration, after: Configuration) {
        val serving = before.servers.values.filter(before::mayTakeWork).groupBy { it.kind to it.serves }
        val stillServing = after.servers.values.filter(after::mayTakeWork).groupBy { it.kind to it.serves }
        serving.forEach { (kind, servers) ->
            val remaining = stillServing[kind].orEmpty()
            val lost = servers.map { it.id }.toSet() - remaining.map { it.id }.toSet()
            if (lost.isEmpty()) return@forEach
            val name = if (kind.first == ServerKind.ENGINE) "Base model ${kind.second}" else "Service ${kind.second}"
            effect("$name keeps ${remaining.size} of ${servers.size} backend servers, without ${listed(lost)}.")
            if (remaining.isEmpty()) warning("$name has no backend server left; its requests get no_capacity.")
        }
    }

    private fun routesOf(adapter: String, current: Configuration): List<Route> =
        current.routes.values.filter { (it.target as? RouteTarget.AdapterTarget)?.adapter == adapter }
}
