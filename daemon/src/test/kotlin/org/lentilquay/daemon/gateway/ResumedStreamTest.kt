package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.measureTimedValue

private const val FIRST = "id: 1\ndata: one\n\n"
private const val SECOND = "id: 2\ndata: two\n\n"
private const val ERROR_TEXT = "upstream exploded"

/** Longer than the time without an event after which a stream is moved to another server. */
private const val LONG_PAUSE_MILLIS = 2_000L
private const val DRIBBLE_MILLIS = 300L

/** More bytes in all than the buffers of the connections between server and caller take. */
private const val LONG_STREAM_EVENTS = 400
private const val LONG_EVENT_BYTES = 50_000

/** Sends the same stream through two servers; [first] acts on the first arrival and [second] on the others. */
private suspend fun resumed(
    maximumAttempts: Int = 2,
    first: Backend.(Socket) -> Unit,
    second: Backend.(Socket) -> Unit,
): String {
    val arrivals = AtomicInteger()
    val backends = listOf("s1", "s2").map { id ->
        Backend(id) { socket, _ -> if (arrivals.getAndIncrement() == 0) first(socket) else second(socket) }
    }
    return ForwarderFixture(backends, RouteKind.STREAM, isResumable = true, maximumAttempts).use { fixture ->
        fixture.open()
        fixture.askOverSocket("r1")
    }
}

private fun Backend.breakOff(socket: Socket, id: String = "r1") {
    socket.sendHead(id, "Transfer-Encoding: chunked\r\n")
    socket.send(chunk(FIRST))
    Thread.sleep(ANSWER_PAUSE_MILLIS)
    reset(socket)
}

private fun Socket.error(head: String) =
    use { it.send("$head\r\nContent-Length: ${ERROR_TEXT.length}\r\n\r\n$ERROR_TEXT") }

/** Guards against errors, heads and false ends in the middle of a stream, and against wrong judgements of slow ones. */
class ResumedStreamTest : FunSpec({
    listOf(
        "500 with a signature" to "HTTP/1.1 500 Failed\r\nRequest: r1\r\nProof: p",
        "500 that looks like a stream" to
            "HTTP/1.1 500 Failed\r\nRequest: r1\r\nProof: p\r\nContent-Type: text/event-stream",
        "500 without a signature" to "HTTP/1.1 500 Failed\r\nRequest: r1",
        "503 that says not run" to "HTTP/1.1 503 Full\r\nRequest: r1\r\nNot-Run: 1",
        "404 with a signature" to "HTTP/1.1 404 Not Found\r\nRequest: r1\r\nProof: p",
        "success of another request" to "HTTP/1.1 200 OK\r\nRequest: r0\r\nProof: p",
        "success without a signature" to "HTTP/1.1 200 OK\r\nRequest: r1",
        "bytes that are no answer" to "oops oops",
    ).forEach { (name, head) ->
        test("a stream that broke off and is answered with $name elsewhere is cut after its events") {
            val answer = resumed(first = { breakOff(it) }, second = { it.error(head) })
            answer shouldStartWith "HTTP/1.1 200"
            bodyOf(answer) shouldBe FIRST
            answer shouldNotContain ERROR_TEXT
            answer.windowed("HTTP/1.1".length).count { it == "HTTP/1.1" } shouldBe 1
            answer shouldNotEndWith LAST_CHUNK
        }
    }

    // The stream was cut at once, though its caller can no longer be refused and the budget has a retry soon.
    test("a stream that broke off while the retry budget was used up goes on once there is a retry") {
        val backends = listOf("s1", "s2").map {
            Backend(it) { socket, request ->
                val id = request.header("Request").orEmpty()
                val isWhole = id == "whole" || request.header("Last-Event-Id") != null
                if (isWhole) socket.use { it.answer(id, Framing.CHUNKED, SECOND) } else breakOff(socket, id)
            }
        }
        ForwarderFixture(backends, RouteKind.STREAM, isResumable = true).use { fixture ->
            fixture.open()
            repeat(3) { fixture.askOverSocket("used$it") shouldEndWith LAST_CHUNK }
            coroutineScope {
                val broken = async(Dispatchers.IO) { fixture.askOverSocket("broken") }
                delay(3 * ANSWER_PAUSE_MILLIS)
                fixture.askOverSocket("whole") shouldEndWith LAST_CHUNK
                val answer = broken.await()
                answer shouldEndWith LAST_CHUNK
                bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe (FIRST + SECOND).removeSuffix("\r\n")
            }
        }
    }

    Framing.entries.forEach { framing ->
        test("a stream that ends without any event is no success for its caller, framing $framing") {
            resumed(maximumAttempts = 1, first = { it.answer("r1", framing) }, second = { }) shouldStartWith
                "HTTP/1.1 502"
        }
    }

    test("a stream that broke off after its last event ends when the next server has nothing left to send") {
        val answer = resumed(first = { breakOff(it) }, second = { it.answer("r1", Framing.CHUNKED) })
        bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe FIRST.removeSuffix("\r\n")
        answer shouldEndWith LAST_CHUNK
    }

    test("a slow stream that may go to no other server is passed on whole") {
        val answer = resumed(
            maximumAttempts = 1,
            first = { socket ->
                socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
                socket.send(chunk(FIRST))
                Thread.sleep(LONG_PAUSE_MILLIS)
                socket.send(chunk(SECOND) + "0\r\n\r\n")
            },
            second = { },
        )
        bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe (FIRST + SECOND).removeSuffix("\r\n")
        answer shouldEndWith LAST_CHUNK
    }

    // The stream left its server, found no other one, and was cut although its server would have gone on (review/4).
    test("a stream of a silent server stays there when no other server takes requests") {
        val backend = Backend("s1") { socket, _ ->
            socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
            socket.send(chunk(FIRST))
            Thread.sleep(LONG_PAUSE_MILLIS)
            socket.send(chunk(SECOND) + "0\r\n\r\n")
        }
        ForwarderFixture(listOf(backend), RouteKind.STREAM, isResumable = true).use { fixture ->
            fixture.open()
            val answer = fixture.askOverSocket("r1")
            bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe (FIRST + SECOND).removeSuffix("\r\n")
            answer shouldEndWith LAST_CHUNK
        }
        backend.requests.get() shouldBe 1
    }

    // The other server can refuse what it has room for by its registration; the first one is sound.
    test("a stream that left a silent server and is refused elsewhere goes on at the first server") {
        val arrivals = AtomicInteger()
        val act: Backend.(Socket) -> Unit = { socket ->
            when (arrivals.getAndIncrement()) {
                0 -> {
                    socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
                    socket.send(chunk(FIRST))
                    Thread.sleep(2 * LONG_PAUSE_MILLIS)
                }
                1 -> socket.error("HTTP/1.1 503 Full\r\nRequest: r1\r\nNot-Run: 1")
                else -> socket.answer("r1", Framing.CHUNKED, SECOND)
            }
        }
        val backends = listOf("s1", "s2").map { id -> Backend(id) { socket, _ -> act(socket) } }
        ForwarderFixture(backends, RouteKind.STREAM, isResumable = true).use { fixture ->
            fixture.open()
            fixture.allowRetries()
            val answer = fixture.askOverSocket("r1")
            bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe (FIRST + SECOND).removeSuffix("\r\n")
            answer shouldEndWith LAST_CHUNK
        }
    }

    // The time in which the caller took no data counted against the server, and the stream was moved.
    test("a stream whose caller takes no data for a while stays at its sound server") {
        val arrivals = AtomicInteger()
        val backends = listOf("s1", "s2").map { id ->
            Backend(id) { socket, _ ->
                arrivals.incrementAndGet()
                socket.sendHead("r1", "")
                repeat(LONG_STREAM_EVENTS) { socket.send("id: $it\ndata: ${"x".repeat(LONG_EVENT_BYTES)}\n\n") }
                socket.close()
            }
        }
        ForwarderFixture(backends, RouteKind.STREAM, isResumable = true).use { fixture ->
            fixture.open()
            fixture.askOverSocket("r1") { delay(LONG_PAUSE_MILLIS) } shouldEndWith LAST_CHUNK
        }
        arrivals.get() shouldBe 1
    }

    listOf("bytes of an event" to "x", "comment lines" to ": still here\n").forEach { (name, text) ->
        test("a stream that sends $name now and then but no event goes on at another server") {
            val (answer, time) = measureTimedValue {
                resumed(
                    first = { socket ->
                        socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
                        socket.send(chunk(FIRST))
                        while (true) {
                            Thread.sleep(DRIBBLE_MILLIS)
                            socket.send(chunk(text))
                        }
                    },
                    second = { it.answer("r1", Framing.CHUNKED, SECOND) },
                )
            }
            bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe (FIRST + SECOND).removeSuffix("\r\n")
            answer shouldEndWith LAST_CHUNK
            time.inWholeMilliseconds shouldBeLessThan 3_500
        }
    }
})
