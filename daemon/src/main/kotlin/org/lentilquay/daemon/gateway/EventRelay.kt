/*
 * Passes the events of a stream on as they arrive, whole events only, and remembers the id of the last one, so that a
 * stream that breaks off can go on with the event after it.
 */
package org.lentilquay.daemon.gateway

private const val LINE_FEED = '\n'.code.toByte()
private const val CARRIAGE_RETURN = '\r'.code.toByte()
private const val ID_FIELD = "id:"

/** An event longer than this ends the stream, in bytes. */
private const val MAXIMUM_EVENT_BYTES = 1 shl 20

internal class EventRelay {
    private var rest = ByteArray(0)

    /** The id of the last whole event, or null if there was none with an id. */
    var lastEventId: String? = null
        private set

    /** Whether the bytes so far end within an event. */
    val isWithinEvent: Boolean get() = rest.isNotEmpty()

    val isTooLong: Boolean get() = rest.size > MAXIMUM_EVENT_BYTES

    /** Takes the next [bytes] and returns the whole events that are complete with them, or null if there are none. */
    fun next(bytes: ByteArray): ByteArray? {
        val all = if (rest.isEmpty()) bytes else rest + bytes
        val end = endOfLastEvent(all)
        if (end == 0) {
            rest = all
            return null
        }
        rest = if (end == all.size) ByteArray(0) else all.copyOfRange(end, all.size)
        val events = if (end == all.size) all else all.copyOfRange(0, end)
        noteId(events)
        return events
    }

    /** What is left when the stream has ended in order. */
    fun remainder(): ByteArray = rest

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

    private fun noteId(events: ByteArray) {
        val text = events.toString(Charsets.ISO_8859_1)
        val last = text.lastIndexOf("\n$ID_FIELD") + 1
        if (!text.startsWith(ID_FIELD, last)) return
        lastEventId = text.substring(last + ID_FIELD.length).lineSequence().first().trim()
    }
}
