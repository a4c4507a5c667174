package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private const val FIRST = "id: 1\ndata: one\n\n"
private const val SECOND = "id: 2\ndata: two\n\n"

/** Longer than the time without an event after which another server is asked. */
private const val EVENT_PAUSE_MILLIS = 2_200L

/** Longer than twice the target latency of the fixture's route, after which another server is asked. */
private const val HEAD_PAUSE_MILLIS = 2_500L

private fun Backend.refuse(socket: Socket) =
    socket.use { it.send("HTTP/1.1 503 Full\r\nRequest: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }

private fun Backend.hang() = Thread.sleep(EVENT_PAUSE_MILLIS * 2)

/** What a server may do with a request that is slow elsewhere, other than to answer it with success. */
private val OTHER_SERVERS: Map<String, Backend.(Socket) -> Unit> = mapOf(
    "refuses it" to { refuse(it) },
    "answers 500" to { socket ->
        socket.use { it.send("HTTP/1.1 500 Failed\r\nRequest: r1\r\nProof: p\r\nContent-Length: 0\r\n\r\n") }
    },
    "resets it" to { reset(it) },
    "hangs" to { hang() },
)

/** Two servers for one request: [first] acts on its first arrival and [second] on the others. */
private fun servers(first: Backend.(Socket) -> Unit, second: Backend.(Socket) -> Unit): List<Backend> {
    val arrivals = AtomicInteger()
    return listOf("s1", "s2").map { id ->
        Backend(id) { socket, _ -> if (arrivals.getAndIncrement() == 0) first(socket) else second(socket) }
    }
}

private suspend fun asked(kind: RouteKind, servers: List<Backend>): String =
    ForwarderFixture(servers, kind, isResumable = kind == RouteKind.STREAM, maximumAttempts = 2).use { fixture ->
        fixture.open()
        fixture.askOverSocket("r1")
    }

private fun Socket.startStream() {
    sendHead("r1", "Transfer-Encoding: chunked\r\n")
    send(chunk(FIRST))
}

private fun Socket.endStream() = send(chunk(SECOND) + "0\r\n\r\n")

private fun wholeBody(answer: String) = bodyOf(answer.removeSuffix(LAST_CHUNK))

private val WHOLE = (FIRST + SECOND).removeSuffix("\r\n")

/** Guards against requests that leave a slow but sound server before another one has something to pass on. */
class SlowServerTest : FunSpec({
    OTHER_SERVERS.forEach { (name, act) ->
        // The stream had left its server when the next one failed, and was cut; a retry found no budget.
        test("a stream whose server pauses is whole though the other server $name") {
            val answer = asked(
                RouteKind.STREAM,
                servers(
                    first = { socket ->
                        socket.startStream()
                        Thread.sleep(EVENT_PAUSE_MILLIS)
                        socket.endStream()
                    },
                    second = act,
                ),
            )
            answer shouldStartWith "HTTP/1.1 200"
            wholeBody(answer) shouldBe WHOLE
            answer shouldEndWith LAST_CHUNK
        }

        // The wait for the head ended at twice the target latency, and the caller got 502.
        listOf(RouteKind.IDEMPOTENT, RouteKind.STREAM).forEach { kind ->
            test("a request of kind $kind whose server answers late is answered though the other server $name") {
                val answer = asked(
                    kind,
                    servers(
                        first = { socket ->
                            Thread.sleep(HEAD_PAUSE_MILLIS)
                            socket.answer("r1", Framing.CHUNKED, FIRST)
                        },
                        second = act,
                    ),
                )
                answer shouldStartWith "HTTP/1.1 200"
                answer shouldContain FIRST
            }
        }
    }

    test("a stream goes on at the other server once that has sent an event, and its first server is left") {
        val servers = servers(
            first = { socket ->
                socket.startStream()
                hang()
                socket.endStream()
            },
            second = { it.answer("r1", Framing.CHUNKED, SECOND) },
        )
        val (answer, time) = measureTimedValue { asked(RouteKind.STREAM, servers) }
        wholeBody(answer) shouldBe WHOLE
        answer shouldEndWith LAST_CHUNK
        time.inWholeMilliseconds shouldBeLessThan EVENT_PAUSE_MILLIS * 2
        servers.flatMap { it.heads.values }.single { "Last-Event-Id: 1\r\n" in it }
    }

    test("a late answer of the first server is passed on, though the other one was asked before") {
        val servers = servers(
            first = { socket ->
                Thread.sleep(HEAD_PAUSE_MILLIS)
                socket.answer("r1", Framing.LENGTH, "first")
            },
            second = { socket ->
                hang()
                socket.answer("r1", Framing.LENGTH, "second")
            },
        )
        val answer = asked(RouteKind.IDEMPOTENT, servers)
        answer shouldEndWith "first"
        servers.flatMap { it.heads.values } shouldHaveSize 2
    }

    test("a stream whose server breaks off while another one is asked goes on there without a third request") {
        val servers = servers(
            first = { socket ->
                socket.startStream()
                Thread.sleep(EVENT_PAUSE_MILLIS)
                reset(socket)
            },
            second = { socket ->
                Thread.sleep(EVENT_PAUSE_MILLIS)
                socket.answer("r1", Framing.CHUNKED, SECOND)
            },
        )
        val answer = asked(RouteKind.STREAM, servers)
        wholeBody(answer) shouldBe WHOLE
        answer shouldEndWith LAST_CHUNK
        servers.flatMap { it.heads.values } shouldHaveSize 2
    }

    test("a request that may run at three servers is not left to two that hang") {
        val arrivals = AtomicInteger()
        val servers = List(3) { number ->
            Backend("s$number") { socket, _ ->
                if (arrivals.getAndIncrement() < 2) hang()
                socket.answer("r1", Framing.LENGTH, "third")
            }
        }
        ForwarderFixture(servers, RouteKind.IDEMPOTENT, maximumAttempts = 3, targetLatencyMillis = 300).use { fixture ->
            fixture.open()
            fixture.allowRetries()
            fixture.askOverSocket("r1") shouldEndWith "third"
        }
        arrivals.get() shouldBe 3
    }

    test("both servers are left when the caller disconnects while two attempts run") {
        val left = AtomicInteger()
        val act: Backend.(Socket) -> Unit = { socket ->
            runCatching { socket.getInputStream().read() }
            left.incrementAndGet()
        }
        val servers = servers(first = act, second = act)
        ForwarderFixture(servers, RouteKind.IDEMPOTENT, maximumAttempts = 2, targetLatencyMillis = 100).use { fixture ->
            fixture.open()
            fixture.askAndDisconnect("r1") {
                eventually(5.seconds) { servers.sumOf { it.requests.get() } shouldBe 2 }
            }
            eventually(5.seconds) { left.get() shouldBe 2 }
        }
    }

    // Both servers have the next event at about the same time; it must not be passed on twice.
    (-2..2).forEach { step ->
        test("no event comes twice when both servers go on within ${step * 20} ms of each other") {
            val answer = asked(
                RouteKind.STREAM,
                servers(
                    first = { socket ->
                        socket.startStream()
                        Thread.sleep(EVENT_PAUSE_MILLIS + step * 20L)
                        socket.endStream()
                    },
                    second = { socket ->
                        Thread.sleep(EVENT_PAUSE_MILLIS - 1_500)
                        socket.answer("r1", Framing.CHUNKED, SECOND)
                    },
                ),
            )
            wholeBody(answer) shouldBe WHOLE
            answer shouldEndWith LAST_CHUNK
        }
    }
})
