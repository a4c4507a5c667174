package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotEndWith
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket

private const val EVENT = "id: 1\ndata: one\n\n"
private const val NEVER_MILLIS = 20_000L

/** Time in which a request reaches its server. */
private const val ARRIVAL_MILLIS = 400L

private fun silent(beforeSilence: Backend.(Socket) -> Unit = { }) = Backend("s1") { socket, _ ->
    beforeSilence(socket)
    Thread.sleep(NEVER_MILLIS)
}

/** What the caller of a request that is in progress receives when the time of a planned stop has passed. */
private suspend fun atEndOfStop(backends: List<Backend>, kind: RouteKind): String =
    ForwarderFixture(backends, kind).use { fixture ->
        fixture.open()
        fixture.askOverSocket("r1", isStopping = true) { listener ->
            delay(ARRIVAL_MILLIS)
            listener.endRequests()
        }
    }

/** Guards against requests that are passed on late in a planned stop, and are cut without an answer at its end. */
class StopEndTest : FunSpec({
    test("a request that may outlast a planned stop is refused before it is passed on, and a shorter one is served") {
        val backend = Backend("s1") { socket, request -> answer(socket, request) }
        val now = System.nanoTime() / 1_000_000
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE, requestsEndAt = { now + 2_000 }).use { fixture ->
            fixture.open()
            fixture.ask("r1", "hi").let { refused ->
                refused shouldStartWith "HTTP/1.1 503"
                refused shouldContain "Retry-After: 0.000\r\n"
            }
            backend.requests.get() shouldBe 0
            fixture.ask("r2", "hi", deadlineMillis = 1_000) shouldStartWith "HTTP/1.1 200"
            backend.requests.get() shouldBe 1
        }
    }

    test("a request that a server works on at the end of a planned stop is answered with an unknown outcome") {
        val answer = atEndOfStop(listOf(silent()), RouteKind.RUN_ONCE)
        answer shouldStartWith "HTTP/1.1 502"
        answer shouldContain "Connection: close\r\n"
    }

    test("a request that no server has taken at the end of a planned stop is refused as not run") {
        atEndOfStop(emptyList(), RouteKind.RUN_ONCE) shouldStartWith "HTTP/1.1 503"
    }

    test("a stream that is not complete at the end of a planned stop is cut and not ended") {
        val answer = atEndOfStop(
            listOf(
                silent {
                    it.sendHead("r1", "Transfer-Encoding: chunked\r\n")
                    it.send(chunk(EVENT))
                },
            ),
            RouteKind.STREAM,
        )
        bodyOf(answer) shouldBe EVENT
        answer shouldNotEndWith LAST_CHUNK
    }
})
