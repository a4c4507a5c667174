package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.RequestHead

private fun head(text: String): HeadResult {
    val lines = text.lines()
    val (method, target, version) = lines.first().split(' ')
    val headers = lines.drop(1).map { it.substringBefore(':') to it.substringAfter(':').trim() }
    return callerHead(RequestHead(method, target, version, headers), 500)
}

/** Guards against request smuggling, and against callers that set headers which only the gateway may set. */
class CallerRequestTest : FunSpec({
    mapOf(
        "both Content-Length and Transfer-Encoding" to
            "POST /a HTTP/1.1\nHost: h\nContent-Length: 3\nTransfer-Encoding: chunked",
        "two Content-Length headers" to "POST /a HTTP/1.1\nHost: h\nContent-Length: 3\nContent-Length: 4",
        "a signed Content-Length" to "POST /a HTTP/1.1\nHost: h\nContent-Length: +3",
        "a transfer encoding besides chunked" to "POST /a HTTP/1.1\nHost: h\nTransfer-Encoding: gzip, chunked",
        "no Host header" to "GET /a HTTP/1.1\nA: b",
        "two Host headers" to "GET /a HTTP/1.1\nHost: h\nHost: i",
        "an absolute request target" to "GET http://h/a HTTP/1.1\nHost: h",
    ).forEach { (name, text) ->
        test("a request with $name is rejected as malformed") {
            head(text).shouldBeInstanceOf<HeadResult.Malformed>().failure.kind shouldBe ErrorKind.MALFORMED_REQUEST
        }
    }

    test("a request with headers over the limit is rejected as too large") {
        val result = head("GET /a HTTP/1.1\nHost: h\nA: ${"x".repeat(500)}")
        result.shouldBeInstanceOf<HeadResult.Malformed>().failure.kind shouldBe ErrorKind.HEAD_TOO_LARGE
    }

    test("hop-by-hop headers and reserved headers are not forwarded") {
        val headers = "Host: h\nConnection: close, X-Once\nX-Once: 1\nTenant: t\nContent-Length: 5\nA: b"
        val read = head("POST /a?b=c HTTP/1.1\n$headers").shouldBeInstanceOf<HeadResult.Read>()
        read.framing shouldBe BodyFraming.Length(5)
        read.head.path shouldBe "/a"
        read.head.isClosing shouldBe true
        read.head.forwarded(setOf("tenant")) shouldBe listOf("A" to "b")
    }

    test("model names are split at the slash, and token counts are added up or rejected") {
        modelOf("m") shouldBe ("m" to null)
        modelOf("m/a1") shouldBe ("m" to AdapterName("m", "a1"))
        tokenCount("1460,80") shouldBe 1_540
        tokenCount("x,1") shouldBe null
        tokenCount("-5,1") shouldBe null
        tokenCount(null) shouldBe null
    }
})
