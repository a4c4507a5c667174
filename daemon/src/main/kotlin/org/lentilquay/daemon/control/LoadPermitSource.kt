/*
 * What the owner of a backend server needs for its orders: permits of the weight store, and the record of orders for
 * servers that ignore fencing numbers.
 */
package org.lentilquay.daemon.control

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.OrderKind
import org.lentilquay.state.ServerId

/** A load for which a permit is sought or held. [id] is never used again: the owner refuses ids that were returned. */
data class LoadAttempt(val id: String, val server: ServerId, val adapter: AdapterVersion)

/** Gives permits to load from the weight store. */
interface LoadPermitSource {
    /** A load of [adapter] on [server] with an id of its own. */
    fun plan(server: ServerId, adapter: AdapterVersion): LoadAttempt

    /** Suspends until [load] may start. */
    suspend fun acquire(load: LoadAttempt, waitingRequests: Int)

    /** Gives the permit back once [load] has ended, or withdraws the request for it. */
    suspend fun release(load: LoadAttempt)
}

/** An order about an adapter. */
data class AdapterOrder(val kind: OrderKind, val adapter: AdapterVersion)

/** Records orders in the ownership record before they are sent. */
interface OrderRecorder {
    /** Whether the order may be sent; for servers that ignore fencing numbers this writes it down first. */
    suspend fun begin(server: BackendServer, order: AdapterOrder): Boolean

    /** The order that [begin] allowed has ended; [isCertain] is false if it may still reach the server. */
    suspend fun finished(server: BackendServer, isCertain: Boolean)
}
