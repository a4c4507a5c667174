/*
 * Client side of a connection between VMs: multiplexes calls by a correlation number and passes each answer to the call
 * with the same number. An answer whose call has timed out is counted and dropped. Thread-safe.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest

/** Time for the reader to take frames that have arrived when the timeout of a call has passed. */
private const val ARRIVED_MILLIS = 20L

internal class PeerClientConnection(private val connection: PeerConnection, private val traffic: PeerTrafficRecorder) {
    private val lock = Any()
    private val pending = HashMap<Long, CompletableDeferred<PeerCallResult>>()
    private var lastCorrelation = 0L
    private var isClosed = false

    val isOpen: Boolean get() = synchronized(lock) { !isClosed }

    /** Milliseconds since a frame was received. */
    val receiveIdleMillis: Long get() = connection.receiveIdleMillis

    /** Reads answers until the connection ends. */
    suspend fun run() {
        try {
            connection.run { frame -> receive(frame) }
        } finally {
            close("connection lost")
        }
    }

    /**
     * Sends [request] and waits for its answer until [remainingMillis] have passed. Returns null if the connection
     * closed before the frame was queued.
     */
    suspend fun call(request: PeerRequest, remainingMillis: () -> Long): PeerCallResult? {
        val result = CompletableDeferred<PeerCallResult>()
        val correlation = synchronized(lock) {
            if (isClosed) return null
            (++lastCorrelation).also { pending[it] = result }
        }
        try {
            val frame = PeerFrame(correlation, request = request)
            return when (withTimeoutOrNull(remainingMillis()) { connection.send(frame) }) {
                null -> PeerCallResult.TimedOut
                SendResult.QUEUED -> withTimeoutOrNull(remainingMillis()) { result.await() }
                    ?: arrived(result)
                    ?: PeerCallResult.TimedOut
                SendResult.CLOSED -> null
                SendResult.TOO_LARGE ->
                    PeerCallResult.Unreachable("the encoded request exceeds the maximum frame length", sent = false)
            }
        } finally {
            synchronized(lock) { pending.remove(correlation) }
        }
    }

    /**
     * The result that has arrived at the socket, or null. After a time without processor time, a timer that is due runs
     * before the socket is read.
     */
    private suspend fun arrived(result: CompletableDeferred<PeerCallResult>): PeerCallResult? {
        val hasUnread = connection.unreadBytes > 0
        // The look at the socket can resume the reader, which then takes the bytes before they are counted.
        return withTimeoutOrNull(if (hasUnread) ARRIVED_MILLIS else 1) { result.await() }
    }

    /** Closes the connection if the other side takes no data. */
    fun closeIfStalled() = connection.closeIfStalled()

    /** Closes the connection if it has no pending calls and carried no frame for [idleMillis]. */
    fun closeIfIdle(idleMillis: Long) {
        val isIdle = synchronized(lock) {
            (!isClosed && pending.isEmpty() && connection.unusedMillis >= idleMillis).also { if (it) isClosed = true }
        }
        if (isIdle) connection.close()
    }

    /** Closes the connection and fails all pending calls with [reason]. */
    fun close(reason: String) {
        val interrupted = synchronized(lock) {
            isClosed = true
            pending.values.toList().also { pending.clear() }
        }
        connection.close()
        interrupted.forEach { it.complete(PeerCallResult.Unreachable(reason, sent = true)) }
    }

    private fun receive(frame: PeerFrame) {
        val answer = frame.answer
            ?: throw PeerProtocolException(CutReason.MALFORMED, "received a request where only answers are expected")
        val call = synchronized(lock) { pending.remove(frame.correlation) }
        if (call == null) traffic.lateAnswer() else call.complete(PeerCallResult.Answered(answer))
    }
}
