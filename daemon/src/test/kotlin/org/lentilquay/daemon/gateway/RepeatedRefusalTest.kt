package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.utils.io.ByteChannel
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.state.gateway.GatewayRoute
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.HttpConnectionPool
import org.lentilquay.transport.http.KeepAliveServer
import org.lentilquay.transport.http.answer
import org.lentilquay.transport.http.write
import java.net.Socket

private val now = { System.nanoTime() / 1_000_000 }

private fun Socket.refuse(status: Int, headers: String) = answer(status, "no", "Not-Run: 1\n$headers")

private fun Socket.succeed(id: String) = answer(200, "done", "Proof: p\nRequest: $id\n")

private class RunnerFixture(private val server: KeepAliveServer) {
    private val runner = AttemptRunner(HEADERS, HttpConnectionPool(TcpNetwork()), now) { _, _ -> }
    private val route = GatewayRoute(
        name = "desk",
        host = "h",
        pathPrefix = "/",
        kind = RouteKind.RUN_ONCE,
        services = emptyList(),
        timeoutMillis = 2_000,
        targetLatencyMillis = 1_000,
        maximumAttempts = 1,
        priority = 0,
        isOpen = true,
        isResumable = false,
    )

    fun request(id: String): RoutedRequest {
        val head = CallerHead("GET", "/orders", listOf("Host" to "h", "Request" to id))
        val request = CallerRequest(head, ByteArray(0), now())
        return RoutedRequest(request, id, route, "desk", null, "m", AdapterName("m", "a"), now() + 2_000)
    }

    suspend fun attempt(request: RoutedRequest): AttemptResult {
        val target = AttemptTarget(
            RegisteredServer(ServerId("s1"), "desk", server.address, EAST, 4, false, 0, 1, emptySet()),
            adapterVersion = null,
            attempt = 1,
        )
        val writer = ResponseWriter(ByteChannel(autoFlush = true), now) { true }.apply { requestMethod = "POST" }
        val watch = AttemptWatch(beside = null, resumeAfter = null, isCallerBusy = { false }, now) { false }
        val options = AttemptOptions(mayRetry = false, watch, onFirstEvent = {})
        return runner.run(request, target, writer, options).result
    }
}

/** Guards against refusals that a server repeats and that are taken as refusals of a request that it runs. */
class RepeatedRefusalTest : FunSpec({
    // A repeated refusal without an id answered the next request on the connection, which the server was running.
    listOf(503, 421).forEach { status ->
        test("a refusal with status $status that does not repeat the id of the request is an unknown outcome") {
            KeepAliveServer { number, socket ->
                socket.refuse(status, if (number == 0) "Request: r0\n" else "")
            }.use { server ->
                val fixture = RunnerFixture(server)
                fixture.attempt(fixture.request("r0")).shouldBeInstanceOf<AttemptResult.NotRun>()
                fixture.attempt(fixture.request("r1")).shouldBeInstanceOf<AttemptResult.Failed>()
                server.connections.get() shouldBe 1
            }
        }
    }

    // The refusal of the first attempt carries the id of the second one as well.
    test("a request that was refused is not sent again on the same connection") {
        lateinit var server: KeepAliveServer
        KeepAliveServer { _, socket ->
            if (server.connections.get() == 1) socket.refuse(421, "Request: r0\n") else socket.succeed("r0")
        }.also { server = it }.use {
            val fixture = RunnerFixture(server)
            val request = fixture.request("r0")
            fixture.attempt(request).shouldBeInstanceOf<AttemptResult.NotRun>()
            fixture.attempt(request) shouldBe AttemptResult.Delivered(200)
            server.connections.get() shouldBe 2
        }
    }

    // Each new connection has a price, so refusals must not close connections that other requests can use.
    test("a connection is used by other requests after a refusal") {
        KeepAliveServer { number, socket -> socket.refuse(503, "Request: r$number\n") }.use { server ->
            val fixture = RunnerFixture(server)
            repeat(3) { fixture.attempt(fixture.request("r$it")).shouldBeInstanceOf<AttemptResult.NotRun>() }
            server.connections.get() shouldBe 1
        }
    }

    // The bytes may arrive after the connection was taken from the pool and before the request is written.
    test("a repeated refusal of another request before the answer is dropped") {
        KeepAliveServer { number, socket ->
            socket.refuse(503, "Request: r0\n")
            if (number > 0) socket.succeed("r1")
        }.use { server ->
            val fixture = RunnerFixture(server)
            fixture.attempt(fixture.request("r0")).shouldBeInstanceOf<AttemptResult.NotRun>()
            fixture.attempt(fixture.request("r1")) shouldBe AttemptResult.Delivered(200)
            server.connections.get() shouldBe 1
        }
    }

    // A refusal behind the answer must not be read by the next request.
    test("a repeated refusal while the body of the answer is read does not reach the next request") {
        KeepAliveServer { number, socket ->
            when (number) {
                0 -> socket.refuse(503, "Request: r0\n")
                1 -> {
                    socket.write("HTTP/1.1 200 OK\nContent-Length: 4\nProof: p\nRequest: r1\n\ndo")
                    Thread.sleep(50)
                    socket.write("neHTTP/1.1 503 Full\nContent-Length: 0\nNot-Run: 1\nRequest: r0\n\n")
                }
                else -> socket.succeed("r2")
            }
        }.use { server ->
            val fixture = RunnerFixture(server)
            fixture.attempt(fixture.request("r0")).shouldBeInstanceOf<AttemptResult.NotRun>()
            fixture.attempt(fixture.request("r1")) shouldBe AttemptResult.Delivered(200)
            // On a new connection the server refuses its first request; the kept one may not be used.
            fixture.attempt(fixture.request("r2")).shouldBeInstanceOf<AttemptResult.Failed>()
            server.connections.get() shouldBe 2
        }
    }
})
