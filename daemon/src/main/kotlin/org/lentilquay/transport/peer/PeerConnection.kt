/*
 * An authenticated connection between two VMs, the same on both sides: a reader that passes frames on, and one writer
 * coroutine that takes encoded frames from a bounded queue and flushes once for all queued frames. Thread-safe.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.MAXIMUM_PEER_FRAME_BYTES
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.runSuspendCatching

private const val WRITE_QUEUE_FRAMES = 256

/** Timeout of writing a batch of frames to the socket. */
private const val WRITE_TIMEOUT_MILLIS = 10_000L

/** Value of the start of a write while no write is in progress. */
private const val NOT_WRITING = Long.MIN_VALUE
private const val NANOS_PER_MILLI = 1_000_000L

/** Result of queueing a frame for sending. */
internal enum class SendResult { QUEUED, CLOSED, TOO_LARGE }

internal class PeerConnection(
    private val connection: TcpConnection,
    val remote: PeerIdentity,
    private val traffic: PeerTrafficRecorder,
) {
    private val queue = Channel<ByteArray>(WRITE_QUEUE_FRAMES)

    @Volatile
    private var lastReceivedNanos = System.nanoTime()

    @Volatile
    private var lastUsedNanos = System.nanoTime()

    @Volatile
    private var writeStartedNanos = NOT_WRITING

    /** Milliseconds since the last frame was received or, if none was, since the connection was opened. */
    val receiveIdleMillis: Long get() = (System.nanoTime() - lastReceivedNanos) / NANOS_PER_MILLI

    /** Number of bytes that have arrived, as the socket says now, and were not read yet. */
    val unreadBytes: Long get() = connection.input.unreadBytes()

    /** Milliseconds since the last frame in either direction. */
    val unusedMillis: Long get() = (System.nanoTime() - lastUsedNanos) / NANOS_PER_MILLI

    /**
     * Closes the connection if the present write has exceeded its timeout. The owner calls this periodically, which
     * costs less than a timer for each write.
     */
    fun closeIfStalled() {
        val started = writeStartedNanos
        if (started != NOT_WRITING && System.nanoTime() - started > WRITE_TIMEOUT_MILLIS * NANOS_PER_MILLI) {
            traffic.cut(CutReason.STALLED)
            close()
        }
    }

    /** Runs reader and writer until the connection is closed, and passes each received frame to [onFrame]. */
    suspend fun run(onFrame: suspend (PeerFrame) -> Unit) {
        try {
            runSuspendCatching {
                // Reader and writer run in the thread that delivers bytes or a frame: a thread switch for each frame
                // would cost more CPU time than handling it.
                withContext(Dispatchers.Unconfined) {
                    launchWriter(this)
                    read(onFrame)
                    cancel()
                }
            }.onFailure { if (it is PeerProtocolException) traffic.cut(it.reason) }
        } finally {
            close()
        }
    }

    /** Queues [frame] for writing; suspends while the queue is full. */
    suspend fun send(frame: PeerFrame): SendResult {
        val bytes = peerCbor.encodeToByteArray(frame)
        if (bytes.size > MAXIMUM_PEER_FRAME_BYTES) return SendResult.TOO_LARGE
        if (runSuspendCatching { queue.send(bytes) }.isFailure) return SendResult.CLOSED
        lastUsedNanos = System.nanoTime()
        traffic.sent(frame.kind, bytes.size + PREFIX_BYTES)
        return SendResult.QUEUED
    }

    /** Closes the connection. Queued frames are dropped. */
    fun close() {
        // Unlike closing the channel, cancelling it also resumes senders that are suspended on a full queue.
        queue.cancel()
        connection.close()
    }

    private suspend fun read(onFrame: suspend (PeerFrame) -> Unit) {
        while (true) {
            val bytes = connection.input.readFrameBytes()
            lastReceivedNanos = System.nanoTime()
            lastUsedNanos = lastReceivedNanos
            val frame = decodeFrame(bytes)
            traffic.received(frame.kind, bytes.size + PREFIX_BYTES)
            onFrame(frame)
        }
    }

    private fun launchWriter(scope: CoroutineScope): Job = scope.launch {
        for (first in queue) {
            writeStartedNanos = System.nanoTime()
            var next: ByteArray? = first
            while (next != null) {
                connection.output.writeFrameBytes(next)
                next = queue.tryReceive().getOrNull()
            }
            connection.output.flush()
            writeStartedNanos = NOT_WRITING
        }
    }
}
