/*
 * The decisions of [IdempotencyDecider] on an attempt at a non-repeatable call, and the results of reads of its record.
 */
package org.lentilquay.coordination.idempotency

import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Failure
import org.lentilquay.state.IdempotencyRecord
import org.lentilquay.state.StoredAnswer
import org.lentilquay.state.VmId

/** The result of a read of the record. A read may be stale, so every write is conditional on the version. */
sealed interface RecordLookup {
    data object Absent : RecordLookup

    data class Found(val record: IdempotencyRecord, val version: Long) : RecordLookup

    data object Unavailable : RecordLookup
}

/** The next step of an attempt. */
sealed interface IdempotencyDecision {
    /** Runs [operations] as one transaction, then calls [IdempotencyDecider.written] with [nonce]. */
    data class Write(val nonce: String, val operations: List<TableOperation>) : IdempotencyDecision

    /** Reads the record after a write with an unknown result, then calls [IdempotencyDecider.readBack] with [nonce]. */
    data class ReadBack(val nonce: String) : IdempotencyDecision

    /** Dispatches the call once, then reports its end under [nonce]. */
    data class Dispatch(val nonce: String) : IdempotencyDecision

    /** Reads the record and calls [IdempotencyDecider.begin] again, after [delayMillis]. */
    data class ReadAgain(val delayMillis: Long) : IdempotencyDecision

    /** Sends `IdempotencyStatus` with [nonce] to [vm], then calls [IdempotencyDecider.peerAnswered]. */
    data class AskVm(val vm: VmId, val nonce: String, val found: RecordLookup.Found) : IdempotencyDecision

    /** Returns the stored answer of the finished call. */
    data class Replay(val answer: StoredAnswer) : IdempotencyDecision

    /** Ends the attempt with [failure], whose kind says whether the call ran. */
    data class Refuse(val failure: Failure) : IdempotencyDecision
}

/** The next step for the record of an attempt that never dispatched. */
sealed interface CleanupStep {
    data class Write(val operations: List<TableOperation>) : CleanupStep

    data object Done : CleanupStep

    /** The table was not available; try again later. */
    data object Later : CleanupStep
}
