package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldStartWith
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.BusySocketThreads
import java.util.concurrent.atomic.AtomicReference

private const val DEADLINE_MILLIS = 600

/** Longer than the deadline, so that the body is not ended by the end of its connection. */
private const val OPEN_MILLIS = 2_000L

/** Guards against a timer that ends the wait for the body of an answer whose bytes have arrived before it was due. */
class ArrivedBodyTest : FunSpec({
    test("the rest of a buffered body that has arrived when the deadline passes is passed on") {
        val busy = AtomicReference<BusySocketThreads>()
        val backend = Backend("s1") { socket, _ ->
            socket.sendHead("r1", "Content-Length: 5\r\n")
            socket.send("who")
            Thread.sleep(ANSWER_PAUSE_MILLIS)
            busy.set(BusySocketThreads())
            socket.send("le")
            Thread.sleep(OPEN_MILLIS)
        }
        ForwarderFixture(listOf(backend), RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            try {
                val answer = fixture.ask("r1", "hi", deadlineMillis = DEADLINE_MILLIS)
                answer shouldStartWith "HTTP/1.1 200"
                answer shouldEndWith "whole"
            } finally {
                busy.get()?.close()
            }
        }
    }
})
