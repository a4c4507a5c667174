/*
 * What the VM in control of an engine answers to a VM that is about to send a request there.
 */
package org.lentilquay.coordination.gateway

/** The answer to a request that asks whether it may be sent to the engine. */
enum class ReservationResult {
    GRANTED,

    /** As many requests are there as the engine runs at the same time. */
    BATCH_FULL,

    /** The engine does not hold the adapter. */
    NOT_HELD,
}
