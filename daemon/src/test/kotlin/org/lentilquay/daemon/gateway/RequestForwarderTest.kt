package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.http.answer
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.measureTimedValue

/**
 * Guards against tokens that are returned for work that was done, requests that crash one server after another, and
 * requests that are rejected because a process has just started.
 */
class RequestForwarderTest : FunSpec({
    test("the tokens of a request that may have run stay charged when its caller disconnects") {
        val backend = Backend("s1") { _, _ -> }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.askAndDisconnect("r1") { eventually(5.seconds) { backend.requests.get() shouldBe 1 } }
            fixture.settled.toList() shouldBe listOf(200L)
        }
    }

    // The caller's leaving said nothing about the server, so servers that answer nothing went on getting requests.
    test("a server that a caller has left because its answer was overdue is not the first choice for the next one") {
        val backends = List(2) { number ->
            Backend("s$number") { socket, request ->
                if (request.header("Request") == "left") Thread.sleep(2_000) else answer(socket, request)
            }
        }
        ForwarderFixture(backends, RouteKind.RUN_ONCE, targetLatencyMillis = 100).use { fixture ->
            fixture.open()
            fixture.askAndDisconnect("left") {
                eventually(5.seconds) { backends.sumOf { it.requests.get() } shouldBe 1 }
                delay(400.milliseconds)
            }
            val silent = backends.single { it.requests.get() == 1 }
            repeat(2) { fixture.ask("next$it", "hi") shouldContain "200 OK" }
            silent.requests.get() shouldBe 1
        }
    }

    // The caller left while its request waited for tokens, and got neither an answer nor a refusal.
    test("a request waits for tokens no longer than its caller waits for the response") {
        val backend = Backend("s1") { socket, request -> answer(socket, request) }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.ask("r1", "hi", deadlineMillis = 300) shouldContain "200 OK"
            fixture.tokenWaits.single() shouldBeLessThan 300
        }
    }

    // After all processes of a fleet were killed, 64 to 121 requests arrived before the first configuration was read.
    test("a request that arrives just after the start of the process waits for the first configuration") {
        val backend = Backend("s1") { socket, _ -> reset(socket) }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.askAndDisconnect("r1") {
                delay(100.milliseconds)
                backend.requests.get() shouldBe 0
                fixture.open()
                eventually(5.seconds) { backend.requests.get() shouldBe 1 }
            }
        }
    }

    test("without a configuration two seconds after the start, a request is rejected at once with a Retry-After") {
        ForwarderFixture(emptyList(), RouteKind.RUN_ONCE).use { fixture ->
            fixture.ask("r1", "early") shouldContain "503"
            delay(2.seconds)
            val (answer, time) = measureTimedValue { fixture.ask("r2", "late") }
            answer shouldContain "Retry-After: 0.500"
            time.inWholeMilliseconds shouldBeLessThan 400
        }
    }

    test("a request that crashed three servers is quarantined, all VMs are notified, and others still run") {
        val backends = List(3) { number ->
            Backend("s$number") { socket, _ -> crash(socket) }
        } + Backend("s3") { socket, _ -> reset(socket) }
        ForwarderFixture(backends, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            suspend fun crashed() = eventually(5.seconds) { backends.take(3).sumOf { it.requests.get() } shouldBe 3 }
            var sent = 0
            while (backends.take(3).sumOf { it.requests.get() } < 3) {
                fixture.ask("r${sent++}", "bad") shouldContain "50"
                check(sent < 200) { "the request did not reach every server" }
            }
            crashed()
            eventually(5.seconds) { fixture.received.count { it is PeerRequest.SuspectNotice } shouldBe 3 }
            val reached = backends.last().requests.get()
            fixture.ask("again", "bad").let { answer ->
                answer shouldContain "503"
                answer shouldContain "Retry-After: 59"
            }
            backends.last().requests.get() shouldBe reached
            fixture.ask("other", "good") shouldContain "502"
            backends.last().requests.get() shouldBe reached + 1
        }
    }

    test("a request is not suspect when the server resets its connection but still accepts new ones") {
        val backend = Backend("s1") { socket, _ -> reset(socket) }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            val answers = List(6) { fixture.ask("r$it", "same").substringAfter(' ').substringBefore(' ') }
            answers shouldContain "502"
            Thread.sleep(400)
            fixture.received.filterIsInstance<PeerRequest.SuspectNotice>() shouldBe emptyList()
        }
    }

    // A refusal that answered another request told the caller of a running one to send it again.
    test("a refusal without the id of the request is an unknown outcome, and the request runs at no second server") {
        val backends = List(2) { number ->
            Backend("s$number") { socket, _ -> socket.answer(503, "full", "Not-Run: 1\n") }
        }
        ForwarderFixture(backends, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.ask("r1", "work") shouldContain "502"
            backends.sumOf { it.requests.get() } shouldBe 1
        }
    }
})
