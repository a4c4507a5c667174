/*
 * A mutable draft of a configuration. Its maps share with the base configuration everything that no change touches; the
 * base configuration itself is never modified.
 */
package org.lentilquay.state.internal

import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerState
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/** A copy-on-write map: it shares [original] until the first write, and the unmodified shards after that. */
internal class CopiedOnWrite<K, V>(private val original: Map<K, V>) {
    private var changes: ShardedMap.Changes<K, V>? = null
    private var current: Map<K, V>? = original

    val isChanged: Boolean get() = changes != null

    /** The current content, an immutable value. */
    val content: Map<K, V> get() = current ?: (changes?.toMap() ?: original).also { current = it }

    operator fun set(key: K, value: V) {
        if (content[key] != value) writable()[key] = value
    }

    fun remove(key: K) {
        if (key in content) writable().remove(key)
    }

    private fun writable(): ShardedMap.Changes<K, V> {
        current = null
        return changes ?: ShardedMap.Changes(original).also { changes = it }
    }
}

/** The items of [base] with changes applied to them. */
internal class ConfigurationDraft(base: Configuration) {
    val teams = CopiedOnWrite<TeamId, Team>(base.teams)
    val keys = DraftKeys(base.keys)
    val adapters = CopiedOnWrite<String, Adapter>(base.adapters)
    val routes = CopiedOnWrite<RouteId, Route>(base.routes)
    val servers = CopiedOnWrite<ServerId, BackendServer>(base.servers)
    val domains = CopiedOnWrite<DomainId, DomainState>(base.domains)

    /** Applies [change] without validation. A change of an item that does not exist has no effect. */
    fun applyChange(change: ConfigurationChange) {
        when (change) {
            is ConfigurationChange.PutTeam -> teams[change.team.id] = change.team
            is ConfigurationChange.RemoveTeam -> teams.remove(change.team)
            is ConfigurationChange.GrantKey -> keys.put(change.key)
            is ConfigurationChange.WithdrawKey -> keys.remove(change.key)
            is ConfigurationChange.PutAdapter -> adapters[change.adapter.name] = change.adapter
            is ConfigurationChange.RemoveAdapter -> adapters.remove(change.adapter)
            is ConfigurationChange.PutRoute -> routes[change.route.id] = change.route
            is ConfigurationChange.RemoveRoute -> routes.remove(change.route)
            is ConfigurationChange.PutServer -> servers[change.server.id] = change.server
            is ConfigurationChange.SetServerState -> setState(change.server, change.state)
            is ConfigurationChange.RemoveServer -> servers.remove(change.server)
            is ConfigurationChange.SetDomainState -> domains[change.domain] = change.state
            is ConfigurationChange.Batch -> change.changes.forEach(::applyChange)
        }
    }

    private fun setState(id: ServerId, state: ServerState) {
        val server = servers.content[id] ?: return
        servers[id] = server.copy(state = state)
    }

    fun toConfiguration(revision: Long): Configuration = Configuration(
        revision = revision,
        teams = teams.content,
        keys = keys.content,
        adapters = adapters.content,
        routes = routes.content,
        servers = servers.content,
        domains = domains.content,
    )
}
