/*
 * Calls to VMs of the fleet by their id, over the sockets between VMs; calls to this VM are answered in the process.
 */
package org.lentilquay.daemon.control

import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import org.lentilquay.transport.peer.PeerClient
import org.lentilquay.transport.peer.PeerHandler

class TcpPeerCaller(
    override val own: VmId,
    private val client: PeerClient,
    private val addressOf: (VmId) -> String?,
) : PeerCaller {
    /** Answers the calls of this VM to itself; set once the parts are built. */
    lateinit var localHandler: PeerHandler

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        if (vm == own) return PeerCallResult.Answered(localHandler.handle(own, request))
        val address = addressOf(vm) ?: return PeerCallResult.Unreachable("no address of VM $vm is known", sent = false)
        return client.call(vm, address, request, timeoutMillis)
    }
}
