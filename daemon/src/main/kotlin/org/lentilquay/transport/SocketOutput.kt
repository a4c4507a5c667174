/*
 * The output of a socket with a bounded buffer. Ktor's own writer (3.5.2) repeats a write that takes no bytes without
 * waiting, so one connection whose other side takes no data keeps a thread busy, and with a dispatcher of one thread it
 * stops the input and output of all other connections. This writer waits for the selector instead. A flush waits while
 * the buffer is full.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Sink
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Bytes that are handed to an output at once, so that a long message waits for its connection and not in memory. */
private const val BLOCK_BYTES = 64 shl 10

/**
 * Opens the output of [socket], which is registered with [selector]. A flush waits while [maximumPendingBytes] or more
 * are not written yet. The other side sees the end of the output once it is closed.
 */
internal fun openOutput(socket: Socket, selector: SelectorManager, maximumPendingBytes: Long): ByteWriteChannel {
    val output = SocketOutput(socket as Selectable, selector, maximumPendingBytes)
    CoroutineScope(Dispatchers.IO).launch {
        runSuspendCatching { output.send() }.onFailure { output.cancel(it) }
    }
    return output
}

/** One coroutine runs [send], and one at a time writes. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketOutput(
    private val socket: Selectable,
    private val selector: SelectorManager,
    private val maximumPendingBytes: Long,
) : ByteWriteChannel {
    private val lock = Any()

    /** Bytes that are flushed and not written to the socket, guarded by [lock]. */
    private val pending = Buffer()
    private val unflushed = Buffer()
    private val hasBytes = Channel<Unit>(Channel.CONFLATED)
    private val hasRoom = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var isEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    override val isClosedForWrite: Boolean get() = isEnded || closedCause != null

    override val writeBuffer: Sink
        get() {
            closedCause?.let { throw it }
            if (isEnded) throw IOException("the output is closed")
            return unflushed
        }

    override suspend fun flush() {
        closedCause?.let { throw it }
        synchronized(lock) { pending.write(unflushed, unflushed.size) }
        hasBytes.trySend(Unit)
        while (closedCause == null && synchronized(lock) { pending.size } >= maximumPendingBytes) {
            hasRoom.receiveCatching()
        }
        closedCause?.let { throw it }
    }

    /** Waits until the socket has taken all bytes or has failed, so that closing it afterwards drops none of them. */
    override suspend fun flushAndClose() {
        synchronized(lock) { pending.write(unflushed, unflushed.size) }
        isEnded = true
        hasBytes.trySend(Unit)
        do {
            val isSent = hasRoom.receiveCatching().isClosed
        } while (!isSent)
    }

    override fun cancel(cause: Throwable?) {
        synchronized(lock) {
            if (closedCause != null) return
            closedCause = cause as? IOException ?: IOException("connection closed", cause)
        }
        closeSignals()
    }

    /** Writes the flushed bytes to the socket until the output is closed. */
    suspend fun send() {
        while (closedCause == null) {
            val isLast = isEnded
            when (synchronized(lock) { writeSocket() }) {
                WriteStep.WRITTEN -> hasRoom.trySend(Unit)
                WriteStep.BLOCKED -> {
                    socket.interestOp(SelectInterest.WRITE, true)
                    selector.select(socket, SelectInterest.WRITE)
                }
                WriteStep.NOTHING_LEFT -> {
                    if (isLast) break
                    hasBytes.receiveCatching()
                }
            }
        }
        if (closedCause == null) (socket.channel as SocketChannel).shutdownOutput()
        closeSignals()
    }

    private fun closeSignals() {
        hasBytes.close()
        hasRoom.close()
    }

    private enum class WriteStep { WRITTEN, BLOCKED, NOTHING_LEFT }

    private fun writeSocket(): WriteStep {
        if (pending.exhausted()) return WriteStep.NOTHING_LEFT
        val count = UnsafeBufferOperations.readFromHead(pending) { bytes, start, end ->
            (socket.channel as SocketChannel).write(ByteBuffer.wrap(bytes, start, end - start))
        }
        return if (count == 0) WriteStep.BLOCKED else WriteStep.WRITTEN
    }
}

/** Writes a message of [head] and [body] and flushes it; a long one waits until the other side takes its bytes. */
internal suspend fun ByteWriteChannel.writeMessage(head: ByteArray, body: ByteArray) {
    val first = (BLOCK_BYTES - head.size).coerceIn(0, body.size)
    writeFully(head + body.copyOf(first))
    flush()
    for (start in first until body.size step BLOCK_BYTES) {
        writeFully(body, start, minOf(start + BLOCK_BYTES, body.size))
        flush()
    }
}
