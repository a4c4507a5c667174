/*
 * Bounds the connections of callers, and decides which one is closed for a new one when there are as many as are
 * allowed. A connection whose request is being handled is never closed: its server may be at work.
 */
package org.lentilquay.coordination.callers

/** Time in which a caller is expected to send its request, or a further part of it. */
private const val SENDING_MILLIS = 1_000L

/** Descriptors of a process that are not sockets: its files, and those of the JVM. */
private const val FILE_DESCRIPTORS = 200

/** The share of the sockets for callers; the others lead to backend servers, other VMs and the platform. */
private const val CALLER_SOCKETS_SHARE = 2.0 / 3.0

/** The share of the heap for connections of callers, and the most that one holds: its buffers and the head it sends. */
private const val HEAP_SHARE = 0.4
private const val CONNECTION_BYTES = 24L shl 10

/** A process with very few descriptors still serves this many connections. */
private const val FEWEST_CONNECTIONS = 16

/** What happens on a connection; the first stages are given up first. */
enum class ConnectionStage {
    /** The last response has been written, and the caller has not closed the connection yet. */
    ENDING,

    /** No request has begun to arrive. */
    IDLE,
    READING_HEAD,
    READING_BODY,

    /** A part of the body has arrived and waits for memory, for a limited time. */
    WAITING_FOR_MEMORY,
    HANDLING,
}

/**
 * The [stage] of a connection, and when it began or the caller last sent a part of its body, in monotonic milliseconds.
 */
data class ConnectionState(val stage: ConnectionStage, val since: Long)

/** How a process with as many connections as it may have makes room for a new one. */
sealed interface RoomDecision<out T> {
    data class Close<T>(val connection: T) : RoomDecision<T>

    /** Connections whose callers may still be sending become free, or can be closed, within a second. */
    data object Wait : RoomDecision<Nothing>

    /** All connections have requests in progress. */
    data object Refuse : RoomDecision<Nothing>
}

/**
 * Decides at [now] which of [connections] is closed: the first stage goes first, and the longest in it. Each has a
 * second to send something, or a flood of new connections would close those of ordinary callers before they are read.
 */
fun <T> roomForConnection(connections: Iterable<T>, now: Long, stateOf: (T) -> ConnectionState): RoomDecision<T> {
    val open = connections.map { it to stateOf(it) }.filter { (_, state) -> state.stage != ConnectionStage.HANDLING }
    if (open.isEmpty()) return RoomDecision.Refuse
    return open.filter { (_, state) -> state.stage != ConnectionStage.WAITING_FOR_MEMORY }
        .filter { (_, state) -> now - state.since >= SENDING_MILLIS }
        .minWithOrNull(compareBy({ (_, state) -> state.stage }, { (_, state) -> state.since }))
        ?.let { (connection, _) -> RoomDecision.Close(connection) }
        ?: RoomDecision.Wait
}

/** The most connections of callers for a process with [descriptors] and a heap of [heapBytes]. */
fun maximumCallerConnections(descriptors: Int, heapBytes: Long): Int {
    val sockets = ((descriptors - FILE_DESCRIPTORS) * CALLER_SOCKETS_SHARE).toInt()
    val held = (heapBytes * HEAP_SHARE / CONNECTION_BYTES).toLong()
    return minOf(sockets.toLong(), held).toInt().coerceAtLeast(FEWEST_CONNECTIONS)
}
