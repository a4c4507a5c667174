/*
 * Encodes the head of HTTP/1.1 requests and determines the framing of response bodies (RFC 9112, section 6).
 */
package org.lentilquay.transport.http

import io.ktor.http.HttpStatusCode
import io.ktor.http.cio.HttpMessage
import kotlinx.io.IOException

internal const val CONTENT_LENGTH = "Content-Length"
internal const val TRANSFER_ENCODING = "Transfer-Encoding"
private const val HEAD = "HEAD"

/** Responses with these statuses have no body. */
private val BODILESS_STATUSES = setOf(HttpStatusCode.NoContent.value, HttpStatusCode.NotModified.value)
private val METHOD = Regex("[A-Z]{1,16}")

/** Path and query as they are valid in a request line: printable ASCII without spaces and without a fragment. */
private val TARGET = Regex("/[\\x21\\x22\\x24-\\x7e]*")
private val HEADER_NAME = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")

/** Headers that [encodedHead] or the connection sets; those of the request are dropped. */
private val RESERVED_HEADERS = setOf("host", "content-length", "transfer-encoding", "connection")

/** The headers of [message] in their order, including repeated ones. */
internal fun headersOf(message: HttpMessage): List<Pair<String, String>> = message.headers.offsets()
    .map { message.headers.nameAtOffset(it).toString() to message.headers.valueAtOffset(it).toString() }
    .toList()

/** The framing of the body of a response with [status] to a request with [method]. */
internal fun responseFraming(method: String, status: Int, headers: List<Pair<String, String>>): BodyFraming {
    val encoding = headers.lastOrNull { it.first.equals(TRANSFER_ENCODING, ignoreCase = true) }?.second
    val length = headers.firstOrNull { it.first.equals(CONTENT_LENGTH, ignoreCase = true) }?.second
    return when {
        method == HEAD || status in BODILESS_STATUSES -> BodyFraming.Length(0)
        encoding != null && encoding.trim().endsWith("chunked", ignoreCase = true) -> BodyFraming.Chunked
        length != null -> BodyFraming.Length(
            length.trim().toLongOrNull()?.takeIf { it >= 0 } ?: throw IOException("Content-Length is not valid"),
        )
        else -> BodyFraming.UntilClose
    }
}

/** The request line and headers; null if a part is invalid, so that a server could parse it as something else. */
internal fun encodedHead(host: String, request: HttpRequest): ByteArray? {
    val headers = request.headers.filter { it.first.lowercase() !in RESERVED_HEADERS }
    val isValid = METHOD.matches(request.method) && TARGET.matches(request.target) &&
        headers.all { (name, value) -> HEADER_NAME.matches(name) && value.none { it.isISOControl() && it != '\t' } }
    if (!isValid) return null
    return buildString {
        append(request.method).append(' ').append(request.target).append(" HTTP/1.1\r\n")
        append("Host: ").append(host).append("\r\n")
        append(CONTENT_LENGTH).append(": ").append(request.body.size).append("\r\n")
        headers.forEach { (name, value) -> append(name).append(": ").append(value).append("\r\n") }
        append("\r\n")
    }.encodeToByteArray()
}
