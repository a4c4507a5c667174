/*
 * A configuration under change. Each map is copied at its first write only, so that a batch of many changes costs one
 * copy of each map it touches and the base configuration stays as it was.
 */
package org.lentilquay.state.internal

import org.lentilquay.state.Adapter
import org.lentilquay.state.BackendServer
import org.lentilquay.state.CallerKey
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerState
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

/** A map that shares [original] until the first write. */
internal class CopiedOnWrite<K, V>(private val original: Map<K, V>) {
    private var copy: HashMap<K, V>? = null

    /** The present content; not to be kept across writes. */
    val content: Map<K, V> get() = copy ?: original

    operator fun set(key: K, value: V) {
        if (content[key] != value) writable()[key] = value
    }

    fun remove(key: K) {
        if (key in content) writable().remove(key)
    }

    private fun writable(): HashMap<K, V> = copy ?: HashMap(original).also { copy = it }
}

/** The maps of [base] with changes applied to them. */
internal class ConfigurationDraft(base: Configuration) {
    val teams = CopiedOnWrite<TeamId, Team>(base.teams)
    val keys = CopiedOnWrite<KeyId, CallerKey>(base.keys)
    val adapters = CopiedOnWrite<String, Adapter>(base.adapters)
    val routes = CopiedOnWrite<RouteId, Route>(base.routes)
    val servers = CopiedOnWrite<ServerId, BackendServer>(base.servers)
    val domains = CopiedOnWrite<DomainId, DomainState>(base.domains)

    /** Makes [change] without checks. A change of something that does not exist has no effect. */
    fun make(change: ConfigurationChange) {
        when (change) {
            is ConfigurationChange.PutTeam -> teams[change.team.id] = change.team
            is ConfigurationChange.RemoveTeam -> teams.remove(change.team)
            is ConfigurationChange.GrantKey -> keys[change.key.id] = change.key
            is ConfigurationChange.WithdrawKey -> keys.remove(change.key)
            is ConfigurationChange.PutAdapter -> adapters[change.adapter.name] = change.adapter
            is ConfigurationChange.RemoveAdapter -> adapters.remove(change.adapter)
            is ConfigurationChange.PutRoute -> routes[change.route.id] = change.route
            is ConfigurationChange.RemoveRoute -> routes.remove(change.route)
            is ConfigurationChange.PutServer -> servers[change.server.id] = change.server
            is ConfigurationChange.SetServerState -> setState(change.server, change.state)
            is ConfigurationChange.RemoveServer -> servers.remove(change.server)
            is ConfigurationChange.SetDomainState -> domains[change.domain] = change.state
            is ConfigurationChange.Batch -> change.changes.forEach(::make)
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
