/*
 * The state that an engine reports, the orders to it, and their outcomes.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.gateway.AdapterName

/** A report of an engine. Its figures are a few hundred milliseconds old when it arrives. */
data class EngineReport(
    /** When the process started, in milliseconds since the epoch; null if the engine does not report it. */
    val startedAtEpochMillis: Long?,
    /** The number of orders that the process has accepted. */
    val acceptedOrders: Long,
    /** Whether a base model is being loaded or unloaded. */
    val isModelChanging: Boolean,
    val models: Set<String>,
    /** The ready adapters with their versions. */
    val adapters: Map<AdapterName, Long>,
    /** The adapters whose loads are in progress. */
    val loadingAdapters: Set<AdapterName>,
    /** Requests running, and requests waiting in the engine's own queue. */
    val running: Int,
    val queued: Int,
)

/** An order to an engine. */
sealed interface EngineOrder {
    data class LoadModel(val model: String) : EngineOrder

    /** Loads [adapter], or replaces a loaded version by the newest one. */
    data class LoadAdapter(val adapter: AdapterName) : EngineOrder

    data class UnloadAdapter(val adapter: AdapterName) : EngineOrder
}

/** The outcome of an order. */
enum class OrderOutcome {
    /** The engine accepted the order and is carrying it out. */
    ACCEPTED,

    /** The engine accepted the order, and its state needed no change or changed at once. */
    ALREADY_DONE,

    /** Another order is in progress, or the engine has accepted another number of orders than expected. */
    CONFLICT,

    /** The process at the address is not the ordered server. */
    OTHER_PROCESS,

    /** The engine refused the order for another reason; the order has no effect. */
    REFUSED,

    /** The order was not sent. */
    NOT_SENT,

    /** No answer arrived; the engine may still carry the order out. */
    UNKNOWN,
}
