package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.http.cio.parseRequest
import io.ktor.utils.io.ByteReadChannel
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.http.BodyFraming

private suspend fun head(text: String): HeadResult =
    parseRequest(ByteReadChannel(text.trimIndent().replace("\n", "\r\n") + "\r\n\r\n"))!!.use { callerHead(it, 500) }

/** Guards against requests that are smuggled inside others, and against forged headers of the gateway. */
class CallerRequestTest : FunSpec({
    mapOf(
        "length and transfer encoding" to "POST /a HTTP/1.1\nHost: h\nContent-Length: 3\nTransfer-Encoding: chunked",
        "two lengths" to "POST /a HTTP/1.1\nHost: h\nContent-Length: 3\nContent-Length: 4",
        "a signed length" to "POST /a HTTP/1.1\nHost: h\nContent-Length: +3",
        "another transfer encoding" to "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: gzip, chunked",
        "no host" to "GET /a HTTP/1.1\nA: b",
        "two hosts" to "GET /a HTTP/1.1\nHost: h\nHost: i",
        "an absolute target" to "GET http://h/a HTTP/1.1\nHost: h",
        "long headers" to "GET /a HTTP/1.1\nHost: h\nA: ${"x".repeat(500)}",
    ).forEach { (name, text) ->
        test("refused: $name") {
            head(text).shouldBeInstanceOf<HeadResult.Faulty>().failure.kind shouldBe ErrorKind.MALFORMED_REQUEST
        }
    }

    test("headers of one connection and those of the gateway are not forwarded") {
        val headers = "Host: h\nConnection: close, X-Once\nX-Once: 1\nTenant: t\nContent-Length: 5\nA: b"
        val read = head("POST /a?b=c HTTP/1.1\n$headers").shouldBeInstanceOf<HeadResult.Read>()
        read.framing shouldBe BodyFraming.Length(5)
        read.head.path shouldBe "/a"
        read.head.isClosing shouldBe true
        read.head.forwarded(setOf("tenant")) shouldBe listOf("A" to "b")
    }

    test("models, adapters and token counts") {
        modelOf("m") shouldBe ("m" to null)
        modelOf("m/a1") shouldBe ("m" to AdapterName("m", "a1"))
        tokenCount("1460,80") shouldBe 1_540
        tokenCount("x,1") shouldBe null
        tokenCount("-5,1") shouldBe null
        tokenCount(null) shouldBe null
    }
})
