package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import org.lentilquay.transport.BusySocketThreads
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.engine.BodyStep
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.engine.EngineOptions
import org.lentilquay.transport.engine.EngineRunResult
import org.lentilquay.transport.engine.ServiceCall
import org.lentilquay.transport.engine.ServiceCallResult
import org.lentilquay.transport.engine.ServiceClient
import org.lentilquay.transport.engine.ServiceOptions
import org.lentilquay.transport.engine.StreamStep
import java.net.Socket
import java.util.concurrent.atomic.AtomicReference

private const val CONNECT_MILLIS = 2_000L
private const val TIMEOUT_MILLIS = 300L
private const val SETTLE_MILLIS = 100L
private val options = ExchangeOptions(CONNECT_MILLIS, TIMEOUT_MILLIS)
private val request = HttpRequest("GET", "/")

/** A server that sends [first] and, once this process no longer looks at its sockets, [second]. */
private class LateServer(first: String, second: String) : AutoCloseable {
    private val busy = AtomicReference<BusySocketThreads>()
    private val server = ScriptedServer { _, socket ->
        if (first.isNotEmpty()) socket.write(first)
        // Time in which the client reads the first part and begins to wait for the second one.
        Thread.sleep(SETTLE_MILLIS)
        busy.set(BusySocketThreads())
        socket.write(second)
        awaitClose(socket)
    }
    val address get() = server.address

    override fun close() {
        server.close()
        busy.get()?.close()
    }

    private fun awaitClose(socket: Socket) {
        while (socket.getInputStream().read() >= 0) Unit
    }
}

private suspend fun withServer(first: String, second: String, use: suspend (LateServer) -> Unit) =
    withContext(Dispatchers.Default) { LateServer(first, second).use { use(it) } }

private const val HEAD = "HTTP/1.1 200 OK\nContent-Length: 4\n\n"
private const val STREAM_HEAD = "HTTP/1.1 200 OK\nContent-Type: text/event-stream\n\n"

/** Guards against a timer that ends a wait for bytes which have arrived before it was due. */
class ArrivedBeforeTimeoutTest : FunSpec({
    test("a head that has arrived is received, with a pool of connections") {
        withServer("", "${HEAD}body") { server ->
            HttpConnectionPool(TcpNetwork()).send(server.address, "h", request, options)
                .shouldBeInstanceOf<PooledExchange.Answered>().answer.use { it.status shouldBe 200 }
        }
    }

    test("a head that has arrived is received, without a pool") {
        withServer("", "${HEAD}body") { server ->
            UnpooledHttpClient(CONNECT_MILLIS).open(server.address, request, TIMEOUT_MILLIS)
                .shouldBeInstanceOf<UnpooledExchange.Answered>().use { it.status shouldBe 200 }
        }
    }

    test("the rest of a body that has arrived is received") {
        withServer("${HEAD}bo", "dy") { server ->
            UnpooledHttpClient(CONNECT_MILLIS).open(server.address, request, TIMEOUT_MILLIS)
                .shouldBeInstanceOf<UnpooledExchange.Answered>().use { answer ->
                    answer.readFully(1_000, TIMEOUT_MILLIS)
                        .shouldBeInstanceOf<BodyReadResult.Complete>().text shouldBe "body"
                }
        }
    }

    test("an event of a stream that has arrived is received") {
        withServer("${STREAM_HEAD}data: 1\n\n", "data: 2\n\n") { server ->
            EngineClient(EngineOptions(idleMillis = TIMEOUT_MILLIS)).use { engines ->
                val started = engines.startRun(server.address, "/", ByteArray(0), emptyList())
                started.shouldBeInstanceOf<EngineRunResult.Accepted>().run.use { run ->
                    run.next() shouldBe StreamStep.Event("1")
                    run.next() shouldBe StreamStep.Event("2")
                }
            }
        }
    }

    test("bytes of the answer of a service that have arrived are received") {
        withServer("${HEAD}bo", "dy") { server ->
            ServiceClient(ServiceOptions(idleMillis = TIMEOUT_MILLIS)).use { services ->
                val answer = services.forward(server.address, ServiceCall("GET", "/", emptyList(), ByteArray(0)))
                answer.shouldBeInstanceOf<ServiceCallResult.Answered>().body.use { body ->
                    body.next().shouldBeInstanceOf<BodyStep.Bytes>().bytes.decodeToString() shouldBe "bo"
                    body.next().shouldBeInstanceOf<BodyStep.Bytes>().bytes.decodeToString() shouldBe "dy"
                }
            }
        }
    }
})
