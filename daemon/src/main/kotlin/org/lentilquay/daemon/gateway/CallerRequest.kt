/*
 * The request of a caller and the checks of its head. Anything that two HTTP parsers could read differently is
 * rejected, which prevents request smuggling.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.CONTENT_LENGTH
import org.lentilquay.transport.http.RequestHead
import org.lentilquay.transport.http.TRANSFER_ENCODING

private val REQUEST_TARGET = Regex("/[\\x21\\x22\\x24-\\x7e]*")
private val METHOD = Regex("[A-Z]{1,16}")
private const val CONNECT = "CONNECT"
private val HEADER_NAME = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")
private val DIGITS = Regex("""\d{1,15}""")

/** Bytes of a header line besides its name and value: colon, space and line end. */
private const val HEADER_OVERHEAD_BYTES = 4

/** Hop-by-hop headers, which concern one connection only and are not forwarded; in lower case. */
internal val HOP_BY_HOP_HEADERS = setOf(
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** Request headers that the gateway handles or sets itself, in lower case. */
private val GATEWAY_HEADERS = HOP_BY_HOP_HEADERS + setOf("expect", "host")

/** The request line and headers of a request. */
class CallerHead(val method: String, val target: String, val headers: List<Pair<String, String>>) {
    val path: String = target.substringBefore('?')

    /** The first value of the header [name], or null if it is absent. */
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    fun headerValues(name: String): List<String> =
        headers.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    val isClosing: Boolean get() = headerValues("Connection").any { it.contains("close", ignoreCase = true) }

    /** The headers to forward to a backend server, without hop-by-hop headers and those named in [reserved]. */
    fun forwarded(reserved: Set<String>): List<Pair<String, String>> {
        val named = headerValues("Connection").flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
        return headers.filter { (name, _) ->
            val lower = name.lowercase()
            lower !in GATEWAY_HEADERS && lower !in reserved && lower !in named
        }
    }
}

/**
 * A request with its complete body, the [ordinal]th on its connection. [arrivedAt] is when its head was read, in
 * monotonic milliseconds.
 */
class CallerRequest(val head: CallerHead, val body: ByteArray, val arrivedAt: Long, val ordinal: Int = 1)

/** The result of checking the head of a request. */
internal sealed interface HeadResult {
    class Read(val head: CallerHead, val framing: BodyFraming) : HeadResult

    data class Malformed(val failure: Failure) : HeadResult
}

/** Checks the head of a request and its size. */
internal fun callerHead(read: RequestHead, maximumHeaderBytes: Int): HeadResult {
    val head = CallerHead(read.method, read.target, read.headers)
    val size = head.headers.sumOf { (name, value) -> name.length + value.length + HEADER_OVERHEAD_BYTES } +
        head.target.length
    return when {
        size > maximumHeaderBytes -> HeadResult.Malformed(headTooLong(maximumHeaderBytes))
        read.version != "HTTP/1.1" -> malformed("only HTTP/1.1 is supported")
        // After a success to CONNECT the caller takes all further bytes for those of a tunnel.
        !METHOD.matches(head.method) || head.method == CONNECT || !REQUEST_TARGET.matches(head.target) ->
            malformed("the request line is not valid")
        !head.headers.all(::isPlain) -> malformed("a header is not valid")
        head.headerValues("Host").size != 1 -> malformed("exactly one Host header is required")
        else -> withFraming(head)
    }
}

internal fun headTooLong(maximumBytes: Int) =
    Failure(ErrorKind.HEAD_TOO_LARGE, "the head is longer than $maximumBytes bytes")

/** Determines the framing of the body; a request with two framings could smuggle another one. */
private fun withFraming(head: CallerHead): HeadResult {
    val lengths = head.headerValues(CONTENT_LENGTH)
    val encodings = head.headerValues(TRANSFER_ENCODING)
    return when {
        encodings.isNotEmpty() && lengths.isNotEmpty() ->
            malformed("Content-Length and Transfer-Encoding must not be combined")
        encodings.size > 1 || encodings.any { !it.trim().equals("chunked", ignoreCase = true) } ->
            malformed("the only supported transfer encoding is chunked")
        lengths.size > 1 || lengths.any { !DIGITS.matches(it) } -> malformed("the Content-Length is not valid")
        encodings.isNotEmpty() -> HeadResult.Read(head, BodyFraming.Chunked)
        else -> HeadResult.Read(head, BodyFraming.Length(lengths.firstOrNull()?.toLong() ?: 0))
    }
}

/** Splits [text] of the form `model` or `model/adapter` into base model and adapter. */
internal fun modelOf(text: String): Pair<String, AdapterName?> {
    val slash = text.indexOf('/')
    if (slash < 0) return text to null
    val model = text.substring(0, slash)
    return model to AdapterName(model, text.substring(slash + 1))
}

/** The sum of the comma-separated token counts in [text], or null if it is not a list of counts. */
internal fun tokenCount(text: String?): Long? {
    val counts = text?.split(',')?.map { it.trim().toLongOrNull() ?: return null } ?: return null
    return counts.sum().takeIf { counts.all { count -> count >= 0 } }
}

private fun isPlain(header: Pair<String, String>): Boolean =
    HEADER_NAME.matches(header.first) && header.second.none { it.isISOControl() && it != '\t' }

private fun malformed(message: String) = HeadResult.Malformed(Failure(ErrorKind.MALFORMED_REQUEST, message))
