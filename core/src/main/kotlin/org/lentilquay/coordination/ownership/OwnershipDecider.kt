/*
 * Decides on the ownership of one resource on behalf of one VM. Every change is a conditional write with a nonce. The
 * record in the table service is authoritative; this class keeps the last version that it has seen. Expected failures
 * show as [WriteEffect]. Single-threaded use; times are monotonic milliseconds of this VM. Docs: docs/design.md,
 * sections 4.1 and 4.2.
 *
 * [needsLeaseWait] is set for servers that ignore fencing numbers. For these, a VM takes ownership only after the
 * owner's lease has expired, and records each order before it sends it; the write checks that it is still the owner.
 */
package org.lentilquay.coordination.ownership

import kotlinx.serialization.json.Json
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OrderKind
import org.lentilquay.state.OwnershipRecord
import org.lentilquay.state.PendingOrder
import org.lentilquay.state.VmId
import org.lentilquay.state.ownerKey
import org.lentilquay.state.sessionKey

/** The delay of each candidate after the next better-ranked one, so that candidates seldom race. */
const val TAKE_STAGGER_MILLIS: Long = 500

/** How long a better-ranked member must have been ready before the resource is handed over to it. */
const val READY_BEFORE_HANDOVER_MILLIS: Long = 5_000

/**
 * How long a former owner waits after a handover before it takes the resource back. The better-ranked member reads the
 * record only every second; without the delay the resource changed owners every two seconds and never left the takeover
 * wait of a new owner.
 */
const val RETAKE_DELAY_MILLIS: Long = 3_000

/** A write without an answer for this time is read back from the table service. */
const val OWNERSHIP_WRITE_TIMEOUT_MILLIS: Long = 1_000

/** The candidates for the ownership of a resource. */
data class OwnershipCandidates(
    /** Ready members outside drained failure domains, the preferred owner first. */
    val ranked: List<VmId>,
    /** How long the first of [ranked] has been ready, in milliseconds. */
    val firstReadyMillis: Long,
    /** Whether this VM is in a planned stop. */
    val isStopping: Boolean = false,
)

class OwnershipDecider(
    private val resource: String,
    private val own: VmId,
    private val incarnation: Incarnation,
    private val needsLeaseWait: Boolean,
    private val handovers: HandoverLimiter,
    private val newNonce: () -> String,
) {
    private enum class Purpose { TAKE, VERIFY, RELEASE, ORDER, CLEAR }

    private class PendingWrite(val purpose: Purpose, val nonce: String, val sentAt: Long, val record: OwnershipRecord)

    private var record: OwnershipRecord? = null
    private var version = 0L
    private var needsRead = true
    private var needsClear = false
    private var pendingWrite: PendingWrite? = null
    private var lastOwnerState = OwnerState.ALIVE
    private var vacantSince: Long? = null

    /** The earliest time at which this VM may take the resource back after a handover. */
    private var earliestTakeAt = Long.MIN_VALUE
    private var since = 0L
    private var isUnconfirmed = false

    /** The highest fence of this VM that has ended, by a release or a later owner; it never acts under it again. */
    private var endedFence = Long.MIN_VALUE
    private val session = SessionExpiryObserver()
    private val journal = OrderJournal()
    private val acknowledgements = FenceAcknowledgements(own)

    /** The owner according to the last read of the record; requests are redirected to it. */
    val owner: VmId? get() = record?.vm

    /** The ownership of this VM, or null if it is not the owner in its local view. */
    val ownership: Ownership?
        get() = record?.takeIf { isOwn(it) && it.fence > endedFence }?.let { Ownership(it.fence, since, isUnconfirmed) }

    /** Adapters that must not be granted, because a pending or inherited unload may still reach the server. */
    val blockedAdapters: Set<AdapterVersion> get() = journal.blockedAdapters

    /** The VMs that may still send an inherited order. */
    val formerOwners: Set<VmId> get() = journal.formerOwners

    /** The number of adapter slots to leave unused: each inherited order may still change one. */
    val blockedSlots: Int get() = journal.inherited.size

    /** Handles a read of the record, null if absent. Versions lower than the last one seen are ignored. */
    fun observe(read: OwnershipRecord?, readVersion: Long, now: Long): WriteEffect {
        if (readVersion < version) return WriteEffect.NONE
        val write = pendingWrite
        val found = read != null && write != null && read.nonce == write.nonce
        val isSame = readVersion == version && !needsRead
        if (isSame && !found) return WriteEffect.NONE
        pendingWrite = null
        needsRead = false
        return when {
            found -> committed(write, readVersion, now)
            else -> {
                adopt(read, readVersion, now)
                if (write?.purpose == Purpose.ORDER) aborted() else WriteEffect.NONE
            }
        }
    }

    /** Updates the state of the VM named in the record. */
    fun ownerState(state: OwnerState, now: Long) {
        lastOwnerState = state
        if (isOwnerAbsent()) vacantSince = vacantSince ?: now else if (record?.vm != null) vacantSince = null
    }

    /** Handles a read of the session record of [vm], which had [seenVersion], 0 if absent. */
    fun sessionObserved(vm: VmId, seenVersion: Long, now: Long) = session.observed(vm, seenVersion, now)

    /** Marks the ownership as unconfirmed after a pause or an expired lease; it is verified before the next order. */
    fun markUnconfirmed() {
        if (ownership != null) isUnconfirmed = true
    }

    /** The next step at [now]. */
    fun decide(candidates: OwnershipCandidates, now: Long): OwnershipDecision {
        val write = pendingWrite
        return when {
            write != null && now - write.sentAt < OWNERSHIP_WRITE_TIMEOUT_MILLIS ->
                OwnershipDecision.WaitUntil(write.sentAt + OWNERSHIP_WRITE_TIMEOUT_MILLIS)
            write != null || needsRead -> {
                needsRead = true
                OwnershipDecision.ReadRecord
            }
            ownership != null -> decideAsOwner(candidates, now)
            else -> decideAsCandidate(candidates, now)
        }
    }

    /** Handles the [result] of the write [nonce]. */
    fun written(nonce: String, result: WriteResult, now: Long): WriteEffect {
        val write = pendingWrite?.takeIf { it.nonce == nonce } ?: return WriteEffect.NONE
        return when (result) {
            WriteResult.COMMITTED -> {
                pendingWrite = null
                committed(write, if (write.purpose == Purpose.VERIFY) version else version + 1, now)
            }
            WriteResult.UNKNOWN -> {
                needsRead = true
                if (write.purpose == Purpose.VERIFY) pendingWrite = null
                WriteEffect.READ_BACK
            }
            WriteResult.CONFLICT, WriteResult.NOT_SENT -> rejected(write, result)
        }
    }

    /** Decides whether an order may be sent. [isLeaseValid] and [listed] are used only if [needsLeaseWait] is set. */
    fun beginOrder(
        kind: OrderKind,
        adapter: AdapterVersion,
        isLeaseValid: Boolean,
        listed: Set<VmId>,
        now: Long,
    ): OrderStep {
        val mine = ownership ?: return OrderStep.Refused("this VM does not own $resource")
        if (!needsLeaseWait) return OrderStep.Send(mine.fence)
        val reason = when {
            isUnconfirmed || !isLeaseValid -> "ownership of $resource is unconfirmed"
            pendingWrite != null || needsRead || !journal.mayBegin(now) ->
                "another order or write for $resource is pending"
            journal.inherited.any { it.adapter == adapter && it.vm != own } ->
                "a former owner may still load or unload $adapter on $resource"
            kind == OrderKind.UNLOAD && acknowledgements.missing(listed, mine.fence).isNotEmpty() ->
                "not every listed VM has acknowledged fence ${mine.fence} of $resource"
            else -> null
        }
        if (reason != null) return OrderStep.Refused(reason)
        val order = PendingOrder(kind, adapter, own, incarnation, mine.fence)
        journal.begin(order)
        val put = begin(Purpose.ORDER, ownRecordWith(order), now)
        return OrderStep.Write(put.nonce, operations(put))
    }

    /** Marks the order as sent. To be called right before it is sent; if it returns false, it must not be sent. */
    fun startSending(): Boolean = ownership != null && journal.startSending()

    /**
     * The order that was sent has ended. If [isCertain] is false, because its connection was lost, it may still reach
     * the server: it stays pending until the server restarts or another order begins after [MAXIMUM_LATE_ORDER_MILLIS].
     */
    fun orderFinished(isCertain: Boolean, now: Long) {
        if (!isCertain) return journal.markUncertain(now)
        journal.clear()
        needsClear = ownership != null
    }

    /** The server has restarted: orders on lost connections can no longer reach it, those not sent yet can. */
    fun serverRestarted() {
        if (journal.phase != OrderJournal.Phase.UNCERTAIN) return
        journal.clear()
        needsClear = ownership != null
    }

    /**
     * Whether this VM may answer the `ActiveRuns` of a new owner with [fence]. This VM stops acting under older fences
     * at once, and may answer when none of its orders can reach the server any more.
     */
    fun acknowledge(fence: Long): Boolean {
        endedFence = maxOf(endedFence, fence - 1)
        val isOwnLater = ownership != null
        if (!isOwnLater) {
            journal.dropUnsent()
            needsRead = needsRead || (record?.fence ?: 0) < fence
        }
        return isOwnLater || !journal.mayStillArrive
    }

    /** Records that [vm] acknowledged [fence] of this VM. */
    fun acknowledged(vm: VmId, fence: Long) {
        acknowledgements.acknowledged(vm, fence)
        val mine = ownership ?: return
        journal.release { it.vm == vm && acknowledgements.has(vm, mine.fence) }
    }

    /** Records that [vm] runs as [current], so its earlier incarnations can no longer send orders. */
    fun restarted(vm: VmId, current: Incarnation) = journal.release { isFromEarlierProcess(it, vm, current) }

    /** Records that [vm] has left the platform's VM list, so it can no longer send orders. */
    fun vmDeparted(vm: VmId) = journal.release { it.vm == vm }

    /** The VMs of [listed] that have not acknowledged the fence of this VM. */
    fun missingAcknowledgements(listed: Set<VmId>): Set<VmId> =
        ownership?.let { acknowledgements.missing(listed, it.fence) } ?: emptySet()

    private fun decideAsOwner(candidates: OwnershipCandidates, now: Long): OwnershipDecision = when {
        isUnconfirmed -> begin(Purpose.VERIFY, record!!, now).let { OwnershipDecision.Verify(it.nonce, operations(it)) }
        journal.isBusy && journal.phase != OrderJournal.Phase.UNCERTAIN -> OwnershipDecision.Nothing
        candidates.isStopping -> release(ownRecordWith(null), now)
        isBetterReady(candidates) && handovers.tryStart(now) -> release(ownRecordWith(null), now, RETAKE_DELAY_MILLIS)
        needsClear && needsLeaseWait && !journal.isBusy ->
            begin(Purpose.CLEAR, ownRecordWith(null), now).let { OwnershipDecision.Clear(it.nonce, operations(it)) }
        else -> OwnershipDecision.Nothing
    }

    private fun isBetterReady(candidates: OwnershipCandidates): Boolean {
        val first = candidates.ranked.firstOrNull()
        return first != null && first != own && candidates.firstReadyMillis >= READY_BEFORE_HANDOVER_MILLIS
    }

    private fun release(next: OwnershipRecord, now: Long, retakeDelayMillis: Long = 0): OwnershipDecision {
        // The fence ends before the release is sent, because a release without an answer can still take effect.
        val write = begin(Purpose.RELEASE, next.copy(vm = null), now)
        endedFence = maxOf(endedFence, write.record.fence)
        vacantSince = now
        earliestTakeAt = now + retakeDelayMillis
        return OwnershipDecision.Release(write.nonce, operations(write))
    }

    private fun decideAsCandidate(candidates: OwnershipCandidates, now: Long): OwnershipDecision {
        val current = record
        val lastOwner = current?.vm
        val index = candidates.ranked.filter { it != lastOwner || it == own }.indexOf(own)
        val isCandidate = !candidates.isStopping && index >= 0
        return when {
            lastOwner == own && !isCandidate ->
                // Peers do not take from an owner that is alive, so this VM releases a record that still names it.
                release(current.copy(pendingOrder = null, inheritedOrders = ordersToInherit()), now)
            isCandidate && (lastOwner == null || lastOwner == own || isOwnerAbsent()) -> takeByRank(current, index, now)
            else -> OwnershipDecision.Nothing
        }
    }

    private fun takeByRank(current: OwnershipRecord?, index: Int, now: Long): OwnershipDecision {
        val lastOwner = current?.vm
        val vacant = vacantSince ?: now.also { vacantSince = it }
        // A former owner that ranks first again, for example after a short drain, takes the resource without delay.
        val start = if (index == 0) vacant else maxOf(vacant + index * TAKE_STAGGER_MILLIS, earliestTakeAt)
        if (now < start) return OwnershipDecision.WaitUntil(start)
        if (lastOwner == null || lastOwner == own || !needsLeaseWait) return take(current, null, now)
        val (seen, from) = session.expiryProof(lastOwner) ?: return OwnershipDecision.ReadSession(lastOwner)
        return if (now < from) {
            OwnershipDecision.WaitUntil(from)
        } else {
            take(current, TableOperation.Check(sessionKey(lastOwner), seen), now)
        }
    }

    private fun take(current: OwnershipRecord?, proof: TableOperation?, now: Long): OwnershipDecision {
        val next = OwnershipRecord(own, incarnation, (current?.fence ?: 0) + 1, null, ordersToInherit(), newNonce())
        val write = PendingWrite(Purpose.TAKE, next.nonce, now, next).also { pendingWrite = it }
        return OwnershipDecision.Take(write.nonce, listOfNotNull(proof) + operations(write))
    }

    /**
     * The orders that the record passes on to the next owner. Of the orders of this VM, only that in the journal can
     * still reach the server: earlier processes have ended.
     */
    private fun ordersToInherit(): List<PendingOrder> {
        val current = record
        val others = (current?.inheritedOrders.orEmpty() + listOfNotNull(current?.pendingOrder)).filter { it.vm != own }
        return others + listOfNotNull(journal.order.takeIf { journal.mayStillArrive })
    }

    private fun begin(purpose: Purpose, next: OwnershipRecord, now: Long): PendingWrite {
        val nonce = newNonce()
        return PendingWrite(purpose, nonce, now, next.copy(nonce = nonce)).also { pendingWrite = it }
    }

    private fun operations(write: PendingWrite): List<TableOperation> = listOf(
        if (write.purpose == Purpose.VERIFY) {
            TableOperation.Check(ownerKey(resource), version)
        } else {
            TableOperation.Put(ownerKey(resource), Json.encodeToString(write.record), version)
        },
    )

    private fun ownRecordWith(order: PendingOrder?): OwnershipRecord =
        record!!.copy(pendingOrder = order, inheritedOrders = journal.outstanding(order))

    private fun committed(write: PendingWrite, newVersion: Long, now: Long): WriteEffect {
        needsRead = false
        if (write.purpose != Purpose.VERIFY) {
            record = write.record
            version = newVersion
        }
        return when (write.purpose) {
            Purpose.TAKE, Purpose.VERIFY -> becameOwner(write, now)
            Purpose.ORDER -> {
                needsClear = false
                if (ownership == null) return aborted()
                journal.markRecorded()
                WriteEffect.ORDER_RECORDED
            }
            Purpose.CLEAR -> WriteEffect.NONE.also { needsClear = false }
            Purpose.RELEASE -> WriteEffect.NONE
        }
    }

    private fun becameOwner(write: PendingWrite, now: Long): WriteEffect {
        if (ownership == null) return WriteEffect.NONE
        if (write.purpose == Purpose.TAKE) journal.inherit(write.record.inheritedOrders)
        since = now
        isUnconfirmed = false
        vacantSince = null
        return WriteEffect.OWNER
    }

    private fun rejected(write: PendingWrite, result: WriteResult): WriteEffect {
        pendingWrite = null
        if (result == WriteResult.CONFLICT) {
            needsRead = true
            if (write.purpose == Purpose.TAKE) session.reset()
            markUnconfirmed()
        }
        return if (write.purpose == Purpose.ORDER) aborted() else WriteEffect.NONE
    }

    private fun aborted(): WriteEffect {
        journal.dropUnsent()
        return WriteEffect.ORDER_ABORTED
    }

    /** Adopts a record other than that of the pending write. */
    private fun adopt(read: OwnershipRecord?, readVersion: Long, now: Long) {
        val wasOwner = ownership != null
        if (read?.vm != record?.vm) {
            lastOwnerState = OwnerState.ALIVE
            vacantSince = null
        }
        record = read
        version = readVersion
        if (read != null && isOwn(read) && read.fence > endedFence) {
            // A write that was given up took effect late. What was sent is in the journal, not in the record.
            if (!wasOwner) {
                journal.inherit(read.inheritedOrders)
                since = now
                isUnconfirmed = true
            }
            needsClear = true
        } else {
            isUnconfirmed = false
            journal.dropUnsent()
            journal.inherit(emptyList())
        }
    }

    private fun isOwn(of: OwnershipRecord) = of.vm == own && of.incarnation == incarnation

    private fun isOwnerAbsent(): Boolean =
        record?.vm.let { it != null && it != own } &&
            lastOwnerState in setOf(OwnerState.DEAD, OwnerState.LEFT, OwnerState.GONE)
}
