package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a caller's key, or any header that is not on the allow-list, reaching a backend server. */
class ForwardedHeadersTest : FunSpec({
    mapOf(
        "Content-Type" to true,
        "accept" to true,
        "Idempotency-Key" to true,
        "Authorization" to false,
        "authorization" to false,
        "Proxy-Authorization" to false,
        "Cookie" to false,
        "X-Api-Key" to false,
        "api-key" to false,
        "X-Auth-Token" to false,
        "Host" to false,
        "Connection" to false,
        "Transfer-Encoding" to false,
        "X-Fencing-Token" to false,
        "X-Request-Id" to false,
        "X-Unheard-Of" to false,
    ).forEach { (name, isForwarded) ->
        test("request header $name is forwarded: $isForwarded") {
            forwardedRequestHeaders(listOf(name to "value")).isNotEmpty() shouldBe isForwarded
        }
    }

    test("a request header whose value has a line break is dropped") {
        forwardedRequestHeaders(listOf("Accept" to "a\r\nAuthorization: b")) shouldBe emptyList()
    }

    test("cookies and hop-by-hop headers of a response are dropped") {
        val headers = listOf("Set-Cookie" to "a=b", "Connection" to "close", "Content-Type" to "text/plain")
        returnedResponseHeaders(headers) shouldBe listOf("Content-Type" to "text/plain")
    }

    mapOf(
        "127.0.0.1:80" to IpAddress("127.0.0.1", 80),
        "[::1]:80" to IpAddress("::1", 80),
        "::1:80" to null,
        "localhost:80" to null,
        "10.0.0.256:80" to null,
        "10.0.0.1" to null,
        "10.0.0.1:" to null,
        "10.0.0.1:70000" to null,
        "10.0.0.1:+80" to null,
    ).forEach { (text, expected) ->
        test("address $text is parsed as $expected") { ipAddressOf(text) shouldBe expected }
    }
})
