/*
 * Renews the session record of this VM, the lease by which successors on servers that ignore fencing numbers know that
 * it still acts. Docs: docs/design.md, sections 4.1 and 4.2.
 */
package org.lentilquay.daemon.control

import org.lentilquay.coordination.ownership.SessionLease
import org.lentilquay.coordination.ownership.SessionStep
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.state.SessionRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.sessionKey
import org.lentilquay.transport.platform.PlatformClient

class SessionLoop(
    private val own: VmId,
    private val lease: SessionLease,
    private val platform: PlatformClient,
    private val control: ControlThread,
    /** Called on the control thread when ownership must be verified: after a pause or a lapsed lease. */
    private val doubted: () -> Unit,
    /** Called when a later process runs under this VM's id. */
    private val superseded: () -> Unit,
    private val now: () -> Long,
) {
    /** Does what is due. Called several times a second, never twice at once. */
    suspend fun tick() {
        val step = control.decide {
            val tick = lease.tick(now())
            if (tick.resumedAfterPause || tick.leaseLapsed) doubted()
            tick.step
        }
        when (step) {
            SessionStep.Nothing -> Unit
            SessionStep.Superseded -> superseded()
            SessionStep.ReadBack -> platform.record<SessionRecord>(sessionKey(own))?.let { read ->
                control.decide { lease.readBack(read.value, read.version, now()) }
            }
            is SessionStep.Renew -> {
                val result = platform.write(step.operations)
                control.decide { lease.renewed(step.nonce, result, now()) }
            }
        }
    }
}
