/*
 * Renews the session record of this VM, the lease by which successors on servers that ignore fencing numbers know that
 * it still acts, and checks the head of the configuration in the same transaction. Docs: docs/design.md, sections 4.1,
 * 4.2 and 4.5.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import org.lentilquay.coordination.ownership.HeadCheckedRenewal
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
    private val scope: CoroutineScope,
    private val configuration: ConfigurationLoop,
    /** Whether this VM owns a server that ignores fencing numbers. */
    private val isLeaseInUse: () -> Boolean,
    /** Called on the control thread when ownership must be verified: after a pause or a lapsed lease. */
    private val onUnconfirmed: () -> Unit,
    /** Called when a later process runs under this VM's id. */
    private val superseded: () -> Unit,
    private val now: () -> Long,
) {
    private val renewal = HeadCheckedRenewal(lease, configuration)

    /** Whether a step is being carried out. Used on the control thread. */
    private var isBusy = false

    /**
     * Starts what is due. Call on the control thread, several times a second. It does not wait for the table, so that a
     * slow answer does not look like a pause of the process.
     */
    fun tick() {
        val tick = lease.tick(now(), isLeaseInUse(), isBusy)
        if (tick.resumedAfterPause || tick.leaseExpired) onUnconfirmed()
        if (tick.step != SessionStep.Nothing) {
            isBusy = true
            scope.launch {
                try {
                    carryOut(tick.step)
                } finally {
                    control.decide { isBusy = false }
                }
            }
        }
        if (configuration.isHeadCheckDue()) configuration.startHeadCheck()
    }

    private suspend fun carryOut(step: SessionStep) = when (step) {
        SessionStep.Nothing -> Unit
        SessionStep.Superseded -> superseded()
        SessionStep.ReadBack -> platform.readRecord<SessionRecord>(sessionKey(own))?.let { read ->
            control.decide { renewal.readBack(read.value, read.version, now()) }
        } ?: Unit
        is SessionStep.Renew -> renew(step)
    }

    private suspend fun renew(step: SessionStep.Renew) {
        val operations = control.decide { renewal.begin(step, configuration.headToCheck(), now()) }
        val result = platform.write(operations)
        val mustSendAlone = control.decide { renewal.ended(step, result, now()) }
        if (!mustSendAlone) return
        configuration.startHeadCheck()
        val alone = platform.write(step.operations)
        control.decide { renewal.ended(step, alone, now()) }
    }
}
