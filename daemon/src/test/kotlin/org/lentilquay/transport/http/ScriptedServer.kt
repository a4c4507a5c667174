/*
 * HTTP server for tests that sends exact bytes and can close a connection at any point, which a regular HTTP server
 * does not do.
 */
package org.lentilquay.transport.http

import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A received request. */
class ReceivedRequest(val head: String, val body: String)

/** Runs [script] for the first request of each connection and then closes the connection. */
class ScriptedServer(private val script: (ReceivedRequest, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 1_024, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${listener.localPort}"
    val requests = CopyOnWriteArrayList<ReceivedRequest>()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return)
        val length = Regex("(?i)content-length: (\\d+)").find(head)?.groupValues?.get(1)?.toInt() ?: 0
        val request = ReceivedRequest(head.toString(), input.readNBytes(length).decodeToString())
        requests += request
        script(request, socket)
    }
}

/** Writes [text] with CRLF line breaks. */
fun Socket.write(text: String) = getOutputStream().run {
    write(text.replace("\n", "\r\n").encodeToByteArray())
    flush()
}

/** Writes a complete response. */
fun Socket.answer(status: Int, body: String, headers: String = "") =
    write("HTTP/1.1 $status Status\nContent-Length: ${body.length}\n$headers\n$body")

/** A server that sends the same response to every request. */
fun answering(status: Int, body: String, headers: String = "") =
    ScriptedServer { _, socket -> socket.answer(status, body, headers) }

/** Bound but not listening: connections are refused, and no other process can use the port. */
private val closedSocket = Socket().apply { bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0)) }

/** The address of a port on which nothing listens. */
fun closedAddress(): String = "127.0.0.1:${closedSocket.localPort}"
