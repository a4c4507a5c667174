/*
 * The answer of an engine's controller to a request for an adapter. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

/** Whether requests can use an adapter on the engine. */
sealed interface AdapterAvailability {
    /** Requests can be sent now. */
    data class Ready(val version: Long) : AdapterAvailability

    /** The engine accepted the load, which is expected to be done at [readyAt]. */
    data class Loading(val readyAt: Long) : AdapterAvailability

    /** The adapter is in demand, but its load is not ordered yet. */
    data object Waiting : AdapterAvailability

    /** No batch slot or adapter slot becomes free soon enough; the request should go to another engine. */
    data object Full : AdapterAvailability
}
