/*
 * One resource for which this VM is the owner or a candidate: carries out the steps of the ownership decision against
 * the table, and records orders for servers that ignore fencing numbers.
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
    private val orders = Mutex()

    /** When the record was read last, in monotonic milliseconds. */
    @Volatile
    var lastReadAt: Long = 0
        private set

    /** Whether [step] is running; steps of one resource never overlap. */
    @Volatile
    var isBusy: Boolean = false

    /** Takes one step; [changed] runs on the control thread once this VM became the owner or verified that it is. */
    suspend fun step(view: OwnershipCandidates, changed: () -> Unit) {
        when (val decision = control.decide { decider.decide(view, now()) }) {
            OwnershipDecision.ReadRecord -> read()
            is OwnershipDecision.ReadSession -> readSession(decision.vm)
            is OwnershipDecision.Take -> write(decision.nonce, decision.operations, changed)
            is OwnershipDecision.Verify -> write(decision.nonce, decision.operations, changed)
            is OwnershipDecision.Clear -> write(decision.nonce, decision.operations, changed)
            is OwnershipDecision.Release -> write(decision.nonce, decision.operations, changed)
            is OwnershipDecision.WaitUntil, OwnershipDecision.Nothing -> Unit
        }
    }

    /** Reads the record; the effect tells how a write without an answer ended. */
    suspend fun read(): WriteEffect {
        lastReadAt = now()
        val read = platform.readRecord<OwnershipRecord>(ownerKey(name)) ?: return WriteEffect.NONE
        return control.decide { decider.observe(read.value, read.version, now()) }
    }

    /** Whether the order may be sent now; if so, [finished] must follow. Orders of one resource go one by one. */
    suspend fun beginOrder(
        kind: OrderKind,
        adapter: AdapterVersion,
        isLeaseValid: () -> Boolean,
        listed: () -> Set<VmId>,
    ): Boolean {
        orders.lock()
        var isAllowed = false
        try {
            var attempt = 0
            while (!isAllowed && attempt++ < ORDER_ATTEMPTS) {
                val step = control.decide { decider.beginOrder(kind, adapter, isLeaseValid(), listed(), now()) }
                when (step) {
                    is OrderStep.Send -> isAllowed = true
                    is OrderStep.Write -> isAllowed = recordOrder(step)
                    is OrderStep.Refused -> delay(ORDER_PAUSE_MILLIS)
                }
            }
        } finally {
            if (!isAllowed) orders.unlock()
        }
        return isAllowed
    }

    /** The order ended; [isCertain] is false if it may still reach the server. */
    suspend fun finished(isCertain: Boolean) {
        control.decide { decider.orderFinished(isCertain, now()) }
        orders.unlock()
    }

    private suspend fun recordOrder(step: OrderStep.Write): Boolean {
        val result = platform.write(step.operations)
        var effect = control.decide { decider.written(step.nonce, result, now()) }
        if (effect == WriteEffect.READ_BACK) effect = read()
        return effect == WriteEffect.ORDER_RECORDED && control.decide { decider.startSending() }
    }

    private suspend fun write(nonce: String, operations: List<TableOperation>, changed: () -> Unit) {
        val result: WriteResult = platform.write(operations)
        var effect = control.decide { decider.written(nonce, result, now()) }
        if (effect == WriteEffect.READ_BACK) effect = read()
        if (effect == WriteEffect.OWNER) control.decide(changed)
    }

    private suspend fun readSession(vm: VmId) {
        val read = platform.readRecord<SessionRecord>(sessionKey(vm)) ?: return
        control.decide { decider.sessionObserved(vm, read.version, now()) }
    }
}

/** An order waits at most this many pauses for another write of the same resource. */
private const val ORDER_ATTEMPTS = 10
private const val ORDER_PAUSE_MILLIS = 50L
