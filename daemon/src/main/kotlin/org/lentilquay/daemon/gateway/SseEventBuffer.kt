/*
 * Splits a stream of server-sent events into whole events as the bytes arrive, and keeps the id of the last one, so
 * that a stream that breaks off can be resumed after it.
 */
package org.lentilquay.daemon.gateway

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** A longer event ends the stream. */
private const val MAXIMUM_EVENT_BYTES = 1 shl 20

internal class SseEventBuffer {
    private var incomplete = ByteArray(0)

    /** The id of the last whole event that had one, or null. */
    var lastEventId: String? = null
        private set

    /** Whether the bytes so far end in the middle of an event. */
    val isWithinEvent: Boolean get() = incomplete.isNotEmpty()

    /** Whether the incomplete event exceeds the size limit. */
    val isTooLong: Boolean get() = incomplete.size > MAXIMUM_EVENT_BYTES

    /** Appends [bytes] and returns the events that are complete now, or null if there are none. */
    fun append(bytes: ByteArray): ByteArray? {
        val all = if (incomplete.isEmpty()) bytes else incomplete + bytes
        val end = endOfLastEvent(all)
        if (end == 0) {
            incomplete = all
            return null
        }
        incomplete = if (end == all.size) ByteArray(0) else all.copyOfRange(end, all.size)
        val events = if (end == all.size) all else all.copyOfRange(0, end)
        updateLastEventId(events)
        return events
    }

    /** The bytes after the last whole event, for a stream that ended in order. */
    fun remainder(): ByteArray = incomplete

    private fun endOfLastEvent(bytes: ByteArray): Int {
        var index = bytes.size - 1
        while (index > 0) {
            if (bytes[index] == LINE_FEED && isEmptyLineBefore(bytes, index)) return index + 1
            index--
        }
        return 0
    }

    private fun isEmptyLineBefore(bytes: ByteArray, end: Int): Boolean {
        if (bytes[end - 1] == LINE_FEED) return true
        return end >= 2 && bytes[end - 1] == CARRIAGE_RETURN && bytes[end - 2] == LINE_FEED
    }

    private fun updateLastEventId(events: ByteArray) {
        val text = events.toString(Charsets.ISO_8859_1)
        val last = text.lastIndexOf("\n$ID_FIELD") + 1
        if (!text.startsWith(ID_FIELD, last)) return
        lastEventId = text.substring(last + ID_FIELD.length).lineSequence().first().trim()
    }
}
