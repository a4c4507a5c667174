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
private const val FIRST_FINAL_STATUS = 200

/** Responses with these statuses have no body. */
private val BODILESS_STATUSES = setOf(HttpStatusCode.NoContent.value, HttpStatusCode.NotModified.value)
private val METHOD = Regex("[A-Z]{1,16}")
private val LENGTH = Regex("""\d{1,19}""")

/** Path and query as they are valid in a request line: printable ASCII without spaces and without a fragment. */
private val TARGET = Regex("/[\\x21\\x22\\x24-\\x7e]*")
private val HEADER_NAME = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")

/** Headers that [encodedHead] or the connection sets; those of the request are dropped. */
private val RESERVED_HEADERS = setOf("host", "content-length", "transfer-encoding", "connection")

/** The headers of [message] in their order, including repeated ones. */
internal fun headersOf(message: HttpMessage): List<Pair<String, String>> = message.headers.offsets()
    .map { message.headers.nameAtOffset(it).toString() to message.headers.valueAtOffset(it).toString() }
    .toList()

/** Whether a response with [status] to a request with [method] has a body, which may be empty. */
internal fun hasResponseBody(method: String, status: Int): Boolean =
    method != HEAD && status >= FIRST_FINAL_STATUS && status !in BODILESS_STATUSES

/** Whether a response with [status] and without a body may state a length (RFC 9110, section 8.6). */
internal fun mayStateLength(status: Int): Boolean =
    status >= FIRST_FINAL_STATUS && status != HttpStatusCode.NoContent.value

/**
 * The framing of the body of a response with [status] to a request with [method]. A head that two recipients could read
 * differently is refused, because the rest of the connection could then belong to another response.
 */
internal fun responseFraming(method: String, status: Int, headers: List<Pair<String, String>>): BodyFraming {
    val encodings = headers.filter { it.first.equals(TRANSFER_ENCODING, ignoreCase = true) }.map { it.second.trim() }
    val lengths = headers.filter { it.first.equals(CONTENT_LENGTH, ignoreCase = true) }.map { it.second.trim() }
    val isChunked = encodings.singleOrNull().equals("chunked", ignoreCase = true)
    return when {
        !hasResponseBody(method, status) -> BodyFraming.Length(0)
        encodings.isNotEmpty() && (!isChunked || lengths.isNotEmpty()) ->
            throw IOException("the response has another framing than one length or one chunked encoding")
        isChunked -> BodyFraming.Chunked
        lengths.isEmpty() -> BodyFraming.UntilClose
        else -> BodyFraming.Length(contentLength(lengths) ?: throw IOException("Content-Length is not valid"))
    }
}

/** The length that all of [lengths] state, or null if there is none or one is not a length. */
internal fun contentLength(lengths: List<String>): Long? = lengths.distinct().singleOrNull()
    ?.takeIf { LENGTH.matches(it) }?.toLongOrNull()

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
