/*
 * The output of a socket with a bounded buffer. Ktor's own writer (3.5.2) repeats a write that takes no bytes without
 * waiting, so one connection whose other side takes no data keeps a thread busy, and with a dispatcher of one thread it
 * stops the input and output of all other connections. This writer waits for the selector instead. A flush waits while
 * the buffer is full.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.writeFully
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Sink
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.nio.ByteBuffer

/** Bytes that are handed to an output at once, so that a long message waits for its connection and not in memory. */
private const val BLOCK_BYTES = 64 shl 10

/**
 * Opens the output of [socket], which is registered with [selector]. A flush waits while [maximumPendingBytes] or more
 * are not written yet. The other side sees the end of the output once it is closed.
 */
internal fun openOutput(socket: Socket, selector: SelectorManager, maximumPendingBytes: Long): ConnectionOutput =
    SocketOutput(SocketDirection(socket, selector, SelectInterest.WRITE), maximumPendingBytes).also { it.start() }

/** The output of a connection. */
internal interface ConnectionOutput : ByteWriteChannel {
    /** Ends the output in the calling thread unless bytes are still to be sent; returns whether it did. */
    fun endNow(): Boolean

    /** The failure of the connection that a write has met, also one in progress; null if there is none. */
    fun connectionFailure(): IOException?
}

/** One coroutine sends to the socket, and one at a time writes. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketOutput(
    private val socket: SocketDirection,
    private val maximumPendingBytes: Long,
) : ConnectionOutput {
    private val lock = Any()

    /** Bytes that are flushed and not written to the socket, guarded by [lock]. */
    private val pending = Buffer()
    private val unflushed = Buffer()

    override val closedCause: Throwable? get() = socket.failure

    override val isClosedForWrite: Boolean get() = socket.isEnded || closedCause != null

    override val writeBuffer: Sink
        get() {
            socket.throwIfFailed()
            if (socket.isEnded) throw IOException("the output is closed")
            return unflushed
        }

    override suspend fun flush() {
        socket.throwIfFailed()
        addPending()
        while (closedCause == null && synchronized(lock) { pending.size } >= maximumPendingBytes) socket.awaitRoom()
        socket.throwIfFailed()
    }

    /** Waits until the socket has taken all bytes or has failed, so that closing it afterwards drops none of them. */
    override suspend fun flushAndClose() {
        addPending()
        socket.isEnded = true
        socket.signalBytes()
        while (socket.awaitRoom()) Unit
    }

    override fun endNow(): Boolean {
        if (closedCause != null) return false
        synchronized(lock) {
            if (!pending.exhausted()) return false
            socket.isEnded = true
            try {
                socket.channel.shutdownOutput()
            } catch (failure: IOException) {
                socket.fail(failure)
            }
        }
        socket.signalBytes()
        return closedCause == null
    }

    override fun connectionFailure(): IOException? = synchronized(lock) { socket.socketFailure }

    override fun cancel(cause: Throwable?) = socket.fail(cause)

    fun start() = socket.launch { send() }

    private fun addPending() {
        synchronized(lock) { pending.write(unflushed, unflushed.size) }
        socket.signalBytes()
    }

    /** Writes the flushed bytes to the socket until the output is closed. */
    private suspend fun send() {
        while (closedCause == null) {
            val isLast = socket.isEnded
            when (synchronized(lock) { socket.recordingFailure { writeSocket() } }) {
                WriteStep.WRITTEN -> socket.signalRoom()
                WriteStep.BLOCKED -> socket.awaitSocket()
                WriteStep.NOTHING_LEFT -> if (isLast) break else socket.awaitBytes()
            }
        }
        if (closedCause == null) socket.channel.shutdownOutput()
    }

    private enum class WriteStep { WRITTEN, BLOCKED, NOTHING_LEFT }

    private fun writeSocket(): WriteStep {
        if (pending.exhausted()) return WriteStep.NOTHING_LEFT
        val count = UnsafeBufferOperations.readFromHead(pending) { bytes, start, end ->
            socket.channel.write(ByteBuffer.wrap(bytes, start, end - start))
        }
        return if (count == 0) WriteStep.BLOCKED else WriteStep.WRITTEN
    }
}

/** Writes a message of [head] and [body] and flushes it; a long one waits until the other side takes its bytes. */
internal suspend fun ByteWriteChannel.writeMessage(head: ByteArray, body: ByteArray) {
    writeFully(head)
    for (start in body.indices step BLOCK_BYTES) {
        if (start > 0) flush()
        writeFully(body, start, minOf(start + BLOCK_BYTES, body.size))
    }
    flush()
}
