/*
 * The backend servers that this VM owns at the moment. The map changes only on the control thread and may be read from
 * any thread.
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

    /** Starts to act as the owner. */
    fun add(owned: OwnedServer) {
        servers.put(owned.server.id, owned)?.stop()
        owners.learned(owned.server.id, own)
        owned.start()
    }

    /** Stops to act as the owner. */
    fun remove(server: ServerId) {
        servers.remove(server)?.stop()
    }

    /** Another VM owns [server] with [fence]; this VM grants nothing under an older one. */
    fun superseded(server: ServerId, fence: Long, owner: VmId) {
        if ((servers[server]?.fence ?: Long.MAX_VALUE) < fence) remove(server)
        if (owner != own) owners.learned(server, owner)
    }

    /** The owner as far as this VM knows, for a redirect. */
    fun knownOwner(server: ServerId): VmId? = if (servers.containsKey(server)) own else owners.knownOwner(server)

    /** What the status page shows of the owned servers. Call on the control thread. */
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
