/*
 * The orders to a server that ignores fencing numbers, as far as they can still take effect: the order of this VM under
 * way, and those inherited from former owners. An order stays until it cannot reach the server any more.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Incarnation
import org.lentilquay.state.OrderKind
import org.lentilquay.state.PendingOrder
import org.lentilquay.state.VmId

/** A server carries out nothing later than this after the connection of the order was lost. */
const val LOST_ORDER_MILLIS: Long = 10_000

internal class OrderJournal {
    /** How far this VM's own order has come. */
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

    /** Whether this VM's own order may be on its way to the server, or on it. */
    val mayStillArrive: Boolean get() = phase == Phase.SENT || phase == Phase.UNCERTAIN

    /** Whether the next order has to wait. */
    val isBusy: Boolean get() = order != null

    /** Adapters that an order out of this VM's control may remove at any time. */
    val blockedAdapters: Set<AdapterVersion>
        get() = (inherited + listOfNotNull(order))
            .filter { it.kind == OrderKind.UNLOAD }
            .mapTo(HashSet()) { it.adapter }

    /** Whether an order may begin: none is under way, or the last one was lost so long ago that it cannot arrive. */
    fun mayBegin(now: Long): Boolean =
        order == null || (phase == Phase.UNCERTAIN && now - uncertainSince >= LOST_ORDER_MILLIS)

    /** The orders besides [next] that the record has to show. */
    fun outstanding(next: PendingOrder?): List<PendingOrder> {
        val uncertain = order.takeIf { phase == Phase.UNCERTAIN && it != next }
        return (inherited + listOfNotNull(uncertain)).distinct()
    }

    fun begin(newOrder: PendingOrder) {
        order = newOrder
        phase = Phase.RECORDING
    }

    fun recorded() {
        phase = Phase.RECORDED
    }

    /** Marks the order as sent if it is recorded and has not been dropped. */
    fun startSending(): Boolean {
        if (phase != Phase.RECORDED) return false
        phase = Phase.SENT
        return true
    }

    /** The order was answered, or can no longer reach the server. */
    fun clear() {
        inherited = inherited.filter { it != order }
        order = null
        phase = null
    }

    fun uncertain(now: Long) {
        if (phase != Phase.SENT) return
        phase = Phase.UNCERTAIN
        uncertainSince = now
    }

    /** Drops an order that was not sent. */
    fun dropUnsent() {
        if (!mayStillArrive) clear()
    }

    /** Takes over the [orders] of former owners. */
    fun inherit(orders: List<PendingOrder>) {
        inherited = orders
    }

    /** Removes inherited orders whose owner can no longer send them. */
    fun release(isHarmless: (PendingOrder) -> Boolean) {
        inherited = inherited.filterNot(isHarmless)
    }
}

/** Whether [order] was written by a process that has ended, because its VM runs a later [incarnation]. */
internal fun isFromEarlierProcess(order: PendingOrder, vm: VmId, incarnation: Incarnation): Boolean =
    order.vm == vm && order.incarnation < incarnation
