package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.withStalledReceivers
import kotlin.time.measureTime

private const val IDLE_MILLIS = 300L
private const val LONG_MILLIS = 20_000L
private const val MAXIMUM_CLOSE_MILLIS = 1_500L
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
private const val CLOSE = "Connection: close"
private val PART = "x".encodeToByteArray()

private fun limits(head: Long = LONG_MILLIS, idle: Long = LONG_MILLIS) =
    CallerLimits(headerBytes = 16_384, bodyBytes = 1_024, headerTimeoutMillis = head, idleTimeoutMillis = idle)

/** Requests after whose answer the connection closes, with the status of the answer. */
private val REFUSED = mapOf(
    "GET / HTTP/1.1\r\nHost: h\r\nHost: i\r\n\r\n" to "400",
    "GET / HTTP/1.1\r\nHost: h\r\n" to "408",
    "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nx\r\n" to "400",
    "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4096\r\n\r\n" to "413",
    REQUEST to "500",
)

/** A caller whose first response is a stream during which a planned stop begins. */
private suspend fun streamDuringStop(use: (ServedCaller) -> Unit) {
    var isStopping = false
    val handler = CallerHandler { request, writer ->
        if (request.ordinal > 1) {
            writer.respond(200, emptyList(), ByteArray(0))
        } else {
            writer.startChunked(200, emptyList())
            isStopping = true
            writer.writeChunk(PART)
            writer.endChunked()
        }
    }
    ServedCaller(limits(), handler, isStopping = { isStopping }).use { caller ->
        caller.serve()
        use(caller)
    }
}

/** Guards against connections that close though their caller was told that they stay open. */
class ClosedConnectionTest : FunSpec({
    // Callers sent their next request on the connection, and got no answer.
    REFUSED.forEach { (request, status) ->
        test("an answer $status after which the connection closes says so") {
            val failing = CallerHandler { _, _ -> error("not handled") }
            ServedCaller(limits(head = IDLE_MILLIS), failing).use { caller ->
                caller.serve()
                caller.socket.send(request)
                val head = caller.head()
                head.first() shouldStartWith "HTTP/1.1 $status"
                head shouldContain CLOSE
            }
        }
    }

    // The head of the stream had not announced the close, and a request that had arrived by its end got no answer.
    test("a request that has arrived by the end of a stream during which a planned stop began is answered") {
        streamDuringStop { caller ->
            caller.socket.send(REQUEST + REQUEST)
            caller.head().first() shouldStartWith "HTTP/1.1 200"
            caller.head() shouldBe listOf("1", "x", "0")
            val head = caller.head()
            head.first() shouldStartWith "HTTP/1.1 200"
            head shouldContain CLOSE
        }
    }

    // The connection went on taking requests, and a planned stop cut those that outlasted it.
    test("a connection without a request closes at the end of a stream during which a planned stop began") {
        streamDuringStop { caller ->
            caller.socket.send(REQUEST)
            caller.head().first() shouldStartWith "HTTP/1.1 200"
            caller.head() shouldBe listOf("1", "x", "0")
            measureTime { caller.statusLine() shouldBe "" }.inWholeMilliseconds shouldBeLessThan MAXIMUM_CLOSE_MILLIS
        }
    }

    test("a stream that starts in a planned stop says that its connection closes") {
        val handler = CallerHandler { _, writer ->
            writer.startChunked(200, emptyList())
            writer.endChunked()
        }
        ServedCaller(limits(), handler, isStopping = { true }).use { caller ->
            caller.serve()
            caller.socket.send(REQUEST)
            caller.head() shouldContain CLOSE
            caller.head() shouldBe listOf("0")
            caller.statusLine() shouldBe ""
        }
    }

    // A request that arrived between the end of the idle time and the close was read and got no answer.
    listOf("its idle limit", "a planned stop").forEach { cause ->
        test("a connection that ends by $cause closes at once though the threads of the sockets are busy") {
            val idleMillis = if (cause == "a planned stop") LONG_MILLIS else 2 * IDLE_MILLIS
            ServedCaller(limits(idle = idleMillis)).use { caller ->
                caller.serve()
                caller.socket.send(REQUEST)
                caller.head().first() shouldStartWith "HTTP/1.1 200"
                delay(2 * IDLE_MILLIS - IDLE_MILLIS / 2)
                withStalledReceivers {
                    if (cause == "a planned stop") caller.connection.closeIfIdle()
                    measureTime { caller.statusLine() shouldBe "" }.inWholeMilliseconds shouldBeLessThan
                        MAXIMUM_CLOSE_MILLIS
                }
            }
        }
    }
})
