/*
 * What an engine says about itself, and what it answers to an order, in the words of the gateway.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.state.gateway.AdapterName

/** A report of an engine. It describes the engine some hundred milliseconds ago. */
data class EngineReport(
    /** When the process started, in milliseconds since the epoch; null if the engine does not tell. */
    val startedAtEpochMillis: Long?,
    /** How many orders the process has accepted. */
    val acceptedOrders: Long,
    /** Whether a base model is being loaded or unloaded. */
    val isModelChanging: Boolean,
    val models: Set<String>,
    /** The adapters that are ready, with their versions. */
    val adapters: Map<AdapterName, Long>,
    /** The adapters that are on their way. */
    val loadingAdapters: Set<AdapterName>,
    val running: Int,
    val queued: Int,
)

/** An order to an engine. */
sealed interface EngineOrder {
    data class LoadModel(val model: String) : EngineOrder

    /** Loads [adapter], or replaces it by its newest version. */
    data class LoadAdapter(val adapter: AdapterName) : EngineOrder

    data class UnloadAdapter(val adapter: AdapterName) : EngineOrder
}

/** How an order ended. */
enum class OrderOutcome {
    /** The engine carries the order out. */
    ACCEPTED,

    /** What was ordered holds already. */
    ALREADY_DONE,

    /** Another order is in progress, or the engine has accepted another number of orders than expected. */
    CONFLICT,

    /** Another process answers at the address. */
    OTHER_PROCESS,

    /** The engine refused the order for another reason; it has no effect. */
    REFUSED,

    /** Nothing was sent. */
    NOT_SENT,

    /** No answer came; the order may still be carried out. */
    UNKNOWN,
}
