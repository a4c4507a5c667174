/*
 * Logs rows of the table service that cannot be decoded. Rows are read repeatedly, so each distinct text of a row is
 * logged only once. Safe for use from any thread.
 */
package org.lentilquay.daemon.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException

private val log = KotlinLogging.logger {}

/** Rows whose last undecodable text is kept for comparison; bounds the memory used. */
private const val MAXIMUM_REMEMBERED_ROWS = 1_000

/** Longest part of a key or a reason in a log line; both may come from another writer. */
private const val MAXIMUM_LOGGED_LENGTH = 200

class UnreadableRows {
    /** The length and the hash of the texts, which may be long. */
    private val textByRow = LinkedHashMap<String, Pair<Int, Int>>()

    /** Logs that the [text] of [row] cannot be decoded, for [reason], unless the same text was logged before. */
    @Synchronized
    fun report(row: String, text: String, reason: String) {
        val seen = text.length to text.hashCode()
        if (textByRow.put(row, seen) == seen) return
        if (textByRow.size > MAXIMUM_REMEMBERED_ROWS) textByRow.remove(textByRow.keys.first())
        log.warning(
            "row of the table service cannot be decoded",
            "row" to row.take(MAXIMUM_LOGGED_LENGTH),
            "reason" to reason.take(MAXIMUM_LOGGED_LENGTH),
        )
    }

    /** Logs that decoding the [text] of [row] failed with [exception]. */
    fun report(row: String, text: String, exception: SerializationException) =
        report(row, text, exception.message?.lineSequence()?.first().orEmpty())
}
