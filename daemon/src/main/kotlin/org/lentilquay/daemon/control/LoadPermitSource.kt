/*
 * Interfaces that the owner of a backend server needs for its orders: permits to load from the weight store, and the
 * recording of orders to servers that ignore fencing numbers.
 */
package org.lentilquay.daemon.control

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.OrderKind
import org.lentilquay.state.ServerId

/**
 * An attempt to load an adapter, for which a permit is requested or held. [id] is unique: the weight store's owner
 * rejects ids of attempts that have ended.
 */
data class LoadAttempt(val id: String, val server: ServerId, val adapter: AdapterVersion)

/** Grants permits to load from the weight store. */
interface LoadPermitSource {
    /** A new attempt to load [adapter] on [server], with a unique id. */
    fun newAttempt(server: ServerId, adapter: AdapterVersion): LoadAttempt

    /** Suspends until [attempt] may start; [waitingRequests] determines its priority. */
    suspend fun acquire(attempt: LoadAttempt, waitingRequests: Int)

    /** Returns the permit of [attempt], or withdraws the request for it. */
    suspend fun release(attempt: LoadAttempt)
}

/** An order to load or unload an adapter. */
data class AdapterOrder(val kind: OrderKind, val adapter: AdapterVersion)

/** Decides whether orders may be sent, and records them in the ownership record where that is necessary. */
interface OrderRecorder {
    /**
     * Whether the order may be sent; if so, [finished] must be called. For servers that ignore fencing numbers, the
     * order is written to the ownership record first.
     */
    suspend fun begin(server: BackendServer, order: AdapterOrder): Boolean

    /** The order that [begin] allowed has ended; [isCertain] is false if it may still take effect on the server. */
    suspend fun finished(server: BackendServer, isCertain: Boolean)
}
