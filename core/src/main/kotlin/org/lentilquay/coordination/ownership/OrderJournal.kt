/*
 * The orders that can still take effect on a server that ignores fencing numbers: the current order of this VM and
 * those inherited from former owners. An order is kept until it can no longer reach the server. Times are monotonic
 * milliseconds.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OrderKind
import org.lentilquay.state.PendingOrder
import org.lentilquay.state.VmId

/** The longest time after the loss of its connection at which a server may still carry out an order. */
const val MAXIMUM_LATE_ORDER_MILLIS: Long = 10_000

internal class OrderJournal {
    /** The progress of the current order of this VM. */
    enum class Phase { RECORDING, RECORDED, SENT, UNCERTAIN }

    var order: PendingOrder? = null
        private set
    var phase: Phase? = null
        private set
    private var uncertainSince = 0L
    var inherited: List<PendingOrder> = emptyList()
        private set

    /** The VMs whose orders were inherited. */
    val formerOwners: Set<VmId> get() = inherited.mapTo(HashSet()) { it.vm }

    /** Whether the current order may still reach the server or be carried out by it. */
    val mayStillArrive: Boolean get() = phase == Phase.SENT || phase == Phase.UNCERTAIN

    /** Whether an order is pending. */
    val isBusy: Boolean get() = order != null

    /** Adapters that a pending or inherited order may still unload. */
    val blockedAdapters: Set<AdapterVersion>
        get() = (inherited + listOfNotNull(order))
            .filter { it.kind == OrderKind.UNLOAD }
            .mapTo(HashSet()) { it.adapter }

    /** Whether a new order may begin: none is pending, or the last one was lost too long ago to be carried out. */
    fun mayBegin(now: Long): Boolean =
        order == null || (phase == Phase.UNCERTAIN && now - uncertainSince >= MAXIMUM_LATE_ORDER_MILLIS)

    /** The orders besides [next] that the ownership record has to list. */
    fun outstanding(next: PendingOrder?): List<PendingOrder> {
        val uncertain = order.takeIf { phase == Phase.UNCERTAIN && it != next }
        return (inherited + listOfNotNull(uncertain)).distinct()
    }

    fun begin(newOrder: PendingOrder) {
        order = newOrder
        phase = Phase.RECORDING
    }

    fun markRecorded() {
        phase = Phase.RECORDED
    }

    /** Marks the order as sent; returns false if it is not recorded or was dropped. */
    fun startSending(): Boolean {
        if (phase != Phase.RECORDED) return false
        phase = Phase.SENT
        return true
    }

    /** Removes the current order, which was answered or can no longer reach the server. */
    fun clear() {
        inherited = inherited.filter { it != order }
        order = null
        phase = null
    }

    fun markUncertain(now: Long) {
        if (phase != Phase.SENT) return
        phase = Phase.UNCERTAIN
        uncertainSince = now
    }

    /** Drops an order that was not sent. */
    fun dropUnsent() {
        if (!mayStillArrive) clear()
    }

    /** Replaces the inherited orders by [orders]. */
    fun inherit(orders: List<PendingOrder>) {
        inherited = orders
    }

    /** Removes the inherited orders that are [isHarmless], because their VM can no longer send them. */
    fun release(isHarmless: (PendingOrder) -> Boolean) {
        inherited = inherited.filterNot(isHarmless)
    }
}

/** Whether [order] was written by a process that has ended, because its VM runs a later [incarnation]. */
internal fun isFromEarlierProcess(order: PendingOrder, vm: VmId, incarnation: Incarnation): Boolean =
    order.vm == vm && order.incarnation < incarnation
