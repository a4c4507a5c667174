package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlinx.coroutines.delay
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.InputTimeoutException
import org.lentilquay.transport.withStalledReceivers
import kotlin.time.Duration.Companion.seconds

private const val LONG_MILLIS = 20_000L
private const val SHORT_MILLIS = 600L
private const val LONGER_THAN_SHORT_MILLIS = 1_000L
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
private const val POST_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n"
private const val CHUNKED_HEAD = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"

private fun limits(head: Long = LONG_MILLIS, idle: Long = LONG_MILLIS) =
    CallerLimits(headerBytes = 16_384, bodyBytes = 1 shl 20, headerTimeoutMillis = head, idleTimeoutMillis = idle)

private suspend fun serving(
    limits: CallerLimits = limits(),
    handler: CallerHandler? = null,
    maximumBodyMillis: Long = LONG_MILLIS,
    use: suspend (ServedCaller) -> Unit,
) {
    val caller = ServedCaller(limits, handler)
    caller.serve(maximumBodyMillis)
    caller.use { use(it) }
}

/** A request of which [first] is read before the limit of the wait for [rest] ends. */
private class Partial(
    val name: String,
    val first: String,
    val rest: String,
    val limits: CallerLimits = limits(),
    val maximumBodyMillis: Long = LONG_MILLIS,
)

private val PARTIAL_REQUESTS = listOf(
    Partial("its head", "GET / HTTP/1.1\r\n", "Host: h\r\n\r\n", limits(head = SHORT_MILLIS)),
    Partial("a part of its body", POST_HEAD + "ab", "cde", limits(idle = SHORT_MILLIS)),
    Partial("a part of its chunked body", CHUNKED_HEAD + "3\r\na", "bc\r\n0\r\n\r\n", limits(idle = SHORT_MILLIS)),
    Partial("its whole body", POST_HEAD + "ab", "cde", maximumBodyMillis = SHORT_MILLIS),
)

/** Guards against connections that end without an answer to a request that has arrived or has begun to arrive. */
class UnansweredRequestTest : FunSpec({
    // Timers that are due run before the socket is read when the process had no processor time.
    test("a request in the socket at the end of the idle time is answered") {
        ServedCaller(limits(idle = SHORT_MILLIS), handler = null).use { caller ->
            withStalledReceivers {
                caller.serve()
                caller.socket.send(REQUEST)
                delay(LONGER_THAN_SHORT_MILLIS)
            }
            caller.statusLine() shouldStartWith "HTTP/1.1 200"
        }
    }

    // The same while a request is read.
    PARTIAL_REQUESTS.forEach { partial ->
        test("a request is answered whose rest is in the socket at the end of the time for ${partial.name}") {
            serving(partial.limits, maximumBodyMillis = partial.maximumBodyMillis) { caller ->
                caller.socket.send(partial.first)
                caller.awaitReading()
                withStalledReceivers {
                    caller.socket.send(partial.rest)
                    delay(LONGER_THAN_SHORT_MILLIS)
                }
                caller.statusLine() shouldStartWith "HTTP/1.1 200"
            }
        }
    }

    // Callers keep to the new limit while the connection waited for the old one.
    test("a request after the old idle limit is answered when a configuration has raised the limit") {
        serving(limits(idle = SHORT_MILLIS)) { caller ->
            caller.limits = limits(idle = LONG_MILLIS)
            delay(LONGER_THAN_SHORT_MILLIS)
            caller.socket.send(REQUEST)
            caller.statusLine() shouldStartWith "HTTP/1.1 200"
        }
    }

    // Callers that have not seen a lower limit keep to the old one.
    test("a request before the old idle limit is answered when a configuration has lowered the limit") {
        serving(limits(idle = LONG_MILLIS)) { caller ->
            caller.limits = limits(idle = 1)
            delay(SHORT_MILLIS)
            caller.socket.send(REQUEST)
            caller.statusLine() shouldStartWith "HTTP/1.1 200"
        }
    }

    // A limit that is raised must not keep idle connections open for ever.
    test("a connection without a request ends at the raised idle limit") {
        serving(limits(idle = 1)) { caller ->
            caller.limits = limits(idle = SHORT_MILLIS)
            caller.statusLine() shouldBe ""
            eventually(5.seconds) { caller.served.isActive shouldBe false }
        }
    }

    // A caller could not know whether a request that took too long to arrive was run.
    PARTIAL_REQUESTS.forEach { partial ->
        test("a request that does not arrive in the time for ${partial.name} is refused with 408 and not run") {
            serving(partial.limits, maximumBodyMillis = partial.maximumBodyMillis) { caller ->
                caller.socket.send(partial.first)
                caller.statusLine() shouldBe "HTTP/1.1 408 Request Timeout\r"
                caller.handled shouldBe 0
            }
        }
    }

    // Bytes that keep arriving must not extend the time for a request.
    test("a head that arrives a byte at a time is refused with 408 when its time ends") {
        serving(limits(head = SHORT_MILLIS)) { caller ->
            caller.socket.send("GET / HTTP/1.1\r\nLong: ")
            repeat(30) {
                runCatching { caller.socket.send("x") }
                delay(SHORT_MILLIS / 20)
            }
            caller.statusLine() shouldBe "HTTP/1.1 408 Request Timeout\r"
        }
    }

    // The failure of something else was taken for one of the caller's connection.
    test("a request whose handling fails with an input or output error is answered with 500") {
        serving(handler = { _, _ -> throw java.io.IOException("something else has failed") }) { caller ->
            caller.socket.send(REQUEST)
            caller.statusLine() shouldContain "500 Internal"
        }
    }

    // Status 408 promises that the request has not run, which is not known when a server's answer is late.
    test("a request whose handling waits too long for another input is not answered with 408") {
        serving(handler = { _, _ -> throw InputTimeoutException(limitMillis = 1, lateMillis = 0) }) { caller ->
            caller.socket.send(REQUEST)
            caller.statusLine() shouldContain "500 Internal"
        }
    }

    // The caller saw a closed connection, as after a failure of the gateway.
    test("a request with a chunk size that is no number is refused with 400") {
        serving { caller ->
            caller.socket.send(CHUNKED_HEAD + "x\r\n")
            caller.statusLine() shouldContain "400 Bad Request"
            caller.handled shouldBe 0
        }
    }

    // A planned stop looked only at bytes that were already read.
    test("a request in the socket is answered when a planned stop closes idle connections") {
        serving { caller ->
            delay(SHORT_MILLIS)
            withStalledReceivers {
                caller.socket.send(REQUEST)
                caller.connection.closeIfIdle()
            }
            caller.statusLine() shouldStartWith "HTTP/1.1 200"
        }
    }
})
