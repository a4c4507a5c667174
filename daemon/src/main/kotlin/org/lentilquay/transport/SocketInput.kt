/*
 * The input of a socket with a small buffer. Ktor's own reader (3.5.2) receives up to 1 MiB for each connection whether
 * anybody reads it or not, so a hundred connections that send without end exhaust the heap of a gateway. Here a socket
 * is read no further than the buffer, and the other side is held up by TCP.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Source
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

/** Received bytes after which the socket is not read until some are taken. */
private const val MAXIMUM_RECEIVED_BYTES = 64L shl 10

/** Opens the input of [socket], which is registered with [selector]. */
internal fun openInput(socket: Socket, selector: SelectorManager): ByteReadChannel {
    val input = SocketInput(socket as Selectable, selector)
    CoroutineScope(Dispatchers.IO).launch {
        runSuspendCatching { input.receive() }.onFailure { input.cancel(it) }
    }
    return input
}

/** One coroutine runs [receive], and one at a time reads. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketInput(private val socket: Selectable, private val selector: SelectorManager) : ByteReadChannel {
    private val lock = Any()

    /** Bytes that the socket has delivered, guarded by [lock]. */
    private val received = Buffer()

    /** Bytes that the reader of this channel can take. */
    private val available = Buffer()
    private val hasArrived = Channel<Unit>(Channel.CONFLATED)
    private val hasRoom = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var isEnded = false

    @Volatile
    override var closedCause: Throwable? = null
        private set

    override val isClosedForRead: Boolean
        get() = closedCause != null || (isEnded && available.exhausted() && synchronized(lock) { received.exhausted() })

    override val readBuffer: Source
        get() {
            closedCause?.let { throw it }
            if (available.exhausted()) takeReceived()
            return available
        }

    override suspend fun awaitContent(min: Int): Boolean {
        while (true) {
            closedCause?.let { throw it }
            val hadEnded = isEnded
            if (available.size < min) takeReceived()
            if (available.size >= min) return true
            if (hadEnded) return false
            hasArrived.receiveCatching()
        }
    }

    override fun cancel(cause: Throwable?) {
        synchronized(lock) {
            if (closedCause != null) return
            closedCause = cause as? IOException ?: IOException("connection closed", cause)
        }
        wakeAll()
    }

    /** Receives bytes until the other side has ended its output. */
    suspend fun receive() {
        socket.interestOp(SelectInterest.READ, false)
        while (closedCause == null) {
            when (val count = synchronized(lock) { readSocket() }) {
                0 -> {
                    socket.interestOp(SelectInterest.READ, true)
                    selector.select(socket, SelectInterest.READ)
                }
                else -> {
                    isEnded = count < 0
                    hasArrived.trySend(Unit)
                }
            }
            if (isEnded) break
            while (closedCause == null && synchronized(lock) { received.size } >= MAXIMUM_RECEIVED_BYTES) {
                hasRoom.receiveCatching()
            }
        }
        wakeAll()
    }

    private fun wakeAll() {
        hasArrived.close()
        hasRoom.close()
    }

    private fun takeReceived() {
        synchronized(lock) { available.write(received, received.size) }
        hasRoom.trySend(Unit)
    }

    /** The number of bytes that were read, 0 if there are none now, or -1 at the end of the input. */
    private fun readSocket(): Int {
        var count = 0
        UnsafeBufferOperations.writeToTail(received, 1) { bytes, start, end ->
            count = (socket.channel as SocketChannel).read(ByteBuffer.wrap(bytes, start, end - start))
            count.coerceAtLeast(0)
        }
        return count
    }
}
