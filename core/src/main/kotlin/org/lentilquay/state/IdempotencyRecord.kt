/*
 * The record of one non-repeatable call, stored as JSON in the table service under `idempotency/<team>/<route>/<key>`.
 * It is written before the call is dispatched and completed when its result is known. Docs: docs/design.md, section
 * 4.7.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** The progress of a recorded call. */
@Serializable
enum class IdempotencyState {
    /** The call may have been dispatched. */
    STARTED,

    /** The call was executed and its response is known. */
    FINISHED,

    /**
     * The call was not executed, so the next attempt may replace the record. The record is not deleted at once, because
     * the versions of a deleted key restart at 1: a late duplicate of the delete could then remove a newer record.
     */
    ABANDONED,
}

/**
 * A response that is returned to duplicates of the call. Either [bodyBase64] or [objectName] is set; neither is set for
 * an empty body.
 */
@Serializable
data class StoredAnswer(
    val status: Int,
    val contentType: String? = null,
    val bodyBase64: String? = null,
    /** The name of the object that holds a body larger than [MAXIMUM_INLINE_ANSWER_BYTES]. */
    val objectName: String? = null,
)

/** The largest response body, in bytes, that is stored in the record itself. */
const val MAXIMUM_INLINE_ANSWER_BYTES: Int = 32 * 1024

/** [vm] and [incarnation] identify the process that wrote the record and dispatches the call. */
@Serializable
data class IdempotencyRecord(
    val state: IdempotencyState,
    /** SHA-256 of the request body, in hexadecimal, which detects a key that is reused for another request. */
    val fingerprint: String,
    val vm: VmId,
    val incarnation: Incarnation,
    /** Identifies the attempt that wrote the record. */
    val nonce: String,
    val answer: StoredAnswer? = null,
    /** Wall-clock time of completion, in milliseconds since the epoch; used only to expire the record. */
    val endedAtEpochMillis: Long? = null,
)
