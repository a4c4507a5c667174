package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.lentilquay.state.TeamId
import org.lentilquay.state.gateway.DemandRecord
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.state.gateway.UsageRecord
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private val TEAM = TeamId("kitchen")
private const val EVENT = "id: 1\ndata: a\n\n"

private fun ForwarderFixture.record(): UsageRecord =
    counter.record(System.nanoTime() / 1_000_000, isFinal = false).shouldNotBeNull()

private fun ForwarderFixture.waiting() = record().demand["desk"]?.waiting ?: 0

private fun UsageRecord.began() = counts(0)[TEAM] ?: 0

private fun backend(id: String, act: Backend.(Socket) -> Unit) = Backend(id) { socket, _ -> act(socket) }

/** Guards against requests that are billed though they did not begin, or begin without being counted. */
class UsageCountingTest : FunSpec({
    test("a plain request is counted at its signed answer, and an error of its server counts as well") {
        val statuses = ArrayDeque(listOf("200 OK", "500 Failed"))
        val server = Backend("s1") { socket, request ->
            val head = "HTTP/1.1 ${statuses.removeFirst()}\r\nRequest: ${request.header("Request")}\r\nProof: p"
            socket.use { it.send("$head\r\nContent-Length: 0\r\n\r\n") }
        }
        ForwarderFixture(listOf(server), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.ask("r1", "")
            fixture.ask("r2", "")
            fixture.record().began() shouldBe 2
        }
    }

    test("a refusal and an answer without a signature are not counted; a refused request is demand") {
        val heads = ArrayDeque(listOf("503 Full\r\nRequest: r1\r\nNot-Run: 1", "200 OK\r\nRequest: r2"))
        val server = backend("s1") { socket ->
            socket.use { it.send("HTTP/1.1 ${heads.removeFirst()}\r\nContent-Length: 0\r\n\r\n") }
        }
        ForwarderFixture(listOf(server), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            fixture.ask("r1", "", deadlineMillis = 1_000)
            fixture.ask("r2", "")
            val record = fixture.record()
            record.began() shouldBe 0
            record.demand shouldBe mapOf("desk" to DemandRecord(arrivals = 2, waiting = 0, refused = 1))
        }
    }

    test("a stream is counted with its first event, and once for each server at which it began") {
        val arrivals = AtomicInteger()
        val servers = listOf("s1", "s2").map { id ->
            backend(id) { socket ->
                socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
                socket.send(chunk(EVENT))
                if (arrivals.getAndIncrement() == 0) {
                    Thread.sleep(200)
                    reset(socket)
                } else {
                    socket.use { it.send("0\r\n\r\n") }
                }
            }
        }
        ForwarderFixture(servers, RouteKind.STREAM, isResumable = true).use { fixture ->
            fixture.open()
            fixture.allowRetries()
            fixture.ask("r1", "")
            arrivals.get() shouldBe 2
            fixture.record().began() shouldBe 2
        }
    }

    test("a stream that ends before its first event is not counted") {
        val server = backend("s1") { socket ->
            socket.sendHead("r1", "Transfer-Encoding: chunked\r\n")
            Thread.sleep(50)
            reset(socket)
        }
        ForwarderFixture(listOf(server), RouteKind.STREAM).use { fixture ->
            fixture.open()
            runCatching { fixture.ask("r1", "") }
            fixture.record().began() shouldBe 0
        }
    }

    test("a request that waits for a server is told as waiting until it is sent or refused") {
        val server = backend("s1") { socket ->
            socket.use { it.send("HTTP/1.1 503 Full\r\nRequest: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }
        }
        ForwarderFixture(listOf(server), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            coroutineScope {
                val work = launch(Dispatchers.IO) { fixture.ask("r1", "", deadlineMillis = 1_500) }
                eventually(1.seconds) { fixture.waiting() shouldBe 1 }
                work.join()
                fixture.waiting() shouldBe 0
            }
        }
    }
})
