/*
 * Renews the session lease of this VM and checks the configuration head in the same transaction. Before a VM takes over
 * a server that ignores fencing numbers, it waits until the lease of the former owner has expired. Docs:
 * docs/design.md, sections 4.1, 4.2 and 4.5.
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
    /** Called on the control thread when ownerships become unconfirmed: after a pause or an expired lease. */
    private val onUnconfirmed: () -> Unit,
    /** Called when a later process runs with this VM's id. */
    private val onSuperseded: () -> Unit,
    private val now: () -> Long,
) {
    private val renewal = HeadCheckedRenewal(lease, configuration)

    /** Whether a step is in progress. Used on the control thread. */
    private var isBusy = false

    /**
     * Starts the step that is due. Call on the control thread, several times a second. It does not wait for the table
     * service, so that a slow response is not taken for a pause of the process.
     */
    fun tick() {
        val tick = lease.tick(now(), isLeaseInUse(), isBusy)
        if (tick.resumedAfterPause || tick.leaseExpired) onUnconfirmed()
        if (tick.step != SessionStep.Nothing) {
            isBusy = true
            scope.launch {
                try {
                    perform(tick.step)
                } finally {
                    control.decide { isBusy = false }
                }
            }
        }
        if (configuration.isHeadCheckDue()) configuration.startHeadCheck()
    }

    private suspend fun perform(step: SessionStep) = when (step) {
        SessionStep.Nothing -> Unit
        SessionStep.Superseded -> onSuperseded()
        SessionStep.ReadBack -> platform.readRecord<SessionRecord>(sessionKey(own))?.let { read ->
            control.decide { renewal.readBack(read.value, read.version, now()) }
        } ?: Unit
        is SessionStep.Renew -> renew(step)
    }

    private suspend fun renew(step: SessionStep.Renew) {
        val operations = control.decide { renewal.begin(step, configuration.headToCheck(), now()) }
        val result = platform.write(operations)
        val mustSendSeparately = control.decide { renewal.ended(step, result, now()) }
        if (!mustSendSeparately) return
        configuration.startHeadCheck()
        val separateResult = platform.write(step.operations)
        control.decide { renewal.ended(step, separateResult, now()) }
    }
}
