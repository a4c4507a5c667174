/*
 * Determines which backend servers may get new work, from the configuration and the platform's VM list. Readable from
 * any thread.
 */
package org.lentilquay.daemon.control

import org.lentilquay.state.BackendServer
import org.lentilquay.state.Configuration
import org.lentilquay.state.ServerId
import org.lentilquay.state.mayTakeWork

/** This VM's view of the backend servers. Each property is replaced as a whole, so request threads read it unlocked. */
class ServerAvailability {
    @Volatile
    private var configuration = Configuration()

    /** Servers that the platform's VM list shows as leaving. */
    @Volatile
    var leaving: Set<ServerId> = emptySet()
        private set

    /** Servers that may get new work. */
    @Volatile
    var available: List<BackendServer> = emptyList()
        private set

    /** All configured servers. */
    val all: Collection<BackendServer> get() = configuration.servers.values

    /** Replaces the configuration. */
    @Synchronized
    fun configurationChanged(changed: Configuration) {
        configuration = changed
        refresh()
    }

    /** Replaces the servers that the platform's VM list shows as leaving. */
    @Synchronized
    fun leavingServersChanged(servers: Set<ServerId>) {
        leaving = servers
        refresh()
    }

    /** The configured server with [id]. */
    fun server(id: ServerId): BackendServer? = configuration.servers[id]

    /** Whether [server] may get new work. */
    fun isAvailable(server: BackendServer): Boolean = configuration.mayTakeWork(server) && server.id !in leaving

    /** Why [server] gets no new work, or null if it may. */
    fun unavailableReason(server: BackendServer): String? = when {
        server.id in leaving -> "the platform's VM list shows it as leaving"
        configuration.mayTakeWork(server) -> null
        else -> "it is stopped, or its failure domain is drained"
    }

    private fun refresh() {
        available = configuration.servers.values.filter(::isAvailable)
    }
}
