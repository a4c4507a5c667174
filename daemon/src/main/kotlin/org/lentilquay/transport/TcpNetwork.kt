/*
 * Opens and accepts TCP connections through one Ktor selector. Java defers the closing of a channel that is registered
 * with a selector until the next selection, and a selector that waits for rare events can take very long to get there;
 * until then the other side sees no reset and goes on sending. So every close wakes the selector through a pipe.
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

private const val WAKE_BYTES = 64
private const val THREAD_IDLE_SECONDS = 5L

/** A selector with the connections that are opened or accepted through it. */
internal class TcpNetwork : AutoCloseable {
    private val selector = SelectorManager(selectorThread().asCoroutineDispatcher())
    private val wake = SelectorWaker(selector)

    /** Opens a connection to [address], or returns null if that takes longer than [timeoutMillis]. */
    suspend fun connect(address: IpAddress, timeoutMillis: Long): TcpConnection? {
        var opened: TcpConnection? = null
        val inTime = withTimeoutOrNull(timeoutMillis) {
            val target = InetSocketAddress(address.ip, address.port)
            // Small requests must not wait for the acknowledgement of earlier ones.
            val socket = aSocket(selector).tcp().connect(target) { noDelay = true }
            opened = TcpConnection(socket, wake::wake)
        } != null
        if (!inTime) opened?.close()
        return opened.takeIf { inTime }
    }

    /** Listens at [address]. */
    suspend fun listen(address: IpAddress): ServerSocket =
        aSocket(selector).tcp().bind(InetSocketAddress(address.ip, address.port)) { reuseAddress = true }

    /** The next connection to [listener], which this network opened. */
    suspend fun accept(listener: ServerSocket): TcpConnection = TcpConnection(listener.accept(), wake::wake)

    override fun close() = selector.close()
}

/**
 * A thread for one selector. A selection blocks its thread: on a thread of the shared pool, the work that a selection
 * found would wait in that thread's own queue until another thread takes it over. The thread ends after the selector.
 */
private fun selectorThread(): ExecutorService {
    val factory = ThreadFactory { work -> Thread(work, "network").apply { isDaemon = true } }
    return ThreadPoolExecutor(1, 1, THREAD_IDLE_SECONDS, TimeUnit.SECONDS, LinkedBlockingQueue(), factory)
        .apply { allowCoreThreadTimeOut(true) }
}

/** A pipe whose reading end is registered with the selector. */
private class SelectorWaker(private val selector: SelectorManager) {
    private val pipe = Pipe.open().apply {
        source().configureBlocking(false)
        sink().configureBlocking(false)
    }
    private val source = PipeSource(pipe)

    init {
        // Runs in the thread of the selector when that finds a wake; the thread has no time for queued work.
        selector.launch(Dispatchers.Unconfined) {
            try {
                takeWakes()
            } catch (_: IOException) {
                // Closing the selector ends its selections this way.
            } catch (_: ClosedSelectorException) {
                // The same, if the selector is closed between two selections.
            } finally {
                pipe.sink().close()
                source.close()
            }
        }
    }

    fun wake() {
        try {
            // A full pipe takes no byte, and then wakes the selector anyway.
            pipe.sink().write(ByteBuffer.allocate(1))
        } catch (_: IOException) {
            // The network is closed, and with it the selector.
        }
    }

    private suspend fun takeWakes() {
        val buffer = ByteBuffer.allocate(WAKE_BYTES)
        while (true) {
            selector.select(source, SelectInterest.READ)
            do {
                val taken = pipe.source().read(buffer.clear())
            } while (taken > 0)
        }
    }
}

/** The reading end of [pipe] as Ktor's selector takes it; it is always interested in reading. */
private class PipeSource(private val pipe: Pipe) : Selectable {
    override val suspensions = InterestSuspensionsMap()
    override val channel: SelectableChannel get() = pipe.source()
    override val isClosed: Boolean get() = !channel.isOpen
    override val interestedOps: Int get() = SelectInterest.READ.flag

    override fun interestOp(interest: SelectInterest, state: Boolean) = Unit

    override fun dispose() = close()

    override fun close() = channel.close()
}
