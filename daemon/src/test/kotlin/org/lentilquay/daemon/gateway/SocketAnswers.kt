/*
 * Answers of backend servers over sockets, written part by part, and the bytes that a caller receives in reply.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import org.lentilquay.transport.TcpNetwork
import java.net.ServerSocket
import java.net.Socket

internal const val LAST_CHUNK = "\r\n0\r\n\r\n"

/** Time in which the bytes that were sent before the end of an answer are passed on. */
internal const val ANSWER_PAUSE_MILLIS = 150L

internal enum class Framing { LENGTH, CHUNKED, UNTIL_CLOSE }

internal fun Socket.send(text: String) = getOutputStream().run {
    write(text.encodeToByteArray())
    flush()
}

internal fun Socket.sendHead(id: String, headers: String) =
    send("HTTP/1.1 200 OK\r\nRequest: $id\r\nProof: p\r\n$headers\r\n")

internal fun chunk(text: String) = "${text.length.toString(16)}\r\n$text\r\n"

/** Sends [parts] as one whole answer in [framing], with a pause between two parts. */
internal fun Socket.answer(id: String, framing: Framing, vararg parts: String) {
    sendHead(
        id,
        when (framing) {
            Framing.LENGTH -> "Content-Length: ${parts.sumOf { it.length }}\r\n"
            Framing.CHUNKED -> "Transfer-Encoding: chunked\r\n"
            Framing.UNTIL_CLOSE -> ""
        },
    )
    parts.forEach {
        send(if (framing == Framing.CHUNKED) chunk(it) else it)
        Thread.sleep(ANSWER_PAUSE_MILLIS)
    }
    if (framing == Framing.CHUNKED) send("0\r\n\r\n")
    if (framing == Framing.UNTIL_CLOSE) shutdownOutput()
}

/**
 * Sends one request over a socket and returns the bytes that the caller receives until the connection closes; [act]
 * runs before the caller takes any data. The VM [isStopping] or the caller asks to close the connection.
 */
internal suspend fun ForwarderFixture.askOverSocket(
    id: String,
    isStopping: Boolean = false,
    act: suspend (GatewayListener) -> Unit = { },
): String {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val port = ServerSocket(0).use { it.localPort }
    val now = { System.nanoTime() / 1_000_000 }
    val listener = GatewayListener(TcpNetwork(), forwarder, { null }, { isStopping }, scope, now)
    listener.start("127.0.0.1:$port")
    try {
        return Socket("127.0.0.1", port).use { socket ->
            socket.soTimeout = 6_000
            socket.send(
                "POST /orders HTTP/1.1\r\nHost: h\r\nRequest: $id\r\nKey: secret\r\nPatience: 4000\r\n" +
                    (if (isStopping) "" else "Connection: close\r\n") + "Content-Length: 2\r\n\r\nhi",
            )
            act(listener)
            receiveAll(socket)
        }
    } finally {
        scope.cancel()
    }
}

/** The bytes until the connection of [socket] is closed or reset. */
private fun receiveAll(socket: Socket): String {
    val received = java.io.ByteArrayOutputStream()
    runCatching { socket.getInputStream().transferTo(received) }
    return received.toString()
}

/** The body of a chunked answer, without the chunk sizes; it may lack its end. */
internal fun bodyOf(answer: String): String =
    answer.substringAfter("\r\n\r\n").replace(Regex("(?:^|\r\n)[0-9a-f]+\r\n"), "").removeSuffix("\r\n")
