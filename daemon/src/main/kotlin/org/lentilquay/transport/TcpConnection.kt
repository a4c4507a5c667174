/*
 * A TCP connection over Ktor sockets that closes immediately. Closing a Ktor socket alone first flushes pending output
 * and waits for its reader, so it never completes while the other side takes no data or sends faster than this side
 * reads. Cancelling both channels first closes the connection in every state.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.cancel
import io.ktor.utils.io.discard
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.coroutines.yield
import kotlinx.io.IOException

/** Longest time for which the last bytes of an output wait for the other side to take data. */
private const val FLUSH_MILLIS = 10_000L

/** Bytes of an input that are discarded before other connections have their turn. */
private const val DISCARDED_AT_ONCE = 64L shl 10

/** The bytes that a connection buffers: received ones that were not read, and flushed ones that were not sent. */
internal data class ConnectionBuffers(val receivedBytes: Long, val pendingBytes: Long)

/** An open connection. Both channels have bounded buffers; [onClosed] runs once the socket is closed. */
internal class TcpConnection(
    private val socket: Socket,
    selector: SelectorManager,
    buffers: ConnectionBuffers,
    onClosed: () -> Unit,
) : AutoCloseable {
    val output: ConnectionOutput = openOutput(socket, selector, buffers.pendingBytes)
    val input: TimedInput = openInput(socket, selector, buffers.receivedBytes, output::connectionFailure)

    init {
        socket.socketContext.invokeOnCompletion { onClosed() }
    }

    /**
     * Ends the output, unless bytes have arrived that were not read or some are still to be sent; returns whether it
     * did. Nothing is suspended between the look and the end, so that no other work of this process runs meanwhile.
     */
    fun endOutputIfIdle(): Boolean = input.unreadBytes() == 0L && output.endNow()

    /**
     * Flushes the output and shuts it down, then waits up to [lingerMillis] for the other side to do the same and
     * closes the connection. [close] alone discards data that the other side has not read yet, and closing with unread
     * input resets the connection; so up to [maximumDiscardedBytes] that the other side still sends are read. The other
     * side has [FLUSH_MILLIS] to take the output.
     */
    suspend fun finish(lingerMillis: Long, maximumDiscardedBytes: Long) {
        runSuspendCatching { withTimeoutOrNull(FLUSH_MILLIS) { output.flushAndClose() } }
        runSuspendCatching { withTimeoutOrNull(lingerMillis) { discardInput(maximumDiscardedBytes) } }
        close()
    }

    /** Discards the input to its end; after [maximumBytes], the rest is left to the socket, whose buffer fills up. */
    private suspend fun discardInput(maximumBytes: Long) {
        var remaining = maximumBytes
        while (remaining > 0 && !input.isClosedForRead) {
            remaining -= input.discard(minOf(remaining, DISCARDED_AT_ONCE))
            yield()
        }
        if (!input.isClosedForRead) awaitCancellation()
    }

    override fun close() {
        val cause = IOException("connection closed locally")
        input.cancel(cause)
        output.cancel(cause)
        socket.close()
    }
}
