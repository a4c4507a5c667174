/*
 * Opens and accepts TCP connections through one Ktor selector. Java defers closing a channel that is registered with a
 * selector until the next selection. A selector without events can block for very long, and until then the other side
 * sees no reset and continues to send. So every close wakes the selector through a pipe.
 */
package org.lentilquay.transport

import io.ktor.network.selector.InterestSuspensionsMap
import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.transport.http.IpAddress
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.ClosedSelectorException
import java.nio.channels.Pipe
import java.nio.channels.SelectableChannel
import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadFactory
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

private const val WAKE_BUFFER_BYTES = 64
private const val THREAD_IDLE_SECONDS = 5L

/** Buffers of a connection opened here: a server may answer a long request before it has read it. */
private val OPENED_BUFFERS = ConnectionBuffers(receivedBytes = 64L shl 10, pendingBytes = 1L shl 20)

/** Buffers of an accepted connection. Many callers can send without end, or take no data, at the same time. */
private val ACCEPTED_BUFFERS = ConnectionBuffers(receivedBytes = 16L shl 10, pendingBytes = 16L shl 10)

/** A selector that connections are opened and accepted through. Closing it does not close open connections. */
internal class TcpNetwork : AutoCloseable {
    private val selector = SelectorManager(selectorThread().asCoroutineDispatcher())
    private val wake = SelectorWaker(selector)

    /** Opens a connection to [address], or returns null if that takes longer than [timeoutMillis]. */
    suspend fun connect(address: IpAddress, timeoutMillis: Long): TcpConnection? {
        var opened: TcpConnection? = null
        val inTime = withTimeoutOrNull(timeoutMillis) {
            val target = InetSocketAddress(address.ip, address.port)
            val socket = aSocket(selector).tcp().connect(target) {
                // Without noDelay, small requests wait for the acknowledgement of earlier ones (Nagle's algorithm).
                noDelay = true
                // Closing resets the connection. After an orderly close, bytes for a server that cannot be reached
                // would be sent again until it can, and an abandoned order could take effect many seconds later.
                lingerSeconds = 0
            }
            opened = TcpConnection(socket, selector, OPENED_BUFFERS, wake::wake)
        } != null
        if (!inTime) opened?.close()
        return opened.takeIf { inTime }
    }

    /** Opens a listening socket at [address]. */
    suspend fun listen(address: IpAddress): ServerSocket =
        aSocket(selector).tcp().bind(InetSocketAddress(address.ip, address.port)) { reuseAddress = true }

    /** Accepts the next connection of [listener], which [listen] returned. */
    suspend fun accept(listener: ServerSocket): TcpConnection =
        TcpConnection(listener.accept(), selector, ACCEPTED_BUFFERS, wake::wake)

    override fun close() = selector.close()
}

/**
 * A dedicated thread for one selector. A selection blocks its thread: on a thread of the shared pool, coroutines that
 * the selection resumes would wait in that thread's local queue until another thread steals them. The thread ends after
 * the selector is closed.
 */
private fun selectorThread(): ExecutorService {
    val factory = ThreadFactory { work -> Thread(work, "network").apply { isDaemon = true } }
    return ThreadPoolExecutor(1, 1, THREAD_IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), factory)
        .apply { allowCoreThreadTimeOut(true) }
}

/** Wakes the selector by writing to a pipe whose reading end is registered with it. */
private class SelectorWaker(private val selector: SelectorManager) {
    private val pipe = Pipe.open().apply {
        source().configureBlocking(false)
        sink().configureBlocking(false)
    }
    private val source = PipeSource(pipe)

    init {
        // Unconfined, so that it runs in the selector's thread, which executes no queued coroutines.
        selector.launch(Dispatchers.Unconfined) {
            try {
                drainPipe()
            } catch (_: IOException) {
                // Closing the selector fails its pending selections.
            } catch (_: ClosedSelectorException) {
                // The selector was closed between two selections.
            } finally {
                pipe.sink().close()
                source.close()
            }
        }
    }

    fun wake() {
        try {
            // If the pipe is full, nothing is written, but the bytes in it wake the selector.
            pipe.sink().write(ByteBuffer.allocate(1))
        } catch (_: IOException) {
            // The selector is closed already.
        }
    }

    private suspend fun drainPipe() {
        val buffer = ByteBuffer.allocate(WAKE_BUFFER_BYTES)
        while (true) {
            selector.select(source, SelectInterest.READ)
            do {
                val bytesRead = pipe.source().read(buffer.clear())
            } while (bytesRead > 0)
        }
    }
}

/** Adapts the reading end of [pipe] to Ktor's selector; always interested in reading. */
private class PipeSource(private val pipe: Pipe) : Selectable {
    override val suspensions = InterestSuspensionsMap()
    override val channel: SelectableChannel get() = pipe.source()
    override val isClosed: Boolean get() = !channel.isOpen
    override val interestedOps: Int get() = SelectInterest.READ.flag

    override fun interestOp(interest: SelectInterest, state: Boolean) = Unit

    override fun dispose() = close()

    override fun close() = channel.close()
}
