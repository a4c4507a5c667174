/*
 * Writes the bytes of an output channel to its socket. Ktor's own writer (3.5.2) repeats a write that takes no bytes
 * without waiting, so one connection whose other side takes no data keeps a thread busy, and with a dispatcher of one
 * thread it stops the input and output of all other connections. This writer waits for the selector instead.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel

private const val WRITE_BLOCK_BYTES = 8_192

/** Opens the output of [socket], which is registered with [selector]. The other side sees its end once it is closed. */
internal fun openOutput(socket: Socket, selector: SelectorManager): ByteWriteChannel {
    val selectable = socket as Selectable
    val output = ByteChannel()
    CoroutineScope(Dispatchers.IO).launch {
        runSuspendCatching { writeAll(output, selectable, selector) }.onFailure { output.cancel(it) }
    }
    return output
}

private suspend fun writeAll(output: ByteChannel, selectable: Selectable, selector: SelectorManager) {
    val channel = selectable.channel as SocketChannel
    val block = ByteArray(WRITE_BLOCK_BYTES)
    var count = output.readAvailable(block)
    while (count >= 0) {
        val bytes = ByteBuffer.wrap(block, 0, count)
        while (bytes.hasRemaining()) {
            if (channel.write(bytes) == 0) {
                selectable.interestOp(SelectInterest.WRITE, true)
                selector.select(selectable, SelectInterest.WRITE)
            }
        }
        count = output.readAvailable(block)
    }
    selectable.interestOp(SelectInterest.WRITE, false)
    if (output.closedCause == null) channel.shutdownOutput()
}
