package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.daemon.gateway.Backend
import org.lentilquay.daemon.gateway.ForwarderFixture
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.engine.ServiceCall
import org.lentilquay.transport.engine.ServiceCallResult
import org.lentilquay.transport.engine.ServiceClient

private const val TIMEOUT_MILLIS = 2_000L

/** The answer that follows on the connection must not take the place of the invalid one. */
private const val NEXT = "HTTP/1.1 200 OK\nContent-Length: 4\n\nnext"
private val STATUSES = listOf("000", "001", "099", "600", "999", "1000", "abc", "-20", "2")

private fun answeringStatus(status: String) = ScriptedServer { _, socket ->
    socket.write("HTTP/1.1 $status Status\nContent-Length: 0\n\n$NEXT")
}

/** Guards against a status that is none of HTTP and that a client takes for an answer or for an interim one. */
class InvalidStatusTest : FunSpec({
    STATUSES.forEach { status ->
        test("the status $status is no answer over kept connections") {
            answeringStatus(status).use { server ->
                PooledHttpClient(TIMEOUT_MILLIS).call(server.address, HttpCall("GET", "/"), TIMEOUT_MILLIS)
                    .shouldBeInstanceOf<HttpCallResult.Lost>()
            }
        }

        test("the status $status is no answer of a plain service") {
            answeringStatus(status).use { server ->
                ServiceClient().use { client ->
                    client.forward(server.address, ServiceCall("GET", "/", emptyList(), ByteArray(0)))
                        .shouldBeInstanceOf<ServiceCallResult.LostAfterWriting>()
                }
            }
        }

        listOf(RouteKind.RUN_ONCE, RouteKind.STREAM).forEach { kind ->
            test("a caller gets no answer with the status $status, kind $kind") {
                val backend = Backend("s1") { socket, request ->
                    val head = "Request: ${request.header("Request")}\nProof: p\nContent-Length: 2\n"
                    socket.use { it.write("HTTP/1.1 $status Status\n$head\nokHTTP/1.1 200 OK\n$head\nno") }
                }
                ForwarderFixture(listOf(backend), kind).use { fixture ->
                    fixture.open()
                    val answer = fixture.ask("r0", "hi")
                    answer shouldStartWith "HTTP/1.1 502"
                    answer shouldNotContain "Proof"
                }
            }
        }
    }

    listOf(
        "two lengths" to "Content-Length: 2\nContent-Length: 4\n",
        "a length and chunks" to "Content-Length: 2\nTransfer-Encoding: chunked\n",
        "a length with a sign" to "Content-Length: +2\n",
        "another transfer encoding" to "Transfer-Encoding: gzip, chunked\n",
        "two transfer encodings" to "Transfer-Encoding: chunked\nTransfer-Encoding: chunked\n",
    ).forEach { (name, framing) ->
        test("an answer with $name is no answer") {
            ScriptedServer { _, socket -> socket.write("HTTP/1.1 200 OK\n$framing\n2\nok\n0\n\n") }.use { server ->
                PooledHttpClient(TIMEOUT_MILLIS).call(server.address, HttpCall("GET", "/"), TIMEOUT_MILLIS)
                    .shouldBeInstanceOf<HttpCallResult.Lost>()
            }
        }
    }
})
