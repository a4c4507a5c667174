package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotEndWith
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.IpAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private fun freePort() = ServerSocket(0).use { it.localPort }

private suspend fun serving(handler: CallerHandler, use: suspend (Int) -> Unit) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val port = freePort()
    GatewayListener(TcpNetwork(), handler, { null }, { false }, scope, { System.nanoTime() / 1_000_000 })
        .start("127.0.0.1:$port")
    try {
        use(port)
    } finally {
        scope.cancel()
    }
}

private fun exchange(port: Int, text: String): String = Socket("127.0.0.1", port).use { socket ->
    socket.soTimeout = 5_000
    socket.getOutputStream().write(text.replace("\n", "\r\n").encodeToByteArray())
    socket.getInputStream().readAllBytes().decodeToString()
}

/** Serves one connection with a limit on the time for a body. */
private suspend fun withConnection(maximumBodyMillis: Long, use: suspend (Socket, Job) -> Unit) {
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val network = TcpNetwork()
    val port = freePort()
    val listener = network.listen(IpAddress("127.0.0.1", port))
    val now = { System.nanoTime() / 1_000_000 }
    try {
        Socket("127.0.0.1", port).use { caller ->
            val accepted = network.accept(listener)
            val handler = CallerHandler { _, _ -> }
            val bodies = RequestBodyBudget(now = now)
            val limits = { null }
            val connection = CallerConnection(
                accepted,
                handler,
                limits,
                { false },
                now,
                bodies,
                maximumBodyMillis = maximumBodyMillis,
            )
            use(caller, scope.launch { connection.serve() })
        }
    } finally {
        scope.cancel()
        listener.close()
    }
}

/**
 * Guards against responses that are lost when a connection closes, and against work that continues after its caller has
 * disconnected.
 */
class CallerConnectionTest : FunSpec({
    test("a caller that asks to close the connection receives the complete response first") {
        val body = ByteArray(200_000) { 'x'.code.toByte() }
        serving({ _, writer -> writer.respond(404, emptyList(), body) }) { port ->
            repeat(20) {
                val answer = exchange(port, "GET / HTTP/1.1\nHost: h\nConnection: close\n\n")
                answer shouldContain "404 Not Found"
                answer.length - answer.indexOf("\r\n\r\n") - 4 shouldBe body.size
            }
        }
    }

    test("a request with two Host headers is answered with status 400") {
        serving({ _, writer -> writer.respond(200, emptyList(), ByteArray(0)) }) { port ->
            exchange(port, "GET / HTTP/1.1\nHost: h\nHost: i\n\n") shouldContain "400 Bad Request"
        }
    }

    test("a request with one long header line is served, and refused once its head is over the limit") {
        serving({ _, writer -> writer.respond(200, emptyList(), ByteArray(0)) }) { port ->
            val start = "GET / HTTP/1.1\nHost: h\nConnection: close\nLong: "

            fun answer(bytes: Int) = exchange(port, "$start${"x".repeat(bytes)}\n\n")
            answer(9_000) shouldContain "200 OK"
            answer(16_500) shouldContain "431 Request Header Fields Too Large"
            answer(100_000) shouldContain "431 Request Header Fields Too Large"
        }
    }

    test("pipelined requests on one connection are answered in order") {
        serving({ request, writer ->
            writer.respond(200, emptyList(), request.head.path.encodeToByteArray())
        }) { port ->
            val answer = exchange(port, "GET /a HTTP/1.1\nHost: h\n\nGET /b HTTP/1.1\nHost: h\nConnection: close\n\n")
            answer shouldContain "/a"
            answer shouldEndWith "/b"
        }
    }

    test("a chunked response that fails midway has no final chunk") {
        serving({ _, writer ->
            writer.startChunked(200, emptyList())
            writer.writeChunk("half".encodeToByteArray())
            throw java.io.IOException("the backend server is lost")
        }) { port ->
            val answer = runCatching { exchange(port, "GET / HTTP/1.1\nHost: h\n\n") }.getOrDefault("")
            answer shouldNotEndWith "0\r\n\r\n"
        }
    }

    // One unexpected error must not end the process or leave its caller without an answer.
    test("a request that fails unexpectedly is answered with status 500, and the next connection is served") {
        val requests = AtomicInteger()
        serving({ _, writer ->
            if (requests.incrementAndGet() == 1) error("unexpected")
            writer.respond(200, emptyList(), ByteArray(0))
        }) { port ->
            exchange(port, "GET / HTTP/1.1\nHost: h\nConnection: close\n\n") shouldContain "500 Internal"
            exchange(port, "GET / HTTP/1.1\nHost: h\nConnection: close\n\n") shouldContain "200 OK"
        }
    }

    test("handling is cancelled when the caller closes the connection") {
        val started = AtomicInteger()
        val cancelled = AtomicInteger()
        serving({ _, _ ->
            started.incrementAndGet()
            try {
                awaitCancellation()
            } finally {
                cancelled.incrementAndGet()
            }
        }) { port ->
            val socket = Socket("127.0.0.1", port)
            socket.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
            eventually(5.seconds) { started.get() shouldBe 1 }
            socket.close()
            eventually(5.seconds) { cancelled.get() shouldBe 1 }
        }
    }

    // A request with a part of its head or body is not the one that its caller meant to send.
    listOf(true, false).forEach { isReset ->
        test("a request that is ${if (isReset) "reset" else "closed"} anywhere before its end is not handled") {
            val handled = AtomicInteger()
            val whole = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
            serving({ _, writer ->
                handled.incrementAndGet()
                writer.respond(200, emptyList(), ByteArray(0))
            }) { port ->
                whole.indices.forEach { end ->
                    Socket("127.0.0.1", port).use { socket ->
                        socket.getOutputStream().write(whole.take(end).encodeToByteArray())
                        if (isReset) socket.setSoLinger(true, 0) else socket.shutdownOutput()
                        if (!isReset) runCatching { socket.getInputStream().readAllBytes() }
                    }
                }
                handled.get() shouldBe 0
                exchange(port, whole.replace("\r\n\r\n3", "\r\nConnection: close\r\n\r\n3").replace("\r", ""))
                handled.get() shouldBe 1
            }
        }
    }

    // A caller that sends a byte now and then kept its connection busy for ever, also during a planned stop.
    test("a body that arrives a byte at a time without end is given up") {
        withConnection(maximumBodyMillis = 400) { caller, served ->
            val head = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999\r\n\r\n"
            caller.getOutputStream().write(head.encodeToByteArray())
            repeat(20) {
                runCatching { caller.getOutputStream().write('x'.code) }
                Thread.sleep(50)
            }
            eventually(5.seconds) { served.isCompleted shouldBe true }
        }
    }

    // Such a caller held its place at the backend server, because the stream was read no further.
    test("a response is given up when its caller takes no data") {
        val ended = CompletableDeferred<Unit>()
        val handler = CallerHandler { _, writer ->
            try {
                writer.startChunked(200, emptyList())
                while (true) writer.writeChunk(ByteArray(100_000))
            } finally {
                ended.complete(Unit)
            }
        }
        val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
        val port = freePort()
        val now = { System.nanoTime() / 1_000_000 }
        val listener = GatewayListener(TcpNetwork(), handler, { null }, { false }, scope, now)
        listener.start("127.0.0.1:$port")
        Socket("127.0.0.1", port).use { caller ->
            caller.getOutputStream().write("GET / HTTP/1.1\r\nHost: h\r\n\r\n".encodeToByteArray())
            eventually(5.seconds) {
                listener.closeStalled(maximumMillis = 200)
                ended.isCompleted shouldBe true
            }
        }
        scope.cancel()
    }
})
