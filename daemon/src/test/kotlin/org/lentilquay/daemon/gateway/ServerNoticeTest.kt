package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.http.MAXIMUM_PAUSE_MILLIS
import org.lentilquay.transport.http.RequestedPause
import org.lentilquay.transport.http.UNREADABLE_PAUSE_MILLIS
import org.lentilquay.transport.http.requestedPause
import java.net.Socket
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

private const val REQUESTS = 12

private fun Socket.reply(request: CallerHead, status: String, headers: String, body: String) = use {
    val head = "HTTP/1.1 $status\r\nRequest: ${request.header("Request")}\r\n$headers" +
        "Content-Length: ${body.length}\r\nConnection: close\r\n\r\n"
    it.getOutputStream().write((head + body).encodeToByteArray())
}

private fun sound(id: String) = Backend(id) { socket, request -> answer(socket, request) }

private fun replying(id: String, status: String, headers: String, body: String = "id: 1\ndata: one\n\n") =
    Backend(id) { socket, request -> socket.reply(request, status, headers, body) }

private suspend fun ForwarderFixture.askUntilHeard(backend: Backend) {
    var number = 0
    while (backend.requests.get() == 0) ask("first${number++}", "hi")
    // The notice is applied on the control thread after the head of the answer has been read.
    eventually(2.seconds) { isClosed(backend) shouldBe true }
}

/** Guards against requests to servers whose answers said that they leave, or that they take none for some time. */
class ServerNoticeTest : FunSpec({
    listOf(
        Triple("a success", "200 OK", "Proof: p\r\n"),
        Triple("a failure", "500 Failed", "Proof: p\r\n"),
        Triple("a refusal", "503 Full", "Not-Run: 1\r\n"),
        Triple("a wrong version", "421 Misdirected", "Not-Run: 1\r\n"),
    ).forEach { (name, status, headers) ->
        listOf(RouteKind.IDEMPOTENT, RouteKind.STREAM).forEach { kind ->
            test("after $name of a leaving server, no request goes there, route kind $kind") {
                val leaving = replying("s1", status, "${headers}Leaving: 1\r\n")
                val other = replying("s2", "200 OK", "Proof: p\r\n")
                ForwarderFixture(listOf(leaving, other), kind).use { fixture ->
                    fixture.open()
                    fixture.askUntilHeard(leaving)
                    val heard = leaving.requests.get()
                    repeat(REQUESTS) { fixture.ask("r$it", "hi") shouldStartWith "HTTP/1.1 200" }
                    leaving.requests.get() shouldBe heard
                }
            }
        }
    }

    // The 421 comes from the process that has taken over the address, not from the server that was meant.
    test("a leaving process at the address of another server closes only itself") {
        val taken = replying("s1", "421 Misdirected", "Not-Run: 1\r\nServer-Id: other\r\nLeaving: 1\r\n")
        ForwarderFixture(listOf(taken, sound("s2")), RouteKind.IDEMPOTENT).use { fixture ->
            fixture.open()
            while (taken.requests.get() == 0) fixture.ask("r", "hi")
            fixture.isClosed(taken) shouldBe false
        }
    }

    test("a server that refuses with Retry-After gets nothing until that time, and others take its requests") {
        val pausing = replying("s1", "503 Full", "Not-Run: 1\r\nRetry-After: 1.5\r\n")
        ForwarderFixture(listOf(pausing, sound("s2")), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.askUntilHeard(pausing)
            val heard = pausing.requests.get()
            repeat(REQUESTS) { fixture.ask("r$it", "hi") shouldStartWith "HTTP/1.1 200" }
            pausing.requests.get() shouldBe heard
            eventually(4.seconds) { fixture.isClosed(pausing) shouldBe false }
        }
    }

    // Nothing can serve such a request in its time, so waiting for it would only delay the caller's return.
    test("while all servers pause, a request is refused at once and told when to return") {
        val pausing = listOf("s1", "s2").map { replying(it, "503 Full", "Not-Run: 1\r\nRetry-After: 20\r\n") }
        ForwarderFixture(pausing, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            pausing.forEach { fixture.askUntilHeard(it) }
            val sent = pausing.sumOf { it.requests.get() }
            val (answer, time) = measureTimedValue { fixture.ask("r1", "hi") }
            answer shouldStartWith "HTTP/1.1 503"
            answer shouldContain "pause"
            answer.substringAfter("Retry-After: ").substringBefore("\r\n").toDouble() shouldBeGreaterThan 10.0
            time.inWholeMilliseconds shouldBeLessThan 500
            pausing.sumOf { it.requests.get() } shouldBe sent
        }
    }

    listOf(
        "0" to RequestedPause(0, "0", true),
        "0.25" to RequestedPause(250, "0.25", true),
        " 2 " to RequestedPause(2_000, " 2 ", true),
        "1e9" to RequestedPause(MAXIMUM_PAUSE_MILLIS, "1e9", false),
        "Infinity" to RequestedPause(MAXIMUM_PAUSE_MILLIS, "Infinity", false),
        "-1" to RequestedPause(UNREADABLE_PAUSE_MILLIS, "-1", false),
        "NaN" to RequestedPause(UNREADABLE_PAUSE_MILLIS, "NaN", false),
        "soon" to RequestedPause(UNREADABLE_PAUSE_MILLIS, "soon", false),
        "9".repeat(5_000) to RequestedPause(MAXIMUM_PAUSE_MILLIS, "9".repeat(32), false),
    ).forEach { (value, expected) ->
        test("Retry-After '${value.take(20)}' is a pause of ${expected.millis} ms") {
            requestedPause(value) shouldBe expected
        }
    }
})
