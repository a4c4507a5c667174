/*
 * The table record of one non-repeatable call, kept under `idempotency/<team>/<route>/<key>` as JSON. A record is
 * written before the call is dispatched, and closed when its result is known. Docs: docs/design.md, section 4.7.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** How far the call of a record has come. */
@Serializable
enum class IdempotencyState {
    /** The call may have been dispatched. */
    STARTED,

    /** The call ran and its answer is known. */
    FINISHED,

    /**
     * The call did not run, so the next attempt may replace the record. Such a record is not deleted at once, because
     * the versions of a deleted key start again at 1: a late duplicate of the delete would then remove a newer record.
     */
    ABANDONED,
}

/** An answer that is returned again to duplicates. One of [bodyBase64] and [objectName] is set, or none if empty. */
@Serializable
data class StoredAnswer(
    val status: Int,
    val contentType: String? = null,
    val bodyBase64: String? = null,
    /** The object that holds a body over [MAXIMUM_INLINE_ANSWER_BYTES]. */
    val objectName: String? = null,
)

/** The largest answer body, in bytes, that is kept in the record itself. */
const val MAXIMUM_INLINE_ANSWER_BYTES: Int = 32 * 1024

@Serializable
data class IdempotencyRecord(
    val state: IdempotencyState,
    /** SHA-256 of the body, in hexadecimal. */
    val fingerprint: String,
    val vm: VmId,
    val incarnation: Incarnation,
    /** Identifies the attempt that wrote the record. */
    val nonce: String,
    val answer: StoredAnswer? = null,
    /** Wall-clock time of the end in milliseconds since 1970, used only to expire the record. */
    val endedAtEpochMillis: Long? = null,
)
