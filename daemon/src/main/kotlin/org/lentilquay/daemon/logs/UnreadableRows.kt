/*
 * Log lines for rows of the store that cannot be read. Rows are read again and again, so each text of a row is logged
 * once. Used from any thread.
 */
package org.lentilquay.daemon.logs

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.SerializationException

private val log = KotlinLogging.logger {}

/** Rows whose unreadable text is remembered, so that it is logged once; a bound on memory. */
private const val REMEMBERED_ROWS = 1_000

class UnreadableRows {
    private val texts = LinkedHashMap<String, String>()

    /** Reports that the [text] of [row] cannot be read for [reason]. */
    @Synchronized
    fun report(row: String, text: String, reason: String) {
        if (texts.put(row, text) == text) return
        if (texts.size > REMEMBERED_ROWS) texts.remove(texts.keys.first())
        log.warning("row of the store is not readable", "row" to row, "reason" to reason)
    }

    /** Reports a [fault] of decoding. */
    fun report(row: String, text: String, fault: SerializationException) =
        report(row, text, fault.message?.lineSequence()?.first().orEmpty())
}
