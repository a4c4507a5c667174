/*
 * What the owner of a backend server needs for its orders: permits of the weight store, and the record of orders for
 * servers that ignore fencing numbers.
 */
package org.lentilquay.daemon.control

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.OrderKind
import org.lentilquay.state.ServerId

/** Gives permits to load from the weight store. */
interface LoadPermitSource {
    /** Suspends until [adapter] may be loaded on [server]. */
    suspend fun acquire(server: ServerId, adapter: AdapterVersion, waitingRequests: Int)

    /** Gives the permit back once the load has ended, or withdraws the request for it. */
    suspend fun release(server: ServerId, adapter: AdapterVersion)
}

/** An order about an adapter. */
data class Order(val kind: OrderKind, val adapter: AdapterVersion)

/** Records orders in the ownership record before they are sent. */
interface OrderRecorder {
    /** Whether the order may be sent; for servers that ignore fencing numbers this writes it down first. */
    suspend fun begin(server: BackendServer, order: Order): Boolean

    /** The order that [begin] allowed has ended; [isCertain] is false if it may still reach the server. */
    suspend fun finished(server: BackendServer, isCertain: Boolean)
}
