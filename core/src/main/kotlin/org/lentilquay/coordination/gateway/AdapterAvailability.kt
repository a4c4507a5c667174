/*
 * What the VM in control of an engine answers to a request for an adapter. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

/** How the wish for an adapter stands. */
sealed interface AdapterAvailability {
    /** Requests can be sent now. */
    data class Ready(val version: Long) : AdapterAvailability

    /** The load is ordered and expected to be done at [readyAt]. */
    data class Loading(val readyAt: Long) : AdapterAvailability

    /** The load waits for its order. */
    data object Waiting : AdapterAvailability

    /** All places are in use. */
    data object Full : AdapterAvailability
}
