/*
 * A TCP connection over Ktor sockets whose closing takes effect at once. Closing a Ktor socket alone first flushes what
 * is to be written and waits for its reader, so it never ends while the other side takes no data or sends faster than
 * this side reads. Cancelling both channels first releases the connection in every state.
 */
package org.lentilquay.transport

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.cancel
import io.ktor.utils.io.discard
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException

/** An open connection. Both channels have bounded buffers. */
internal class TcpConnection(private val socket: Socket, onClosed: () -> Unit) : AutoCloseable {
    val input: ByteReadChannel = socket.openReadChannel()
    val output: ByteWriteChannel = socket.openWriteChannel()

    init {
        socket.socketContext.invokeOnCompletion { onClosed() }
    }

    /**
     * Sends what was written and ends this side, then waits up to [lingerMillis] for the other side to do the same. A
     * connection that is closed without this loses what the other side has not read yet.
     */
    suspend fun finish(lingerMillis: Long) {
        runSuspendCatching { output.flushAndClose() }
        runSuspendCatching { withTimeoutOrNull(lingerMillis) { while (input.awaitContent()) input.discard() } }
        close()
    }

    override fun close() {
        val cause = IOException("connection closed on this side")
        input.cancel(cause)
        output.cancel(cause)
        socket.close()
    }
}
