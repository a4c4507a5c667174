/*
 * The opening side of a connection between VMs: gives each call a correlation number and passes each answer to the call
 * with the same number. An answer whose call has ended is dropped.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CompletableDeferred
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest

internal class PeerClientConnection(private val connection: PeerConnection, private val traffic: PeerTrafficRecorder) {
    private val lock = Any()
    private val pending = HashMap<Long, CompletableDeferred<PeerCallResult>>()
    private var lastCorrelation = 0L
    private var isClosed = false

    val isOpen: Boolean get() = synchronized(lock) { !isClosed }
    val silentMillis: Long get() = connection.silentMillis

    /** Reads answers until the connection ends. */
    suspend fun run() {
        try {
            connection.run { frame -> receive(frame) }
        } finally {
            close("connection lost")
        }
    }

    /** Sends [request] and waits for its answer, or returns null if the connection closed before it took the frame. */
    suspend fun call(request: PeerRequest): PeerCallResult? {
        val result = CompletableDeferred<PeerCallResult>()
        val correlation = synchronized(lock) {
            if (isClosed) return null
            (++lastCorrelation).also { pending[it] = result }
        }
        try {
            return when (connection.send(PeerFrame(correlation, request = request))) {
                SendResult.QUEUED -> result.await()
                SendResult.CLOSED -> null
                SendResult.TOO_LARGE -> PeerCallResult.Unreachable("the request is longer than a frame", sent = false)
            }
        } finally {
            synchronized(lock) { pending.remove(correlation) }
        }
    }

    fun closeIfStalled() = connection.closeIfStalled()

    /** Closes the connection if it has no calls and was not used for [idleMillis]. */
    fun closeIfIdle(idleMillis: Long) {
        val closes = synchronized(lock) {
            (!isClosed && pending.isEmpty() && connection.unusedMillis >= idleMillis).also { if (it) isClosed = true }
        }
        if (closes) connection.close()
    }

    /** Ends the connection and, with [reason], all its calls. */
    fun close(reason: String) {
        val cut = synchronized(lock) {
            isClosed = true
            pending.values.toList().also { pending.clear() }
        }
        connection.close()
        cut.forEach { it.complete(PeerCallResult.Unreachable(reason, sent = true)) }
    }

    private fun receive(frame: PeerFrame) {
        val answer = frame.answer
            ?: throw PeerProtocolException(CutReason.MALFORMED, "request on a connection for answers")
        val call = synchronized(lock) { pending.remove(frame.correlation) }
        if (call == null) traffic.lateAnswer() else call.complete(PeerCallResult.Answered(answer))
    }
}
