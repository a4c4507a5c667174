/*
 * Results of calls to the platform. Results of writes distinguish "certainly no effect" from "outcome unknown": after
 * an unknown outcome, the writer must read the item again before it can decide anything.
 */
package org.lentilquay.transport.platform

/** The result of a table transaction. */
sealed interface TransactResult {
    /** All operations took effect in [era]; [versions] are the new versions of the written keys. */
    data class Committed(val versions: Map<String, Long>, val era: Long? = null) : TransactResult

    /** Nothing took effect, because the versions of [keys] were not the expected ones. */
    data class Conflict(val keys: List<String>) : TransactResult

    /** Nothing took effect: the service was not reached or rejected the request. */
    data class Unavailable(val reason: String) : TransactResult

    /** The request was sent without a usable response; it may have taken effect. */
    data class OutcomeUnknown(val reason: String) : TransactResult

    /**
     * The table service is in [era], not in the one in which the versions of the conditions were read. Equal versions
     * can then belong to other rows, so a transaction that took effect says nothing about the rows that were read.
     */
    data class OtherEra(val era: Long) : TransactResult
}

/** The result of writing or deleting an object. */
sealed interface ObjectWriteResult {
    data object Written : ObjectWriteResult

    /** Nothing took effect. */
    data class Unavailable(val reason: String) : ObjectWriteResult

    /** The request was sent without a usable response; it may have taken effect. */
    data class OutcomeUnknown(val reason: String) : ObjectWriteResult
}

/** The result of a read. The value may be stale. */
sealed interface ReadResult<out T> {
    /** The [value] as of [era]; versions of rows can be compared within one era only. */
    data class Read<T>(val value: T, val era: Long? = null) : ReadResult<T>

    data class Unavailable(val reason: String) : ReadResult<Nothing>
}
