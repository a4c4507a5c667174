package org.lentilquay.transport.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.transport.TcpNetwork
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** A keep-alive server; [answer] writes the response to the request with the given number on its connection. */
internal class KeepAliveServer(private val answer: (Int, Socket) -> Unit) : AutoCloseable {
    private val listener = ServerSocket(0, 100, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${listener.localPort}"
    val connections = AtomicInteger()

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                val socket = runCatching { listener.accept() }.getOrNull() ?: break
                connections.incrementAndGet()
                thread(isDaemon = true) { socket.use { runCatching { serve(it) } } }
            }
        }
    }

    override fun close() = listener.close()

    private fun serve(socket: Socket) {
        val input = socket.getInputStream().buffered()
        var number = 0
        while (true) {
            val head = StringBuilder()
            while (!head.endsWith("\r\n\r\n")) head.append(input.read().takeIf { it >= 0 }?.toChar() ?: return)
            answer(number++, socket)
        }
    }
}

private val options = ExchangeOptions(1_000, 2_000)

private suspend fun HttpConnectionPool.body(server: KeepAliveServer, exchange: ExchangeOptions = options): String {
    val answer = send(server.address, "h", HttpRequest("GET", "/"), exchange)
        .shouldBeInstanceOf<PooledExchange.Answered>().answer
    val whole = readFully(answer.body, 1_000, 1_000).shouldBeInstanceOf<BodyReadResult.Complete>().text
    answer.releaseConnection()
    return whole
}

/** Guards against responses that reach the wrong request, and against requests on connections that are closed. */
class HttpConnectionPoolTest : FunSpec({
    test("a connection is reused after a complete response, but not after one with Connection: close") {
        KeepAliveServer { number, socket ->
            socket.answer(200, "n$number", if (number == 1) "Connection: close\n" else "")
        }.use { server ->
            val connections = HttpConnectionPool(TcpNetwork())
            connections.body(server) shouldBe "n0"
            connections.body(server) shouldBe "n1"
            connections.body(server) shouldBe "n0"
            server.connections.get() shouldBe 2
        }
    }

    test("a response to another request is dropped, and the next response is returned") {
        KeepAliveServer { number, socket ->
            if (number == 1) socket.answer(200, "stray", "Id: r0\n")
            socket.answer(200, "own$number", "Id: r$number\n")
        }.use { server ->
            val connections = HttpConnectionPool(TcpNetwork())
            connections.body(server, options.copy(id = "r0", idHeader = "Id")) shouldBe "own0"
            connections.body(server, options.copy(id = "r1", idHeader = "Id")) shouldBe "own1"
        }
    }

    test("a connection that received bytes after the response is not reused") {
        KeepAliveServer { number, socket ->
            socket.answer(200, "n$number")
            if (number == 0) socket.answer(200, "extra")
        }.use { server ->
            val connections = HttpConnectionPool(TcpNetwork())
            connections.body(server) shouldBe "n0"
            Thread.sleep(100)
            connections.body(server) shouldBe "n0"
            server.connections.get() shouldBe 2
        }
    }

    test("a request without a response is lost, and one to a closed port was not written") {
        KeepAliveServer { _, socket -> socket.close() }.use { server ->
            HttpConnectionPool(TcpNetwork()).send(server.address, "h", HttpRequest("GET", "/"), options)
                .shouldBeInstanceOf<PooledExchange.Lost>()
        }
        HttpConnectionPool(TcpNetwork()).send(closedAddress(), "h", HttpRequest("GET", "/"), options)
            .shouldBeInstanceOf<PooledExchange.NotWritten>()
    }

    // After an orderly close, the system sends what it still holds for a server that could not be reached, up to many
    // seconds later. An order of a former controller would then arrive after those of its successor.
    test("an exchange that is abandoned resets its connection, so that its bytes do not arrive later") {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { listener ->
            val connections = HttpConnectionPool(TcpNetwork())
            val impatient = ExchangeOptions(1_000, headerMillis = 50)
            // More than the system buffers, so that some of it is still to be sent when the exchange is abandoned.
            val request = HttpRequest("POST", "/", body = ByteArray(16 shl 20))
            connections.send("127.0.0.1:${listener.localPort}", "h", request, impatient)
                .shouldBeInstanceOf<PooledExchange.Lost>()
            listener.accept().use { socket ->
                socket.soTimeout = 2_000
                shouldThrow<SocketException> { socket.getInputStream().readAllBytes() }
            }
        }
    }
})
