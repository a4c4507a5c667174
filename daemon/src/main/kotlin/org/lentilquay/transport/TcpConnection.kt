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
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** Longest time for which the last bytes of an output wait for the other side to take data. */
private const val FLUSH_MILLIS = 10_000L

/** An open connection. Both channels have bounded buffers; [onClosed] runs once the socket is closed. */
internal class TcpConnection(
    private val socket: Socket,
    selector: SelectorManager,
    maximumPendingBytes: Long,
    onClosed: () -> Unit,
) : AutoCloseable {
    val output: ConnectionOutput = openOutput(socket, selector, maximumPendingBytes)
    val input: TimedInput = openInput(socket, selector, output::connectionFailure)

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
     * closes the connection. [close] alone discards data that the other side has not read yet. The other side has
     * [FLUSH_MILLIS] to take the output.
     */
    suspend fun finish(lingerMillis: Long) {
        runSuspendCatching { withTimeoutOrNull(FLUSH_MILLIS) { output.flushAndClose() } }
        runSuspendCatching { withTimeoutOrNull(lingerMillis) { while (input.awaitContent()) input.discard() } }
        close()
    }

    override fun close() {
        val cause = IOException("connection closed locally")
        input.cancel(cause)
        output.cancel(cause)
        socket.close()
    }
}
