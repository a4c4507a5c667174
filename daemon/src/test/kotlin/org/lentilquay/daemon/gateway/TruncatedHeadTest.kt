package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.gateway.RouteKind

private const val BODY = "id: 1\ndata: one\n\n"

private fun head(id: String, framing: String) =
    "HTTP/1.1 200 OK\r\nRequest: $id\r\nProof: p\r\nContent-Type: text/event-stream\r\n$framing\r\n"

/** Guards against answers whose server stopped inside the head and which look complete to the caller. */
class TruncatedHeadTest : FunSpec({
    listOf(RouteKind.RUN_ONCE, RouteKind.STREAM).forEach { kind ->
        listOf("Content-Length: ${BODY.length}\r\n", "Transfer-Encoding: chunked\r\n", "").forEach { framing ->
            listOf(true, false).forEach { isReset ->
                val end = if (isReset) "reset" else "closed"
                test("an answer cut anywhere in its head '${framing.trim()}' and $end is no success, kind $kind") {
                    val cuts = head("r0", framing).indices.iterator()
                    val backend = Backend("s1") { socket, request ->
                        val whole = head(request.header("Request").orEmpty(), framing)
                        socket.send(whole.take(cuts.next()))
                        if (isReset) reset(socket) else socket.close()
                    }
                    ForwarderFixture(listOf(backend), kind).use { fixture ->
                        fixture.open()
                        while (cuts.hasNext()) {
                            val answer = fixture.ask("r0", "hi")
                            answer shouldStartWith "HTTP/1.1 502"
                            answer shouldNotContain "Proof"
                        }
                    }
                }
            }
        }
    }
})
