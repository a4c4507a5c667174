/*
 * Divides the memory for request bodies among the requests that are arriving or being handled. A body takes memory in
 * step with its arrival, whatever length it announces. Short and long bodies have parts of their own. While a part is
 * used up, its bodies wait: the shorter ones go on first, those of unknown length last, and earlier ones before later
 * ones. One long body at a time may use a reserve, so that bodies that have each arrived in part do not wait for each
 * other. While others wait, a body whose caller has fallen silent or is very slow gives way.
 *
 * Times are monotonic milliseconds. Not thread-safe.
 */
package org.lentilquay.coordination.callers

/** Length up to which a body counts as short, in bytes. One of unknown length is short until it exceeds this. */
const val SHORT_BODY_BYTES: Int = 32 shl 10

/** A body that has not grown for this time gives way to those that wait. Callers send a body without pauses. */
private const val SILENT_MILLIS = 1_000L

/** A body that arrives more slowly than this over [SLOW_MILLIS] gives way to those that wait, in bytes per second. */
private const val SLOWEST_BYTES_PER_SECOND = 64L shl 10
private const val SLOW_MILLIS = 2_000L
private const val MILLIS_PER_SECOND = 1_000L

/** The shares of short bodies and of long ones; the rest is the reserve. */
private const val SHORT_SHARE = 0.25
private const val LONG_SHARE = 0.5

class ArrivingBodies(maximumBytes: Long) {
    /** The memory of short or of long bodies. */
    private class Part(val maximumBytes: Long) {
        var usedBytes = 0L
        val bodies = LinkedHashSet<Body>()
        val waiting = LinkedHashSet<Body>()
    }

    private val short = Part((maximumBytes * SHORT_SHARE).toLong())
    private val long = Part((maximumBytes * LONG_SHARE).toLong())
    private val reserveBytes = maximumBytes - short.maximumBytes - long.maximumBytes
    private val order = compareBy<Body>({ it.length ?: Long.MAX_VALUE }, { it.startedAt })

    /** The long body that may use the reserve. */
    private var reserveOwner: Body? = null

    /** The bodies that wait for memory, in the order in which they may go on. */
    val waiting: List<Body>
        get() = if (short.waiting.isEmpty() && long.waiting.isEmpty()) {
            emptyList()
        } else {
            (short.waiting + long.waiting).sortedWith(order)
        }

    /** Lets [body] grow by [bytes] if there is memory; otherwise it waits, and must ask again. */
    fun tryGrow(body: Body, bytes: Long, now: Long): Boolean {
        body.arrivedAt = now
        val parts = partsFor(body, bytes)
        val part = parts.firstOrNull { hasRoom(it, body, addedBytes(it, body, bytes)) }
        if (part == null) {
            if (parts.first().waiting.add(body)) body.waitingSince = now
            return false
        }
        if (short.waiting.remove(body) || long.waiting.remove(body)) body.waitedMillis += now - body.waitingSince
        part.usedBytes += addedBytes(part, body, bytes)
        if (part.bodies.add(body) && part == long) leave(short, body)
        body.heldBytes += bytes
        return true
    }

    /** The parts of which [body] can take [bytes], in the order of preference. */
    private fun partsFor(body: Body, bytes: Long): List<Part> = when {
        body.length != null -> listOf(if (body.length <= SHORT_BODY_BYTES) short else long)
        body in long.bodies || body.heldBytes + bytes > SHORT_BODY_BYTES -> listOf(long)
        else -> listOf(short, long)
    }

    private fun addedBytes(part: Part, body: Body, bytes: Long) =
        if (body in part.bodies) bytes else body.heldBytes + bytes

    /** The whole of [body] has arrived; it keeps its memory until its request ends and does not give way any more. */
    fun arrived(body: Body) {
        body.hasArrived = true
        if (reserveOwner == body) reserveOwner = null
    }

    /** Returns the memory of [body]. */
    fun release(body: Body) {
        listOf(short, long).forEach { part ->
            leave(part, body)
            part.waiting -= body
        }
        body.heldBytes = 0
        if (reserveOwner == body) reserveOwner = null
    }

    /** The body that gives way to those that wait for its part, longest silent first; null if there is none. */
    fun giveWay(now: Long): Body? = listOf(short, long).filter { it.waiting.isNotEmpty() }
        .firstNotNullOfOrNull { part -> part.bodies.filter { isStalled(it, now) }.minByOrNull { it.arrivedAt } }
        ?.also { it.hasGivenWay = true }

    private fun isStalled(body: Body, now: Long): Boolean {
        val isWaiting = body in short.waiting || body in long.waiting
        if (body.hasArrived || body.hasGivenWay || isWaiting) return false
        val millis = now - body.startedAt - body.waitedMillis
        val isSlow = millis >= SLOW_MILLIS && body.heldBytes * MILLIS_PER_SECOND < millis * SLOWEST_BYTES_PER_SECOND
        return now - body.arrivedAt >= SILENT_MILLIS || isSlow
    }

    private fun hasRoom(part: Part, body: Body, bytes: Long): Boolean {
        val used = part.usedBytes + bytes
        return when {
            used <= part.maximumBytes -> true
            part == short || !ownsReserve(body) -> false
            // A body that is longer than all of the memory can use it alone.
            else -> used <= part.maximumBytes + reserveBytes || part.bodies.all { it == body }
        }
    }

    /** Whether [body] has the reserve; it gets it if nobody has it and no body that waits goes before it. */
    private fun ownsReserve(body: Body): Boolean {
        if (reserveOwner == null && long.waiting.all { order.compare(body, it) <= 0 }) reserveOwner = body
        return reserveOwner == body
    }

    private fun leave(part: Part, body: Body) {
        if (part.bodies.remove(body)) part.usedBytes -= body.heldBytes
    }

    /** The body of one request, which has [length] bytes, or null if it does not say, and began at [startedAt]. */
    class Body(internal val length: Long?, internal val startedAt: Long) {
        /** Memory that this body takes. */
        var heldBytes: Long = 0
            internal set

        /** When it last grew or asked for memory. */
        internal var arrivedAt = startedAt
        internal var waitingSince = 0L
        internal var waitedMillis = 0L
        internal var hasArrived = false

        /** Whether its caller is refused to make room for other bodies. */
        var hasGivenWay: Boolean = false
            internal set
    }
}
