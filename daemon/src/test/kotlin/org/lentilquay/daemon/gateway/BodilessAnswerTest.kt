package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.http.write

private val LIMITS = CallerLimits(headerBytes = 1_024, bodyBytes = 1_024, 3_000, 15_000)

/** The head of [answer]; fails if a body follows. */
private fun onlyHead(answer: String): String = answer.also { it shouldEndWith "\r\n\r\n" }

/**
 * Guards against the body of an answer that must have none: its caller reads the bytes where the next answer is due
 * (RFC 9110, section 9.3.2).
 */
class BodilessAnswerTest : FunSpec({
    suspend fun answerTo(method: String, sent: String, kind: RouteKind = RouteKind.IDEMPOTENT): String {
        val backend = Backend("s1") { socket, request ->
            val own = "Request: ${request.header("Request")}\nProof: p\n"
            socket.use { it.write(sent.replaceFirst("\n", "\n$own")) }
        }
        return ForwarderFixture(listOf(backend), kind).use { fixture ->
            fixture.open()
            fixture.ask("r0", "", method = method)
        }
    }

    RouteKind.entries.forEach { kind ->
        test("an answer to HEAD is passed on without a body and with the length of the server, kind $kind") {
            val answer = answerTo("HEAD", "HTTP/1.1 200 OK\nContent-Length: 70\n\n", kind)
            answer shouldStartWith "HTTP/1.1 200"
            onlyHead(answer) shouldContain "Content-Length: 70"
        }

        test("a failure of a server to HEAD is passed on without a body, kind $kind") {
            val answer = answerTo("HEAD", "HTTP/1.1 500 Error\nContent-Length: 9\n\n", kind)
            onlyHead(answer) shouldContain "Content-Length: 9"
        }

        test("a lost answer to HEAD is reported without a body, kind $kind") {
            onlyHead(answerTo("HEAD", "HTTP/1.1 2\n\n", kind)) shouldStartWith "HTTP/1.1 502"
        }
    }

    test("an answer to HEAD whose length is not known states none") {
        onlyHead(answerTo("HEAD", "HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n")) shouldNotContain "ength"
    }

    test("204 and 304 are passed on without a body, and 204 without a length") {
        onlyHead(answerTo("GET", "HTTP/1.1 204 No\nContent-Length: 0\n\n")) shouldNotContain "Content-Length"
        onlyHead(answerTo("GET", "HTTP/1.1 304 Not\nContent-Length: 12\n\n")) shouldContain "Content-Length: 12"
        onlyHead(answerTo("GET", "HTTP/1.1 304 Not\n\n")) shouldNotContain "Content-Length"
    }

    listOf(
        Triple("by the handler", "HEAD /none HTTP/1.1\nHost: h\n\n", "HTTP/1.1 503"),
        Triple("with two hosts", "HEAD /none HTTP/1.1\nHost: h\nHost: i\n\n", "HTTP/1.1 400"),
        Triple("with a long head", "HEAD /${"x".repeat(2_000)} HTTP/1.1\nHost: h\n\n", "HTTP/1.1 431"),
        Triple("with a long body", "HEAD /none HTTP/1.1\nHost: h\nContent-Length: 9000\n\n", "HTTP/1.1 413"),
        Triple("with an invalid target", "HEAD /\u0001 HTTP/1.1\nHost: h\n\n", "HTTP/1.1 400"),
        Triple("without a version", "HEAD none\n\n", "HTTP/1.1 400"),
        Triple("with a line that is not read", "HEAD /${"x".repeat(9_000)} HTTP/1.1\n\n", "HTTP/1.1 431"),
    ).forEach { (name, request, status) ->
        test("a refusal of HEAD has no body: $name") {
            val handler = CallerHandler { _, writer -> writer.respondFailure(Failure(ErrorKind.OVERLOADED, "busy")) }
            ServedCaller(LIMITS, handler).use { caller ->
                caller.serve()
                caller.socket.write(request)
                caller.socket.shutdownOutput()
                val answer = caller.socket.getInputStream().readAllBytes().decodeToString()
                onlyHead(answer) shouldStartWith status
                answer.windowed(4).count { it == "\r\n\r\n" } shouldBe 1
            }
        }
    }

    test("CONNECT is refused, because its caller takes the bytes after a success for a tunnel") {
        ServedCaller(LIMITS).use { caller ->
            caller.serve()
            caller.socket.write("CONNECT /x HTTP/1.1\nHost: h\n\n")
            caller.statusLine() shouldStartWith "HTTP/1.1 400"
        }
    }
})
