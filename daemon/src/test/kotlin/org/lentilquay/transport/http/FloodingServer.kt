/*
 * Server for tests that answers with bytes that do not end, as a backend server in trouble does. What it sends is
 * bounded, so that a client without bounds cannot exhaust the memory of the test process.
 */
package org.lentilquay.transport.http

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** The most that one connection is sent. Socket buffers of the loopback interface take some megabytes of it. */
private const val MAXIMUM_FLOOD_BYTES = 32 shl 20
private const val BLOCK_BYTES = 16_384

/** Sends [start] and then [unit] over and over, and waits until its client closes the connection. */
internal class FloodingServer(
    private val start: String,
    private val unit: String,
    private val maximumBytes: Int = MAXIMUM_FLOOD_BYTES,
) : AutoCloseable {
    private val listener = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    private val closed = CountDownLatch(1)
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use(::serve) }
            }
        }
    }

    /** Whether the client closes the connection within [millis]. */
    fun isClosedWithin(millis: Long): Boolean = closed.await(millis, TimeUnit.MILLISECONDS)

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        try {
            val input = socket.getInputStream().buffered()
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return)
            flood(socket)
            while (input.read() >= 0) Unit
        } catch (_: IOException) {
            // The client has reset the connection.
        }
        closed.countDown()
    }

    private fun flood(socket: Socket) {
        val output = socket.getOutputStream()
        output.write(start.encodeToByteArray())
        val block = unit.repeat(BLOCK_BYTES / unit.length).encodeToByteArray()
        var sent = 0
        while (sent < maximumBytes) {
            output.write(block)
            sent += block.size
        }
    }
}
