/*
 * What the ownership decider asks its caller to do, and what it reports about writes and orders.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId

/** What a VM knows about the owner named in a record. */
enum class OwnerState {
    ALIVE,
    SUSPECT,
    DEAD,

    /** It announced that it stops. */
    LEFT,

    /** It was on the platform's list and has left it. */
    GONE,
}

/** The next step for one resource. */
sealed interface OwnershipDecision {
    data object Nothing : OwnershipDecision

    /** Reads the ownership record and calls [OwnershipDecider.observe]. */
    data object ReadRecord : OwnershipDecision

    /** Reads the session of [vm] and calls [OwnershipDecider.sessionObserved]. */
    data class ReadSession(val vm: VmId) : OwnershipDecision

    /** Runs [operations] as one transaction and calls [OwnershipDecider.written]. Commit makes this VM the owner. */
    data class Take(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Runs [operations], which only check, and calls [OwnershipDecider.written]. */
    data class Verify(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Removes an ended order from the record: runs [operations] and calls [OwnershipDecider.written]. */
    data class Clear(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Runs [operations] and calls [OwnershipDecider.written]. This VM is not the owner from now on. */
    data class Release(val nonce: String, val operations: List<TableOperation>) : OwnershipDecision

    /** Nothing to do before [atMillis]. */
    data class WaitUntil(val atMillis: Long) : OwnershipDecision
}

/** What a write meant once its result is known. */
enum class WriteEffect {
    NONE,

    /** This VM became the owner, or verified after a doubt that it still is; the waiting time of a new owner starts. */
    OWNER,

    /** The pending order is recorded; the order may be sent after [OwnershipDecider.startSending] agrees. */
    ORDER_RECORDED,

    /** The order must not be sent. */
    ORDER_ABORTED,

    /** Read the record and call [OwnershipDecider.observe]; its effect tells how the write ended. */
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

/** The owner's view of its ownership. */
data class Ownership(
    val fence: Long,
    /** When this VM learned that it is the owner, or verified it again after a doubt. */
    val since: Long,
    /** Set after a pause or a lapsed lease until the record is verified. Orders wait; grants are halved. */
    val isUnconfirmed: Boolean,
)
