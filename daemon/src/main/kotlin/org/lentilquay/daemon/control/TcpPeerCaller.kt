/*
 * Calls VMs by their id: other VMs over TCP, this VM directly.
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
    /** Answers calls of this VM to itself. Must be set before the first call. */
    lateinit var localHandler: PeerHandler

    override suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        if (vm == own) return PeerCallResult.Answered(localHandler.handle(own, request))
        val address = addressOf(vm) ?: return PeerCallResult.Unreachable("no address is known for VM $vm", sent = false)
        return client.call(vm, address, request, timeoutMillis)
    }
}
