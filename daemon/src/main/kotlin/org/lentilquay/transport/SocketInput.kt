/*
 * The input of a socket with a small buffer. Ktor's own reader (3.5.2) receives up to 1 MiB for each connection whether
 * anybody reads it or not, so a hundred connections that send without end exhaust the heap of a gateway. Here a socket
 * is read no further than the buffer, and the other side is held up by TCP.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.InternalAPI
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Source
import kotlinx.io.UnsafeIoApi
import kotlinx.io.unsafe.UnsafeBufferOperations
import java.nio.ByteBuffer

/**
 * Opens the input of [socket], which is registered with [selector]. The socket is not read while
 * [maximumReceivedBytes] or more have not been taken. [outputFailure] is the failure of the connection that its output
 * has met.
 */
internal fun openInput(
    socket: Socket,
    selector: SelectorManager,
    maximumReceivedBytes: Long,
    outputFailure: () -> Throwable?,
): TimedInput =
    SocketInput(SocketDirection(socket, selector, SelectInterest.READ), maximumReceivedBytes, outputFailure)
        .also { it.start() }

/** One coroutine receives from the socket, and one at a time reads. */
@OptIn(InternalAPI::class, UnsafeIoApi::class)
private class SocketInput(
    private val socket: SocketDirection,
    private val maximumReceivedBytes: Long,
    private val outputFailure: () -> Throwable?,
) : TimedInput {
    private val lock = Any()

    /** Bytes that the socket has delivered, guarded by [lock]. */
    private val received = Buffer()

    /** Bytes that the reader of this channel can take. */
    private val available = Buffer()

    /** Limits that hold for the reader, the outer ones first. */
    @Volatile
    private var limits = emptyList<InputLimit>()

    override val closedCause: Throwable? get() = socket.failure

    override val isClosedForRead: Boolean
        get() = closedCause != null ||
            (socket.isEnded && available.exhausted() && synchronized(lock) { received.exhausted() })

    override val readBuffer: Source
        get() {
            socket.throwIfFailed()
            if (available.exhausted()) takeReceived()
            return available
        }

    override suspend fun awaitContent(min: Int): Boolean {
        while (true) {
            socket.throwIfFailed()
            val hadEnded = socket.isEnded
            if (available.size < min) takeReceived()
            if (available.size >= min) return true
            if (hadEnded) return false
            awaitBytes()
        }
    }

    override suspend fun <T> within(millis: () -> Long, maximumLateBytes: Long, block: suspend () -> T): T {
        val outer = limits
        limits = outer + InputLimit(millis, maximumLateBytes)
        return try {
            block()
        } finally {
            limits = outer
        }
    }

    override fun reviewLimits() = socket.signalBytes()

    override fun cancel(cause: Throwable?) = socket.fail(cause)

    override fun brokenEnd(): Throwable? = closedCause ?: outputFailure()

    override fun unreadBytes(): Long = synchronized(lock) {
        receiveNow()
        available.size + received.size
    }

    fun start() = socket.launch { receive() }

    /** Receives bytes until the other side has ended its output. */
    private suspend fun receive() {
        while (!socket.isEnded && closedCause == null) {
            val count = synchronized(lock) { readSocket() }
            if (count == 0) {
                socket.awaitSocket()
            } else {
                if (count < 0) socket.isEnded = true
                socket.signalBytes()
                awaitRoom()
            }
        }
    }

    /** Waits for a signal of bytes or the end of a limit; throws if a limit has ended and nothing has arrived. */
    private suspend fun awaitBytes() {
        val limit = limits.minByOrNull { it.remainingMillis() }
        val remainingMillis = limit?.remainingMillis()
        when {
            remainingMillis == null -> socket.awaitBytes()
            remainingMillis > 0 -> withTimeoutOrNull(remainingMillis) { socket.awaitBytes() }
            !hasArrived() -> throw limit.timeout()
        }
    }

    /** Whether bytes, the end of the input or a failure have arrived at the socket. */
    private fun hasArrived(): Boolean = synchronized(lock) {
        receiveNow()
        !received.exhausted()
    } || socket.isEnded || closedCause != null

    /** Receives what the socket has now; a failure is left to the reader. Call it with [lock] held. */
    private fun receiveNow() {
        if (socket.isEnded || closedCause != null || received.size >= maximumReceivedBytes) return
        try {
            if (readSocket() < 0) socket.isEnded = true
        } catch (failure: IOException) {
            socket.fail(failure)
        }
        socket.signalBytes()
    }

    private suspend fun awaitRoom() {
        while (closedCause == null && synchronized(lock) { received.size } >= maximumReceivedBytes) socket.awaitRoom()
    }

    private fun takeReceived() {
        val count = synchronized(lock) { received.size.also { available.write(received, it) } }
        socket.signalRoom()
        limits.forEach { it.taken(count) }
    }

    /** The number of bytes that were read, 0 if there are none now, or -1 at the end of the input. */
    private fun readSocket(): Int {
        var count = 0
        UnsafeBufferOperations.writeToTail(received, 1) { bytes, start, end ->
            count = socket.channel.read(ByteBuffer.wrap(bytes, start, end - start))
            count.coerceAtLeast(0)
        }
        return count
    }
}
