package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimedValue
import kotlin.time.measureTimedValue

/** The tests' requests wait for 4 s; an answer within this time was not held up to the end of that wait. */
private const val EARLY_MILLIS = 2_000L

private fun Socket.send(bytes: ByteArray) = getOutputStream().run {
    write(bytes)
    flush()
}

private fun Socket.sendHead(status: Int, id: String, headers: String = "") =
    send("HTTP/1.1 $status Status\r\nRequest: $id\r\nProof: p\r\n$headers\r\n".encodeToByteArray())

private suspend fun ForwarderFixture.timedAsk(id: String): TimedValue<String> =
    measureTimedValue { withTimeout(8.seconds) { ask(id, "body $id") } }

/** Guards against answers without end of a faulty backend server that exhaust the memory or hold requests up. */
class EndlessAnswerTest : FunSpec({
    test("a refusal whose body does not end does not hold its request up") {
        val backend = Backend("s1") { socket, _ ->
            socket.sendHead(503, "r1", "Not-Run: 1\r\n")
            repeat(60) {
                socket.send("x".encodeToByteArray())
                Thread.sleep(50)
            }
            reset(socket)
        }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            val (answer, time) = fixture.timedAsk("r1")
            answer shouldStartWith "HTTP/1.1 503"
            time.inWholeMilliseconds shouldBeLessThan EARLY_MILLIS
        }
    }

    // 16 bodies of 3 MiB that wait for their end would take 48 MiB of a heap of 160 MB, and more while they grow.
    test("long buffered answers share a bounded amount of memory") {
        val part = ByteArray(3 shl 20) { 'x'.code.toByte() }
        val long = List(4) { number ->
            Backend("s$number") { socket, _ ->
                val id = heads.getValue(socket).substringAfter("Request: ").substringBefore("\r\n")
                socket.sendHead(200, id)
                socket.send(part)
                Thread.sleep(6_000)
                reset(socket)
            }
        }
        ForwarderFixture(long, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            val answers = withContext(Dispatchers.IO) {
                List(16) { async { fixture.timedAsk("r$it") } }.awaitAll()
            }
            answers.forEach { it.value shouldStartWith "HTTP/1.1 502" }
            answers.count { it.duration.inWholeMilliseconds < EARLY_MILLIS } shouldBeGreaterThan 9
        }
    }

    test("a stream of bytes that end no event is lost before the deadline") {
        val block = ByteArray(1 shl 16) { 'x'.code.toByte() }
        val backend = Backend("s1") { socket, _ ->
            socket.sendHead(200, "r1")
            repeat(100) { socket.send(block) }
            Thread.sleep(6_000)
            reset(socket)
        }
        ForwarderFixture(listOf(backend), RouteKind.STREAM).use { fixture ->
            fixture.open()
            val (answer, time) = fixture.timedAsk("r1")
            answer shouldStartWith "HTTP/1.1 502"
            time.inWholeMilliseconds shouldBeLessThan EARLY_MILLIS
        }
    }

    test("an event of 256 KiB without an end is too long, and so are empty lines without end") {
        listOf("x", "\n").forEach { unit ->
            val buffer = SseEventBuffer()
            val block = unit.repeat(8_192).encodeToByteArray()
            repeat(32) { buffer.append(block) }
            buffer.isTooLong shouldBe true
        }
    }
})
