/*
 * The decisions of [OwnershipDecider] for its caller, and its results for writes and orders. Times are monotonic
 * milliseconds.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId

/** The state of the owner named in an ownership record, as another VM sees it. */
enum class OwnerState {
    ALIVE,
    SUSPECT,
    DEAD,

    /** The owner has announced its planned stop. */
    LEFT,

    /** The owner has left the platform's VM list, so its process is permanently gone. */
    GONE,
}

/** The next step for one resource. */
sealed interface OwnershipDecision {
    data object Nothing : OwnershipDecision

    /** Reads the ownership record and calls [OwnershipDecider.observe]. */
    data object ReadRecord : OwnershipDecision

    /** Reads the session of [vm] and calls [OwnershipDecider.sessionObserved]. */
    data class ReadSession(val vm: VmId) : OwnershipDecision

    /** Runs [operations] as one transaction and calls [OwnershipDecider.written]. A commit makes this VM the owner. */
    data class Take(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Verifies unconfirmed ownership: runs [operations], which only check, and calls [OwnershipDecider.written]. */
    data class Verify(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Removes a finished order from the record: runs [operations] and calls [OwnershipDecider.written]. */
    data class Clear(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Ends the ownership of this VM at once: runs [operations] and calls [OwnershipDecider.written]. */
    data class Release(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Nothing to do before [atMillis]. */
    data class WaitUntil(val atMillis: Long) : OwnershipDecision
}

/** The effect of a write, once its result is known. */
enum class WriteEffect {
    NONE,

    /** This VM became the owner or has verified its ownership; the takeover wait of a new owner starts. */
    OWNER,

    /** The pending order is recorded; the order may be sent after [OwnershipDecider.startSending] agrees. */
    ORDER_RECORDED,

    /** The order must not be sent. */
    ORDER_ABORTED,

    /** The result is unknown: read the record and call [OwnershipDecider.observe], which returns the effect. */
    READ_BACK,
}

/** Whether an order may be sent to the backend server. */
sealed interface OrderStep {
    /** The server checks fencing numbers: send at once with [fence]. */
    data class Send(val fence: Long) : OrderStep

    /** Records the order first: run [operations] and call [OwnershipDecider.written]. */
    data class Write(val nonce: String, val operations: List<TableOperation>) : OrderStep

    /** The order is not allowed now; [reason] is for the log. */
    data class Refused(val reason: String) : OrderStep
}

/** The ownership of this VM. */
data class Ownership(
    val fence: Long,
    /** When this VM became the owner or last verified its ownership. */
    val since: Long,
    /** Set after a pause or an expired lease until the record is verified. Orders wait and grants are halved. */
    val isUnconfirmed: Boolean,
)
