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

class UnreadableRows {
    private val textByRow = LinkedHashMap<String, String>()

    /** Logs that the [text] of [row] cannot be decoded, for [reason], unless the same text was logged before. */
    @Synchronized
    fun report(row: String, text: String, reason: String) {
        if (textByRow.put(row, text) == text) return
        if (textByRow.size > MAXIMUM_REMEMBERED_ROWS) textByRow.remove(textByRow.keys.first())
        log.warning("row of the table service cannot be decoded", "row" to row, "reason" to reason)
    }

    /** Logs that decoding the [text] of [row] failed with [exception]. */
    fun report(row: String, text: String, exception: SerializationException) =
        report(row, text, exception.message?.lineSequence()?.first().orEmpty())
}
