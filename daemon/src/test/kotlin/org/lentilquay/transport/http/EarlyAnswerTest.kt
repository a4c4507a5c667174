package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.transport.engine.ServiceCall
import org.lentilquay.transport.engine.ServiceCallResult
import org.lentilquay.transport.engine.ServiceClient
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

/** Which side of the connection notices the reset first varies, so each case is repeated. */
private const val REPETITIONS = 40
private const val TIMEOUT_MILLIS = 4_000L
private const val PART = "part"

/** Longer than the buffers of the connection, so that the upload is still being written when the answer breaks off. */
private const val UPLOAD_BYTES = 6 shl 20
private const val LENGTHS = "Content-Length: 8\n"
private const val CHUNK = "Transfer-Encoding: chunked\n"

/** A server that answers the head of an upload with the [answer], reads no further and resets the connection. */
private class EarlyServer(private val answer: String, private val pauseMillis: Long) : AutoCloseable {
    private val listener = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                thread(isDaemon = true) { runCatching { serve(socket) } }
            }
        }
    }

    private fun serve(socket: Socket) {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) head.append(socket.getInputStream().read().toChar())
        socket.write(answer)
        Thread.sleep(pauseMillis)
        socket.setSoLinger(true, 0)
        socket.close()
    }

    override fun close() = listener.close()
}

private suspend fun pooled(address: String): Boolean {
    val call = HttpCall("POST", "/", body = "x".repeat(UPLOAD_BYTES))
    return PooledHttpClient(TIMEOUT_MILLIS).call(address, call, TIMEOUT_MILLIS) is HttpCallResult.Response
}

private suspend fun unpooled(address: String): Boolean = UnpooledHttpClient(TIMEOUT_MILLIS).use { client ->
    val request = HttpRequest("POST", "/", body = ByteArray(UPLOAD_BYTES))
    val answer = client.open(address, request, TIMEOUT_MILLIS) as? UnpooledExchange.Answered
    answer?.use { it.readFully(100, TIMEOUT_MILLIS) } is BodyReadResult.Complete
}

private suspend fun service(address: String): Boolean = ServiceClient().use { client ->
    val call = ServiceCall("POST", "/", emptyList(), ByteArray(UPLOAD_BYTES))
    val answer = client.forward(address, call) as? ServiceCallResult.Answered
    answer?.body?.use { it.readFully(100) } is BodyReadResult.Complete
}

/**
 * Guards against a part of an answer that counts as the whole one: the server answers while a long upload is still
 * being written, and the write meets the reset first, so that the read sees an end in order.
 */
class EarlyAnswerTest : FunSpec({
    val clients = mapOf<String, suspend (String) -> Boolean>(
        "kept connections" to ::pooled,
        "a connection for each request" to ::unpooled,
        "plain services" to ::service,
    )
    listOf("" to 0L, "" to 20L, LENGTHS to 20L, CHUNK to 20L).forEach { (framing, pauseMillis) ->
        clients.forEach { (name, isAnswered) ->
            test("an answer with '${framing.trim()}' that is reset after $pauseMillis ms is lost, $name") {
                val body = if (framing == CHUNK) "4\n$PART\n" else PART
                EarlyServer("HTTP/1.1 200 OK\n$framing\n$body", pauseMillis).use { server ->
                    (1..REPETITIONS).count { isAnswered(server.address) } shouldBe 0
                }
            }
        }
    }
})
