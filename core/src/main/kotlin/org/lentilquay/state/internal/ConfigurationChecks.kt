/*
 * Validates a change against the configuration to which it is applied. Every problem is reported, so that an operator
 * can correct all of them at once; each message names the problem and the remedy.
 */
package org.lentilquay.state.internal

import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.ServerState
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/** A log entry must fit into one peer frame of 1 MiB; 1,000 changes of about 500 bytes do. */
internal const val MAXIMUM_BATCH_SIZE = 1_000

/** Prevents overflow of a Long in sums of rates and bursts. */
private const val MAXIMUM_TOKENS = 1_000_000_000_000L
private const val MAXIMUM_WEIGHT = 1_000
private const val MAXIMUM_WAIT_MILLIS = 600_000L
private const val MAXIMUM_OUTPUT_TOKENS = 1_000_000
private const val MAXIMUM_ADAPTER_SLOTS = 100_000

/** The number of items that a message lists before it only counts the others. */
private const val MAXIMUM_LISTED = 5

private val httpMethod = Regex("[A-Z]{1,16}")
private const val NAME_RULE = "use 1 to $MAXIMUM_NAME_LENGTH letters, digits, '.', '_' or '-', starting with a " +
    "letter or digit"
private const val MODEL_NAME_RULE = "use 1 to $MAXIMUM_MODEL_NAME_LENGTH letters, digits, '.', '_' or '-', starting " +
    "with a letter or digit"
private const val BASE_MODEL_NAME_RULE = "$MODEL_NAME_RULE, with at most one '/'"

/** Validates changes to [draft] and collects their problems. */
internal class ConfigurationChecks(private val draft: ConfigurationDraft) {
    private val found = mutableListOf<String>()
    private var prefix = ""

    /** Every problem found so far, in the order of the changes. */
    val problems: List<String> get() = found

    /**
     * Validates [change] and applies it to the draft, even if it is invalid, so that later changes of a batch get no
     * errors that only follow from its own.
     */
    fun checkAndApply(change: ConfigurationChange) {
        if (change is ConfigurationChange.Batch) {
            checkAndApplyBatch(change)
        } else {
            check(change)
            draft.applyChange(change)
        }
    }

    private fun checkAndApplyBatch(batch: ConfigurationChange.Batch) {
        val size = batch.changes.size
        need(size > 0) { "the batch is empty; add at least one change" }
        need(size <= MAXIMUM_BATCH_SIZE) { "the batch has $size changes; split it into $MAXIMUM_BATCH_SIZE at most" }
        if (size > MAXIMUM_BATCH_SIZE) return
        batch.changes.forEachIndexed { index, change ->
            prefix = "change ${index + 1} of $size: "
            if (change is ConfigurationChange.Batch) {
                need(false) { "a batch cannot contain a batch; list its changes directly" }
            } else {
                checkAndApply(change)
            }
        }
        prefix = ""
    }

    private fun check(change: ConfigurationChange) = when (change) {
        is ConfigurationChange.PutTeam -> checkTeam(change.team)
        is ConfigurationChange.RemoveTeam -> checkTeamRemoval(change.team)
        is ConfigurationChange.GrantKey -> checkKey(change.key)
        is ConfigurationChange.WithdrawKey ->
            need(change.key in draft.keys) {
                "key ${change.key} is unknown; list the keys and name one of them"
            }
        is ConfigurationChange.PutAdapter -> checkAdapter(change.adapter)
        is ConfigurationChange.RemoveAdapter -> checkAdapterRemoval(change.adapter)
        is ConfigurationChange.PutRoute -> checkRoute(change.route)
        is ConfigurationChange.RemoveRoute ->
            need(change.route in draft.routes.content) { "route ${change.route} is unknown; name an existing route" }
        is ConfigurationChange.PutServer -> checkServer(change.server)
        is ConfigurationChange.SetServerState -> checkServerKnown(change.server)
        is ConfigurationChange.RemoveServer -> checkServerRemoval(change.server)
        is ConfigurationChange.SetDomainState -> checkDomain(change.domain)
        is ConfigurationChange.Batch -> error("a batch is checked change by change")
    }

    private fun checkTeam(team: Team) {
        need(isName(team.id.text)) { "team name '${team.id}' is not well formed; $NAME_RULE" }
        need(team.tokensPerSecond in 1..MAXIMUM_TOKENS) {
            "team ${team.id} has a rate of ${team.tokensPerSecond} tokens a second; set it from 1 to $MAXIMUM_TOKENS"
        }
        need(team.burstTokens in 1..MAXIMUM_TOKENS) {
            "team ${team.id} has a burst of ${team.burstTokens} tokens; set it from 1 to $MAXIMUM_TOKENS"
        }
        need(team.weight in 1..MAXIMUM_WEIGHT) {
            "team ${team.id} has weight ${team.weight}; set it from 1 to $MAXIMUM_WEIGHT"
        }
    }

    private fun checkTeamRemoval(team: TeamId) {
        need(team in draft.teams.content) { "team $team is unknown; name an existing team" }
        val keys = draft.keys.content.values.filter { it.team == team }.map { it.id }
        need(keys.isEmpty()) { "team $team still has keys (${listed(keys)}); withdraw them first" }
        val routes = draft.routes.content.values
            .filter { it.openTeam == team || it.teams?.contains(team) == true }
            .map { it.id }
        need(routes.isEmpty()) { "team $team is still named by routes (${listed(routes)}); change these routes first" }
    }

    private fun checkKey(key: CallerKey) {
        need(isName(key.id.text)) { "key name '${key.id}' is not well formed; $NAME_RULE" }
        need(key.id !in draft.keys) { "key ${key.id} already exists; withdraw it first or choose another name" }
        needTeam(key.team, "key ${key.id}")
        need(isSha256(key.sha256)) {
            "the hash of key ${key.id} is not a SHA-256; give 64 lower-case hexadecimal digits"
        }
        val same = draft.keys.withHash(key.sha256)?.takeIf { it.id != key.id }
        need(same == null) { "key ${key.id} has the same hash as key ${same?.id}; generate a new key" }
    }

    private fun checkAdapter(adapter: Adapter) {
        val label = "adapter ${adapter.name}"
        need(isName(adapter.name, MAXIMUM_MODEL_NAME_LENGTH)) {
            "adapter name '${adapter.name}' is not well formed; $MODEL_NAME_RULE"
        }
        need(isBaseModelName(adapter.baseModel)) {
            "base model name '${adapter.baseModel}' of $label is not well formed; $BASE_MODEL_NAME_RULE"
        }
        need(adapter.versions.isNotEmpty()) { "$label has no versions; list at least one" }
        need(adapter.versions.all { it >= 1 }) { "$label has a version below 1; number versions from 1" }
        need(adapter.current in adapter.versions) {
            "current version ${adapter.current} of $label is not among its versions (${listed(adapter.versions)}); " +
                "add it or choose one of them"
        }
        val former = draft.adapters.content[adapter.name] ?: return
        need(former.baseModel == adapter.baseModel) {
            "$label belongs to base model ${former.baseModel}; for ${adapter.baseModel}, create another adapter"
        }
        (former.versions - adapter.versions).forEach { version ->
            val routes = routesOf(adapter.name).filter { (it.target as RouteTarget.AdapterTarget).version == version }
            need(routes.isEmpty()) {
                "version $version of $label is still named by routes (${listed(routes.map { it.id })}); " +
                    "change these routes first"
            }
        }
    }

    private fun checkAdapterRemoval(name: String) {
        need(name in draft.adapters.content) { "adapter $name is unknown; name an existing adapter" }
        val routes = routesOf(name).map { it.id }
        need(routes.isEmpty()) {
            "adapter $name is still named by routes (${listed(routes)}); change these routes first"
        }
    }

    private fun checkRoute(route: Route) {
        val label = "route ${route.id}"
        need(isName(route.id.text)) { "route name '${route.id}' is not well formed; $NAME_RULE" }
        need(!route.open || route.openTeam != null) { "open $label names no team to charge; set openTeam" }
        need(route.open || route.openTeam == null) { "$label is not open; leave out openTeam or make the route open" }
        route.openTeam?.let { needTeam(it, label) }
        need(route.teams == null || route.teams.isNotEmpty()) {
            "$label may be used by no team; name teams or leave the list out to allow all"
        }
        route.teams?.forEach { needTeam(it, label) }
        need(route.maximumWaitMillis in 0..MAXIMUM_WAIT_MILLIS) {
            "$label has a maximum wait (patienceMillis) of ${route.maximumWaitMillis} ms; set 0 to $MAXIMUM_WAIT_MILLIS"
        }
        need(route.defaultMaximumTokens in 1..MAXIMUM_OUTPUT_TOKENS) {
            "$label has a default output limit of ${route.defaultMaximumTokens} tokens; " +
                "set it from 1 to $MAXIMUM_OUTPUT_TOKENS"
        }
        when (val target = route.target) {
            is RouteTarget.AdapterTarget -> checkAdapterTarget(target, label)
            is RouteTarget.ServiceTarget -> checkServiceTarget(target, label)
        }
    }

    private fun checkAdapterTarget(target: RouteTarget.AdapterTarget, label: String) {
        val adapter = draft.adapters.content[target.adapter]
        need(adapter != null) {
            "the target of $label is adapter ${target.adapter}, which is unknown; create the adapter first"
        }
        val version = target.version
        need(adapter == null || version == null || version in adapter.versions) {
            "the target of $label is version $version of adapter ${target.adapter}, which has only versions " +
                "${listed(adapter?.versions.orEmpty())}; add the version first or name one of these"
        }
    }

    private fun checkServiceTarget(target: RouteTarget.ServiceTarget, label: String) {
        need(serviceServers(target.service).isNotEmpty()) {
            "the target of $label is service ${target.service}, which no backend server provides; add one first"
        }
        need(target.nonRepeatableMethods.all(httpMethod::matches)) {
            "$label has a method that is not well formed (${listed(target.nonRepeatableMethods)}); write it as in POST"
        }
    }

    private fun checkServer(server: BackendServer) {
        val label = "backend server ${server.id}"
        need(isName(server.id.text)) { "backend server name '${server.id}' is not well formed; $NAME_RULE" }
        need(isName(server.domain.text)) {
            "failure domain '${server.domain}' of $label is not well formed; $NAME_RULE"
        }
        need(isAddress(server.address)) {
            "address '${server.address}' of $label is not ip:port; write for example 10.0.0.7:8000 or [fd00::7]:8000"
        }
        val same = draft.servers.content.values.firstOrNull { it.address == server.address && it.id != server.id }
        need(same == null) { "$label has the address of backend server ${same?.id}; give it an address of its own" }
        need(server.maximumInFlight >= 1) {
            "$label has an in-flight limit of ${server.maximumInFlight}; set 1 or more"
        }
        need(server.coldInFlight in 1..maxOf(1, server.maximumInFlight)) {
            "$label has a cold start limit of ${server.coldInFlight}; set it from 1 to its in-flight limit " +
                "(${server.maximumInFlight})"
        }
        when (server.kind) {
            ServerKind.ENGINE -> {
                need(server.adapterSlots in 1..MAXIMUM_ADAPTER_SLOTS) {
                    "engine ${server.id} has ${server.adapterSlots} adapter slots; set 1 to $MAXIMUM_ADAPTER_SLOTS"
                }
                need(isBaseModelName(server.serves)) {
                    "base model name '${server.serves}' of $label is not well formed; $BASE_MODEL_NAME_RULE"
                }
            }
            ServerKind.SERVICE -> {
                need(server.adapterSlots == 0) { "plain service ${server.id} has adapter slots; set them to 0" }
                need(isName(server.serves, MAXIMUM_MODEL_NAME_LENGTH)) {
                    "service name '${server.serves}' of $label is not well formed; $MODEL_NAME_RULE"
                }
            }
        }
        val former = draft.servers.content[server.id]
        if (former != null && (former.kind != server.kind || former.serves != server.serves)) checkLastOfService(former)
    }

    private fun checkServerKnown(server: ServerId) =
        need(server in draft.servers.content) { "backend server $server is unknown; name an existing server" }

    private fun checkServerRemoval(id: ServerId) {
        checkServerKnown(id)
        val server = draft.servers.content[id] ?: return
        need(server.state == ServerState.STOPPED) {
            "backend server $id still accepts requests; set its state to STOPPED first"
        }
        checkLastOfService(server)
    }

    private fun checkLastOfService(server: BackendServer) {
        if (server.kind != ServerKind.SERVICE || serviceServers(server.serves).any { it.id != server.id }) return
        val routes = draft.routes.content.values
            .filter { (it.target as? RouteTarget.ServiceTarget)?.service == server.serves }
            .map { it.id }
        need(routes.isEmpty()) {
            "backend server ${server.id} is the last one of service ${server.serves}, the target of routes " +
                "(${listed(routes)}); change these routes or add a server first"
        }
    }

    private fun checkDomain(domain: DomainId) =
        need(isName(domain.text)) { "failure domain '$domain' is not well formed; $NAME_RULE" }

    private fun needTeam(team: TeamId, label: String) =
        need(team in draft.teams.content) { "$label names team $team, which is unknown; create the team first" }

    private fun routesOf(adapter: String): List<Route> =
        draft.routes.content.values.filter { (it.target as? RouteTarget.AdapterTarget)?.adapter == adapter }

    private fun serviceServers(service: String): List<BackendServer> =
        draft.servers.content.values.filter { it.kind == ServerKind.SERVICE && it.serves == service }

    private fun need(condition: Boolean, message: () -> String) {
        if (!condition) found += prefix + message()
    }
}

/** Lists the first [MAXIMUM_LISTED] of [items] in order, and the number of the others. */
internal fun <T : Comparable<T>> listed(items: Collection<T>): String {
    val shown = items.sorted().take(MAXIMUM_LISTED).joinToString(", ")
    return if (items.size > MAXIMUM_LISTED) "$shown and ${items.size - MAXIMUM_LISTED} more" else shown
}
