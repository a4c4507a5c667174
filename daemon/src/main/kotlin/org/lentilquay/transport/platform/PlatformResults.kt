/*
 * What a call to the platform can lead to. Writes separate "certainly no effect" from "outcome unknown", because after
 * an unknown outcome the writer must read back before it may conclude anything.
 */
package org.lentilquay.transport.platform

/** The outcome of a table transaction. */
sealed interface TransactResult {
    /** All operations took effect; [versions] are the new versions of the written keys. */
    data class Committed(val versions: Map<String, Long>) : TransactResult

    /** Nothing took effect, because the versions of [keys] differed. */
    data class Conflict(val keys: List<String>) : TransactResult

    /** Nothing took effect: the service was not reached or refused the request. */
    data class Unavailable(val reason: String) : TransactResult

    /** The request was sent and no usable answer came; it may have taken effect. */
    data class OutcomeUnknown(val reason: String) : TransactResult
}

/** The outcome of writing or deleting an object. */
sealed interface ObjectWriteResult {
    data object Written : ObjectWriteResult

    /** Nothing took effect. */
    data class Unavailable(val reason: String) : ObjectWriteResult

    /** The request was sent and no usable answer came; it may have taken effect. */
    data class OutcomeUnknown(val reason: String) : ObjectWriteResult
}

/** The outcome of a read. The value may be stale. */
sealed interface ReadResult<out T> {
    data class Read<T>(val value: T) : ReadResult<T>

    data class Unavailable(val reason: String) : ReadResult<Nothing>
}
