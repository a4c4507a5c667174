/*
 * The answer of an engine's controller to a VM that reserves a batch slot before it sends a request.
 */
package org.lentilquay.coordination.gateway

/** The result of a batch slot reservation. */
enum class ReservationResult {
    GRANTED,

    /** All batch slots of the engine are in use. */
    BATCH_FULL,

    /** The engine does not hold the adapter. */
    NOT_HELD,
}
