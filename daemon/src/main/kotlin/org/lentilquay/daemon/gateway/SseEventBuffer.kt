/*
 * Splits a stream of server-sent events into whole events as the bytes arrive, and keeps the id of the last one, so
 * that a stream that breaks off can be resumed after it. A line ends with CR, LF or both; an empty line ends an event.
 * Each byte is scanned once, so the work does not grow with the size of an incomplete event.
 */
package org.lentilquay.daemon.gateway

import java.io.ByteArrayOutputStream

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val COLON = ':'.code.toByte()
private const val ID_FIELD = "id:"

/** A longer event ends the stream. Sound events have a few KB at most, and many streams run at the same time. */
private const val MAXIMUM_EVENT_BYTES = 128 shl 10

internal class SseEventBuffer {
    private val incomplete = ByteArrayOutputStream()
    private var isLineStart = true
    private var isAfterCarriageReturn = false

    /** Whether a line that is not empty was received after the last whole event. */
    private var hasLine = false

    /** Whether a line that is neither empty nor a comment was received after the last whole event. */
    private var hasField = false

    /** The id of the last whole event that had one, or null. */
    var lastEventId: String? = null
        private set

    /**
     * Whether the bytes so far end in the middle of an event. Line ends and whole comment lines after the last event
     * belong to no event.
     */
    val isWithinEvent: Boolean get() = hasField || !isLineStart

    /** Whether the incomplete event exceeds the size limit. */
    val isTooLong: Boolean get() = incomplete.size() > MAXIMUM_EVENT_BYTES

    /** Appends [bytes] and returns the events that are complete now, or null if there are none. */
    fun append(bytes: ByteArray): ByteArray? {
        val end = endOfLastEvent(bytes)
        incomplete.write(bytes, 0, end)
        val events = if (end == 0) null else incomplete.toByteArray()
        if (events != null) {
            incomplete.reset()
            updateLastEventId(events)
        }
        incomplete.write(bytes, end, bytes.size - end)
        return events
    }

    /** The bytes after the last whole event, for a stream that ended in order. */
    fun remainder(): ByteArray = incomplete.toByteArray()

    /** The number of [bytes] up to the end of the last event that they complete, or 0. */
    private fun endOfLastEvent(bytes: ByteArray): Int {
        var end = 0
        bytes.forEachIndexed { index, byte ->
            val isSecondOfLineEnd = byte == LINE_FEED && isAfterCarriageReturn
            isAfterCarriageReturn = byte == CARRIAGE_RETURN
            when {
                isSecondOfLineEnd -> if (end == index) end = if (index == 0) 0 else index + 1
                byte == LINE_FEED || byte == CARRIAGE_RETURN -> if (endsEvent()) end = index + 1
                else -> scanLine(byte)
            }
        }
        return end
    }

    /** Ends a line; returns whether it was the empty line that ends an event. */
    private fun endsEvent(): Boolean {
        val isEnd = isLineStart && hasLine
        isLineStart = true
        if (isEnd) {
            hasLine = false
            hasField = false
        }
        return isEnd
    }

    private fun scanLine(byte: Byte) {
        if (isLineStart && byte != COLON) hasField = true
        hasLine = true
        isLineStart = false
    }

    private fun updateLastEventId(events: ByteArray) {
        val line = events.toString(Charsets.ISO_8859_1).lineSequence().lastOrNull { it.startsWith(ID_FIELD) } ?: return
        lastEventId = line.substring(ID_FIELD.length).trim()
    }
}
