/*
 * Decides on the ownership of one resource from the view of one VM. Every change is a conditional write that carries a
 * nonce; the record in the table is the truth and this class holds the last version seen. Times are monotonic
 * milliseconds of this VM. Expected failures show as [WriteEffect]. Docs: docs/design.md, sections 4.1 and 4.2.
 *
 * [needsLeaseWait] is set for servers that ignore fencing numbers. For these, a taking waits for the owner's lease, and
 * each order is recorded before it is sent, which checks that this VM is still the owner.
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

/** Candidates take one after another in order of rank, so that they seldom race. */
const val TAKE_STAGGER_MILLIS: Long = 500

/** A better-ranked member must have been ready for this time before it is given the resource. */
const val READY_BEFORE_HAND_OVER_MILLIS: Long = 5_000

/**
 * An owner that has handed a resource over takes it back only after this time: the better-ranked member reads the
 * record every second. Without the wait the resource changed hands every two seconds and never left its waiting time.
 */
const val HAND_OVER_WAIT_MILLIS: Long = 3_000

/** A write without an answer for this time is read back. */
const val OWNERSHIP_WRITE_TIMEOUT_MILLIS: Long = 1_000

/** What the decider is told about the members at each decision. */
data class OwnershipCandidates(
    /** Ready members outside drained failure domains, the preferred owner first. */
    val ranked: List<VmId>,
    /** How long the first of [ranked] has been ready. */
    val firstReadyMillis: Long,
    /** Whether this VM is stopping as planned. */
    val isStopping: Boolean = false,
)

class OwnershipDecider(
    private val resource: String,
    private val own: VmId,
    private val incarnation: Incarnation,
    private val needsLeaseWait: Boolean,
    private val handOvers: HandoverLimiter,
    private val newNonce: () -> String,
) {
    private enum class Purpose { TAKE, VERIFY, RELEASE, ORDER, CLEAR }

    private class UnderWay(val purpose: Purpose, val nonce: String, val sentAt: Long, val record: OwnershipRecord)

    private var record: OwnershipRecord? = null
    private var version = 0L
    private var needsRead = true
    private var needsClear = false
    private var underWay: UnderWay? = null
    private var holderState = OwnerState.ALIVE
    private var vacantSince: Long? = null

    /** After a hand-over, the time from which this VM may take the resource back. */
    private var takeFrom = Long.MIN_VALUE
    private var since = 0L
    private var isUnconfirmed = false

    /** The highest fence of this VM that it has given up or seen replaced; it never acts under it again. */
    private var endedFence = Long.MIN_VALUE
    private val session = SessionWatch()
    private val journal = OrderJournal()
    private val acknowledgements = FenceAcknowledgements(own)

    /** The owner according to the last reading, for redirecting requests. */
    val owner: VmId? get() = record?.vm

    /** The ownership of this VM, or null if it is not the owner as far as it knows. */
    val ownership: Ownership?
        get() = record?.takeIf { isOwn(it) && it.fence > endedFence }?.let { Ownership(it.fence, since, isUnconfirmed) }

    /** Adapters that must not be granted here: an unload out of this VM's control may still reach the server. */
    val blockedAdapters: Set<AdapterVersion> get() = journal.blockedAdapters

    /** The VMs that may still send an inherited order. */
    val formerOwners: Set<VmId> get() = journal.formerOwners

    /** Slots that must stay unused: each inherited order may still change one. */
    val blockedSlots: Int get() = journal.inherited.size

    /** Takes in a reading of the record, null if absent. Readings older than what is known are ignored. */
    fun observe(read: OwnershipRecord?, readVersion: Long, now: Long): WriteEffect {
        if (readVersion < version) return WriteEffect.NONE
        val write = underWay
        val found = read != null && write != null && read.nonce == write.nonce
        val isSame = readVersion == version && !needsRead
        if (isSame && !found) return WriteEffect.NONE
        underWay = null
        needsRead = false
        return when {
            found -> took(write, readVersion, now)
            else -> {
                adopt(read, readVersion, now)
                if (write?.purpose == Purpose.ORDER) aborted() else WriteEffect.NONE
            }
        }
    }

    /** Takes in the state of the VM named in the record. */
    fun ownerState(state: OwnerState, now: Long) {
        holderState = state
        if (isHolderAbsent()) vacantSince = vacantSince ?: now else if (record?.vm != null) vacantSince = null
    }

    /** Takes in the version of the session record of [vm], 0 if absent. */
    fun sessionObserved(vm: VmId, seenVersion: Long, now: Long) = session.observed(vm, seenVersion, now)

    /** This VM was paused or its lease lapsed: it verifies the record before its next order. */
    fun markUnconfirmed() {
        if (ownership != null) isUnconfirmed = true
    }

    /** The next step at [now]. */
    fun decide(view: OwnershipCandidates, now: Long): OwnershipDecision {
        val write = underWay
        return when {
            write != null && now - write.sentAt < OWNERSHIP_WRITE_TIMEOUT_MILLIS ->
                OwnershipDecision.WaitUntil(write.sentAt + OWNERSHIP_WRITE_TIMEOUT_MILLIS)
            write != null || needsRead -> {
                needsRead = true
                OwnershipDecision.ReadRecord
            }
            ownership != null -> decideAsOwner(view, now)
            else -> decideAsCandidate(view, now)
        }
    }

    /** Takes in the [result] of the write [nonce]. */
    fun written(nonce: String, result: WriteResult, now: Long): WriteEffect {
        val write = underWay?.takeIf { it.nonce == nonce } ?: return WriteEffect.NONE
        return when (result) {
            WriteResult.COMMITTED -> {
                underWay = null
                took(write, if (write.purpose == Purpose.VERIFY) version else version + 1, now)
            }
            WriteResult.UNKNOWN -> {
                needsRead = true
                if (write.purpose == Purpose.VERIFY) underWay = null
                WriteEffect.READ_BACK
            }
            WriteResult.CONFLICT, WriteResult.NOT_SENT -> failed(write, result)
        }
    }

    /** Asks to send an order. [isLeaseValid] and [listed] matter only for servers that ignore fencing numbers. */
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
            isUnconfirmed || !isLeaseValid -> "ownership of $resource is in doubt"
            underWay != null || needsRead || !journal.mayBegin(now) ->
                "another order or write for $resource is under way"
            journal.inherited.any { it.adapter == adapter && it.vm != own } ->
                "a former owner may still load or unload $adapter on $resource"
            kind == OrderKind.UNLOAD && acknowledgements.missing(listed, mine.fence).isNotEmpty() ->
                "not every listed VM has acknowledged fence ${mine.fence} of $resource"
            else -> null
        }
        if (reason != null) return OrderStep.Refused(reason)
        val order = PendingOrder(kind, adapter, own, incarnation, mine.fence)
        journal.begin(order)
        val put = begin(Purpose.ORDER, mineWith(order), now)
        return OrderStep.Write(put.nonce, operations(put))
    }

    /** Called right before the order is sent; false means that it must not be sent. */
    fun startSending(): Boolean = ownership != null && journal.startSending()

    /**
     * The sent order ended. If [isCertain] is false, because its connection was lost, it may still reach the server. It
     * stays pending until the server restarts, or another order follows after [LOST_ORDER_MILLIS].
     */
    fun orderFinished(isCertain: Boolean, now: Long) {
        if (!isCertain) return journal.uncertain(now)
        journal.clear()
        needsClear = ownership != null
    }

    /** The server has restarted, so orders on lost connections cannot reach it; those not yet sent still can. */
    fun serverRestarted() {
        if (journal.phase != OrderJournal.Phase.UNCERTAIN) return
        journal.clear()
        needsClear = ownership != null
    }

    /**
     * Whether this VM may answer `ActiveRuns` of a new owner with [fence]. It stops acting under older fences at once,
     * and answers once no order of its own is on the way.
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

    /** Notes that [vm] acknowledged [fence] of this VM. */
    fun acknowledged(vm: VmId, fence: Long) {
        acknowledgements.acknowledged(vm, fence)
        val mine = ownership ?: return
        journal.release { it.vm == vm && acknowledgements.has(vm, mine.fence) }
    }

    /** Notes that [vm] runs as [current], so orders of its earlier processes cannot be sent any more. */
    fun restarted(vm: VmId, current: Incarnation) = journal.release { isFromEarlierProcess(it, vm, current) }

    /** Notes that [vm] has left the platform's list. */
    fun vmDeparted(vm: VmId) = journal.release { it.vm == vm }

    /** The VMs of [listed] that still have to acknowledge this VM's fence. */
    fun missingAcknowledgements(listed: Set<VmId>): Set<VmId> =
        ownership?.let { acknowledgements.missing(listed, it.fence) } ?: emptySet()

    private fun decideAsOwner(view: OwnershipCandidates, now: Long): OwnershipDecision = when {
        isUnconfirmed -> begin(Purpose.VERIFY, record!!, now).let { OwnershipDecision.Verify(it.nonce, operations(it)) }
        journal.isBusy && journal.phase != OrderJournal.Phase.UNCERTAIN -> OwnershipDecision.Nothing
        view.isStopping -> release(mineWith(null), now)
        isBetterReady(view) && handOvers.tryStart(now) -> release(mineWith(null), now, HAND_OVER_WAIT_MILLIS)
        needsClear && needsLeaseWait && !journal.isBusy ->
            begin(Purpose.CLEAR, mineWith(null), now).let { OwnershipDecision.Clear(it.nonce, operations(it)) }
        else -> OwnershipDecision.Nothing
    }

    private fun isBetterReady(view: OwnershipCandidates): Boolean {
        val first = view.ranked.firstOrNull()
        return first != null && first != own && view.firstReadyMillis >= READY_BEFORE_HAND_OVER_MILLIS
    }

    private fun release(next: OwnershipRecord, now: Long, graceMillis: Long = 0): OwnershipDecision {
        // A release whose answer is lost can take effect late, so this fence ends before the release is sent.
        val write = begin(Purpose.RELEASE, next.copy(vm = null), now)
        endedFence = maxOf(endedFence, write.record.fence)
        vacantSince = now
        takeFrom = now + graceMillis
        return OwnershipDecision.Release(write.nonce, operations(write))
    }

    private fun decideAsCandidate(view: OwnershipCandidates, now: Long): OwnershipDecision {
        val current = record
        val holder = current?.vm
        val index = view.ranked.filter { it != holder || it == own }.indexOf(own)
        val isCandidate = !view.isStopping && index >= 0
        return when {
            holder == own && !isCandidate ->
                // The peers see an owner that is alive, so a record that still names this VM is released.
                release(current.copy(pendingOrder = null, inheritedOrders = heritage()), now)
            isCandidate && (holder == null || holder == own || isHolderAbsent()) -> takeInTurn(current, index, now)
            else -> OwnershipDecision.Nothing
        }
    }

    private fun takeInTurn(current: OwnershipRecord?, index: Int, now: Long): OwnershipDecision {
        val holder = current?.vm
        val vacant = vacantSince ?: now.also { vacantSince = it }
        // A former owner that ranks first again, after a short drain for example, has nobody to wait for.
        val start = if (index == 0) vacant else maxOf(vacant + index * TAKE_STAGGER_MILLIS, takeFrom)
        if (now < start) return OwnershipDecision.WaitUntil(start)
        if (holder == null || holder == own || !needsLeaseWait) return take(current, null, now)
        val (seen, from) = session.proof(holder) ?: return OwnershipDecision.ReadSession(holder)
        return if (now < from) {
            OwnershipDecision.WaitUntil(from)
        } else {
            take(current, TableOperation.Check(sessionKey(holder), seen), now)
        }
    }

    private fun take(current: OwnershipRecord?, proof: TableOperation?, now: Long): OwnershipDecision {
        val next = OwnershipRecord(own, incarnation, (current?.fence ?: 0) + 1, null, heritage(), newNonce())
        val write = UnderWay(Purpose.TAKE, next.nonce, now, next).also { underWay = it }
        return OwnershipDecision.Take(write.nonce, listOfNotNull(proof) + operations(write))
    }

    /**
     * The orders that the record passes on to the next owner. Of this VM's own orders only the journal's can still
     * reach the server: earlier processes have ended.
     */
    private fun heritage(): List<PendingOrder> {
        val current = record
        val others = (current?.inheritedOrders.orEmpty() + listOfNotNull(current?.pendingOrder)).filter { it.vm != own }
        return others + listOfNotNull(journal.order.takeIf { journal.mayStillArrive })
    }

    private fun begin(purpose: Purpose, next: OwnershipRecord, now: Long): UnderWay {
        val nonce = newNonce()
        return UnderWay(purpose, nonce, now, next.copy(nonce = nonce)).also { underWay = it }
    }

    private fun operations(write: UnderWay): List<TableOperation> = listOf(
        if (write.purpose == Purpose.VERIFY) {
            TableOperation.Check(ownerKey(resource), version)
        } else {
            TableOperation.Put(ownerKey(resource), Json.encodeToString(write.record), version)
        },
    )

    private fun mineWith(order: PendingOrder?): OwnershipRecord =
        record!!.copy(pendingOrder = order, inheritedOrders = journal.outstanding(order))

    private fun took(write: UnderWay, newVersion: Long, now: Long): WriteEffect {
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
                journal.recorded()
                WriteEffect.ORDER_RECORDED
            }
            Purpose.CLEAR -> WriteEffect.NONE.also { needsClear = false }
            Purpose.RELEASE -> WriteEffect.NONE
        }
    }

    private fun becameOwner(write: UnderWay, now: Long): WriteEffect {
        if (ownership == null) return WriteEffect.NONE
        if (write.purpose == Purpose.TAKE) journal.inherit(write.record.inheritedOrders)
        since = now
        isUnconfirmed = false
        vacantSince = null
        return WriteEffect.OWNER
    }

    private fun failed(write: UnderWay, result: WriteResult): WriteEffect {
        underWay = null
        if (result == WriteResult.CONFLICT) {
            needsRead = true
            if (write.purpose == Purpose.TAKE) session.forget()
            markUnconfirmed()
        }
        return if (write.purpose == Purpose.ORDER) aborted() else WriteEffect.NONE
    }

    private fun aborted(): WriteEffect {
        journal.dropUnsent()
        return WriteEffect.ORDER_ABORTED
    }

    /** Adopts a record that this VM did not just write. */
    private fun adopt(read: OwnershipRecord?, readVersion: Long, now: Long) {
        val wasOwner = ownership != null
        if (read?.vm != record?.vm) {
            holderState = OwnerState.ALIVE
            vacantSince = null
        }
        record = read
        version = readVersion
        if (read != null && isOwn(read) && read.fence > endedFence) {
            // A write that was given up took effect late. The journal, not the record, knows what was sent.
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

    private fun isHolderAbsent(): Boolean =
        record?.vm.let { it != null && it != own } &&
            holderState in setOf(OwnerState.DEAD, OwnerState.LEFT, OwnerState.GONE)
}
