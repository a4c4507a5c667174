package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.transport.TcpNetwork
import kotlin.time.measureTimedValue

private const val OK = "HTTP/1.1 200 OK\r\n"
private const val CHUNKED_HEAD = "${OK}Transfer-Encoding: chunked\r\n\r\n"

/** Timeout of the calls; a client without a bound on bytes returns at this time only. */
private const val TIMEOUT_MILLIS = 4_000L

/** An answer of the client within this time shows that a bound on bytes has ended the reading. */
private const val EARLY_MILLIS = 2_000L

/** Ktor's map of headers takes time that grows with the square of the number of headers, and no timeout ends that. */
private const val HEADER_FLOOD_BYTES = 256 shl 10

private val options = ExchangeOptions(1_000, TIMEOUT_MILLIS)

private suspend fun <T> endsEarly(block: suspend () -> T): T {
    val (result, time) = measureTimedValue { block() }
    time.inWholeMilliseconds shouldBeLessThan EARLY_MILLIS
    return result
}

/** The result of reading the body of the answer of [server] with a limit of [maximumBytes]. */
private suspend fun readBody(server: FloodingServer, maximumBytes: Int): BodyReadResult {
    val answer = HttpConnectionPool(TcpNetwork()).send(server.address, "h", HttpRequest("GET", "/"), options)
        .shouldBeInstanceOf<PooledExchange.Answered>().answer
    return answer.use { readFully(it.body, maximumBytes, TIMEOUT_MILLIS) }
}

/** Guards against memory that grows with the bytes of a faulty server, and against reading them until the deadline. */
class EndlessBytesTest : FunSpec({
    listOf(
        "header lines without end" to FloodingServer(OK, "A-Header: some value\r\n", HEADER_FLOOD_BYTES),
        "one line without end" to FloodingServer("", "no answer "),
        "one header line without end" to FloodingServer("${OK}A-Header: ", "some value "),
        "empty lines without end" to FloodingServer("", "\r\n"),
        "informational responses without end" to FloodingServer("", "HTTP/1.1 103 Early\r\n\r\n"),
    ).forEach { (name, server) ->
        test("$name in place of an answer end an exchange as lost, and its connection is closed") {
            server.use {
                endsEarly {
                    HttpConnectionPool(TcpNetwork()).send(server.address, "h", HttpRequest("GET", "/"), options)
                }.shouldBeInstanceOf<PooledExchange.Lost>()
                server.isClosedWithin(EARLY_MILLIS) shouldBe true
            }
        }
    }

    listOf(
        "header lines" to FloodingServer(OK, "A-Header: some value\r\n", HEADER_FLOOD_BYTES),
        "informational responses" to FloodingServer("", "HTTP/1.1 103 Early\r\n\r\n"),
    ).forEach { (name, server) ->
        test("$name without end are a lost response of the client without a pool as well") {
            server.use {
                UnpooledHttpClient(1_000).use { client ->
                    endsEarly { client.open(server.address, HttpRequest("GET", "/"), TIMEOUT_MILLIS) }
                        .shouldBeInstanceOf<UnpooledExchange.Lost>()
                }
                server.isClosedWithin(EARLY_MILLIS) shouldBe true
            }
        }
    }

    test("a response to another request that does not end ends the exchange as lost") {
        FloodingServer("${OK}Id: other\r\n\r\n", "bytes ").use { server ->
            endsEarly {
                HttpConnectionPool(TcpNetwork())
                    .send(server.address, "h", HttpRequest("GET", "/"), options.copy(id = "own", idHeader = "Id"))
            }.shouldBeInstanceOf<PooledExchange.Lost>()
            server.isClosedWithin(EARLY_MILLIS) shouldBe true
        }
    }

    listOf(
        "without a length" to FloodingServer("$OK\r\n", "bytes "),
        "with a huge length" to FloodingServer("${OK}Content-Length: ${Long.MAX_VALUE}\r\n\r\n", "bytes "),
        "with a huge chunk" to FloodingServer("$CHUNKED_HEAD${Long.MAX_VALUE.toString(16)}\r\n", "bytes "),
        "of small chunks" to FloodingServer(CHUNKED_HEAD, "8;a=b\r\nsome tex\r\n"),
    ).forEach { (name, server) ->
        test("a body $name is read up to the limit only") {
            server.use {
                endsEarly { readBody(server, 100_000) }.shouldBeInstanceOf<BodyReadResult.TooLarge>()
                server.isClosedWithin(EARLY_MILLIS) shouldBe true
            }
        }
    }

    listOf(
        "trailers without end" to FloodingServer("${CHUNKED_HEAD}0\r\n", "A-Trailer: value\r\n"),
        "a chunk extension without end" to FloodingServer("${CHUNKED_HEAD}8;", "name=value;"),
    ).forEach { (name, server) ->
        test("a body with $name is lost") {
            server.use {
                endsEarly { readBody(server, 100_000) }.shouldBeInstanceOf<BodyReadResult.Lost>()
                server.isClosedWithin(EARLY_MILLIS) shouldBe true
            }
        }
    }

    test("a call whose response does not end is lost before its timeout, and its connection is closed") {
        FloodingServer("$OK\r\n", "bytes ").use { server ->
            endsEarly { PooledHttpClient(1_000).call(server.address, HttpCall("GET", "/"), TIMEOUT_MILLIS) }
                .shouldBeInstanceOf<HttpCallResult.Lost>()
            server.isClosedWithin(EARLY_MILLIS) shouldBe true
        }
    }
})
