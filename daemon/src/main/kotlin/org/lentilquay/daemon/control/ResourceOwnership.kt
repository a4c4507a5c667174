/*
 * Ownership of one resource (a backend server or the weight store) of which this VM is the owner or a candidate:
 * performs the decider's steps on the table, and records orders to servers that ignore fencing numbers.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import org.lentilquay.coordination.WriteResult
import org.lentilquay.coordination.ownership.OrderStep
import org.lentilquay.coordination.ownership.OwnershipCandidates
import org.lentilquay.coordination.ownership.OwnershipDecider
import org.lentilquay.coordination.ownership.OwnershipDecision
import org.lentilquay.coordination.ownership.WriteEffect
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.OrderKind
import org.lentilquay.state.OwnershipRecord
import org.lentilquay.state.SessionRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.ownerKey
import org.lentilquay.state.sessionKey
import org.lentilquay.transport.platform.PlatformClient

class ResourceOwnership(
    val name: String,
    val decider: OwnershipDecider,
    private val platform: PlatformClient,
    private val control: ControlThread,
    private val now: () -> Long,
) {
    private val orderLock = Mutex()

    /** Time of the last read of the record, in monotonic milliseconds. */
    @Volatile
    var lastReadAt: Long = 0
        private set

    /** Whether [step] is running. Set by the caller, which never runs two steps of one resource concurrently. */
    @Volatile
    var isBusy: Boolean = false

    /** Performs the next step; [onOwner] runs on the control thread if this VM became or is confirmed as the owner. */
    suspend fun step(view: OwnershipCandidates, onOwner: () -> Unit) {
        when (val decision = control.decide { decider.decide(view, now()) }) {
            OwnershipDecision.ReadRecord -> read()
            is OwnershipDecision.ReadSession -> readSession(decision.vm)
            is OwnershipDecision.Take -> write(decision.nonce, decision.operations, onOwner)
            is OwnershipDecision.Verify -> write(decision.nonce, decision.operations, onOwner)
            is OwnershipDecision.Clear -> write(decision.nonce, decision.operations, onOwner)
            is OwnershipDecision.Release -> write(decision.nonce, decision.operations, onOwner)
            is OwnershipDecision.WaitUntil, OwnershipDecision.Nothing -> Unit
        }
    }

    /** Reads the record; the effect is that of an earlier write whose outcome was unknown. */
    suspend fun read(): WriteEffect {
        lastReadAt = now()
        val read = platform.readRecord<OwnershipRecord>(ownerKey(name)) ?: return WriteEffect.NONE
        return control.decide { decider.observe(read.value, read.version, now()) }
    }

    /** Whether the order may be sent; if so, [finished] must be called. Orders of one resource run one at a time. */
    suspend fun beginOrder(
        kind: OrderKind,
        adapter: AdapterVersion,
        isLeaseValid: () -> Boolean,
        listed: () -> Set<VmId>,
    ): Boolean {
        orderLock.lock()
        var isAllowed = false
        try {
            var attempt = 0
            while (!isAllowed && attempt++ < ORDER_ATTEMPTS) {
                val step = control.decide { decider.beginOrder(kind, adapter, isLeaseValid(), listed(), now()) }
                when (step) {
                    is OrderStep.Send -> isAllowed = true
                    is OrderStep.Write -> isAllowed = recordOrder(step)
                    is OrderStep.Refused -> delay(ORDER_RETRY_DELAY_MILLIS)
                }
            }
        } finally {
            if (!isAllowed) orderLock.unlock()
        }
        return isAllowed
    }

    /** The order has ended; [isCertain] is false if it may still take effect on the server. */
    suspend fun finished(isCertain: Boolean) {
        control.decide { decider.orderFinished(isCertain, now()) }
        orderLock.unlock()
    }

    private suspend fun recordOrder(step: OrderStep.Write): Boolean {
        val result = platform.write(step.operations)
        var effect = control.decide { decider.written(step.nonce, result, now()) }
        if (effect == WriteEffect.READ_BACK) effect = read()
        return effect == WriteEffect.ORDER_RECORDED && control.decide { decider.startSending() }
    }

    private suspend fun write(nonce: String, operations: List<TableOperation>, onOwner: () -> Unit) {
        val result: WriteResult = platform.write(operations)
        var effect = control.decide { decider.written(nonce, result, now()) }
        if (effect == WriteEffect.READ_BACK) effect = read()
        if (effect == WriteEffect.OWNER) control.decide(onOwner)
    }

    private suspend fun readSession(vm: VmId) {
        val read = platform.readRecord<SessionRecord>(sessionKey(vm)) ?: return
        control.decide { decider.sessionObserved(vm, read.version, now()) }
    }
}

/** Attempts to record an order while another write of the same resource is in progress. */
private const val ORDER_ATTEMPTS = 10
private const val ORDER_RETRY_DELAY_MILLIS = 50L
