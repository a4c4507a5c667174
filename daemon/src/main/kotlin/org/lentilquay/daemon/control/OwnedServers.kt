/*
 * The backend servers that this VM owns. Changed only on the control thread; readable from any thread.
 */
package org.lentilquay.daemon.control

import org.lentilquay.protocol.ServerStatus
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import java.util.concurrent.ConcurrentHashMap

class OwnedServers(private val owners: OwnerClient, private val own: VmId) {
    private val servers = ConcurrentHashMap<ServerId, OwnedServer>()

    val all: Collection<OwnedServer> get() = servers.values

    operator fun get(server: ServerId): OwnedServer? = servers[server]

    /** Starts acting as the owner of the server. Call on the control thread. */
    fun add(owned: OwnedServer) {
        servers.put(owned.server.id, owned)?.stop()
        owners.cacheOwner(owned.server.id, own)
        owned.start()
    }

    /** Stops acting as the owner of [server]. Call on the control thread. */
    fun remove(server: ServerId) {
        servers.remove(server)?.stop()
    }

    /** [owner] owns [server] with the fencing number [fence]; this VM stops acting under an older one. */
    fun superseded(server: ServerId, fence: Long, owner: VmId) {
        if ((servers[server]?.fence ?: Long.MAX_VALUE) < fence) remove(server)
        if (owner != own) owners.cacheOwner(server, owner)
    }

    /** The owner in this VM's view, for a redirect; null if it is not known. */
    fun knownOwner(server: ServerId): VmId? = if (servers.containsKey(server)) own else owners.knownOwner(server)

    /** The status of the owned servers, sorted by id. Call on the control thread. */
    fun status(): List<ServerStatus> = servers.values.sortedBy { it.server.id }.map { owned ->
        val snapshot = owned.snapshot()
        ServerStatus(
            server = owned.server.id.text,
            fence = owned.fence,
            state = snapshot.state.name.lowercase(),
            loaded = snapshot.slots.map { it.adapter.engineName },
            inFlight = snapshot.inFlight,
            queued = snapshot.queuedByTeam.values.sum(),
        )
    }
}
