package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

private const val FIRST = "id: 1\ndata: one\n\n"
private const val SECOND = "id: 2\ndata: two\n\n"
private const val HALF = "id: 2\ndata: tw"
private const val REPETITIONS = 100

private suspend fun asked(kind: RouteKind, act: Backend.(Socket) -> Unit): String =
    ForwarderFixture(listOf(Backend("s1") { socket, _ -> act(socket) }), kind).use { fixture ->
        fixture.open()
        fixture.askOverSocket("r1")
    }

/** Guards against answers that broke off at the backend server and look complete to the caller. */
class StreamEndTest : FunSpec({
    Framing.entries.forEach { framing ->
        test("a stream that ends inside an event is cut for its caller, framing $framing") {
            val answer = asked(RouteKind.STREAM) { it.answer("r1", framing, FIRST, HALF) }
            answer shouldStartWith "HTTP/1.1 200"
            bodyOf(answer) shouldBe FIRST
            answer shouldNotEndWith LAST_CHUNK
        }

        test("a stream that ends inside its first event is no success for its caller, framing $framing") {
            asked(RouteKind.STREAM) { it.answer("r1", framing, HALF) } shouldStartWith "HTTP/1.1 502"
        }

        test("a resumable stream that ends inside an event goes on at another server, framing $framing") {
            val sent = AtomicInteger()
            val act: Backend.(Socket) -> Unit = { socket ->
                if (sent.getAndIncrement() == 0) {
                    socket.answer("r1", framing, FIRST, HALF)
                } else {
                    socket.answer("r1", framing, SECOND)
                }
            }
            val backends = listOf("s1", "s2").map { id -> Backend(id) { socket, _ -> act(socket) } }
            ForwarderFixture(backends, RouteKind.STREAM, isResumable = true).use { fixture ->
                fixture.open()
                val answer = fixture.askOverSocket("r1")
                bodyOf(answer) shouldBe FIRST + SECOND
                answer shouldEndWith LAST_CHUNK
                val heads = backends.flatMap { it.heads.values }
                heads shouldHaveSize 2
                heads.single { "Last-Event-Id: 1\r\n" in it }
            }
        }
    }

    listOf(
        "an event" to FIRST,
        "an empty line" to "$FIRST\n",
        "a bare carriage return" to "$FIRST\r",
        "CRLF line ends" to FIRST.replace("\n", "\r\n"),
        "a bare CRLF" to FIRST.replace("\n", "\r\n") + "\r\n",
        "a comment line" to "$FIRST: done\n",
        "a comment line with CRLF" to FIRST.replace("\n", "\r\n") + ": done\r\n",
    ).forEach { (name, body) ->
        test("a stream that ends with its connection after $name is complete and is passed on whole") {
            val answer = asked(RouteKind.STREAM) { it.answer("r1", Framing.UNTIL_CLOSE, body) }
            bodyOf(answer.removeSuffix(LAST_CHUNK)) shouldBe body.removeSuffix("\r\n")
            answer shouldEndWith LAST_CHUNK
        }
    }

    test("the connection of an answer that ended with it is not reused") {
        val backend = Backend("s1") { socket, _ ->
            socket.answer(if (requests.get() == 1) "r1" else "r2", Framing.UNTIL_CLOSE, FIRST)
        }
        ForwarderFixture(listOf(backend), RouteKind.STREAM).use { fixture ->
            fixture.open()
            fixture.askOverSocket("r1") shouldEndWith LAST_CHUNK
            fixture.askOverSocket("r2") shouldEndWith LAST_CHUNK
            backend.requests.get() shouldBe 2
        }
    }

    test("a stream without a length that is reset after a whole event is cut for its caller") {
        val answer = asked(RouteKind.STREAM) { socket ->
            socket.sendHead("r1", "")
            socket.send(FIRST)
            Thread.sleep(ANSWER_PAUSE_MILLIS)
            reset(socket)
        }
        bodyOf(answer) shouldBe FIRST
        answer shouldNotEndWith LAST_CHUNK
    }

    // A reset that arrives before the reader looks was taken for the end of the answer; whether it does varies.
    test("answers without a length that are reset right after their bytes are never whole for their callers") {
        val backend = Backend("s1") { socket, request ->
            socket.sendHead(request.header("Request").orEmpty(), "")
            socket.send(FIRST)
            reset(socket)
        }
        listOf(RouteKind.RUN_ONCE, RouteKind.STREAM).forEach { kind ->
            ForwarderFixture(listOf(backend), kind).use { fixture ->
                fixture.open()
                List(REPETITIONS) { runCatching { fixture.ask("r$it", "hi") }.getOrElse { "cut" } }
                    .filter { it.startsWith("HTTP/1.1 200") && (kind != RouteKind.STREAM || it.endsWith(LAST_CHUNK)) }
                    .shouldBeEmpty()
            }
        }
    }

    test("a buffered answer without a length is whole when its connection closes and lost when it is reset") {
        asked(RouteKind.RUN_ONCE) { it.answer("r1", Framing.UNTIL_CLOSE, "whole ", "answer") }.let { answer ->
            answer shouldStartWith "HTTP/1.1 200"
            answer shouldContain "Content-Length: 12\r\n"
            answer shouldEndWith "whole answer"
        }
        asked(RouteKind.RUN_ONCE) { socket ->
            socket.sendHead("r1", "")
            socket.send("half ")
            Thread.sleep(ANSWER_PAUSE_MILLIS)
            reset(socket)
        }.let { answer ->
            answer shouldStartWith "HTTP/1.1 502"
            answer shouldNotContain "half"
        }
    }
})
