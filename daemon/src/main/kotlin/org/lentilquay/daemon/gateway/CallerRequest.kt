/*
 * A request as a caller sent it, checked so far that it can be read in one way only.
 */
package org.lentilquay.daemon.gateway

import io.ktor.http.cio.Request
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.AdapterName
import org.lentilquay.transport.http.BodyFraming
import org.lentilquay.transport.http.CONTENT_LENGTH
import org.lentilquay.transport.http.TRANSFER_ENCODING
import org.lentilquay.transport.http.headersOf

private val TARGET = Regex("/[\\x21\\x22\\x24-\\x7e]*")
private val METHOD = Regex("[A-Z]{1,16}")
private val HEADER_NAME = Regex("[A-Za-z0-9!#$%&'*+.^_`|~-]+")
private val DIGITS = Regex("""\d{1,15}""")

/** Bytes that a header takes besides its name and value. */
private const val HEADER_OVERHEAD = 4

/** Headers of requests and answers that concern one connection only, in lower case. */
internal val CONNECTION_HEADERS = setOf(
    "connection",
    "content-length",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
)

/** Request headers that the gateway answers or writes itself, in lower case. */
private val OWN_HEADERS = CONNECTION_HEADERS + setOf("expect", "host")

/** The head of a request. */
class CallerHead(val method: String, val target: String, val headers: List<Pair<String, String>>) {
    val path: String = target.substringBefore('?')

    /** The only value of the header [name], or null if there is none. */
    fun header(name: String): String? = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second

    fun all(name: String): List<String> = headers.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }

    val isClosing: Boolean get() = all("Connection").any { it.contains("close", ignoreCase = true) }

    /** The headers that go on to a backend server, without those in [reserved]. */
    fun forwarded(reserved: Set<String>): List<Pair<String, String>> {
        val named = all("Connection").flatMap { it.split(',') }.mapTo(HashSet()) { it.trim().lowercase() }
        return headers.filter { (name, _) ->
            val lower = name.lowercase()
            lower !in OWN_HEADERS && lower !in reserved && lower !in named
        }
    }
}

/** A whole request. */
class CallerRequest(val head: CallerHead, val body: ByteArray, val arrivedAt: Long)

/** What reading a head led to. */
internal sealed interface HeadResult {
    class Read(val head: CallerHead, val framing: BodyFraming) : HeadResult

    data class Faulty(val failure: Failure) : HeadResult
}

/** Checks the head of [request]; anything that two readers could take in two ways is refused. */
internal fun callerHead(request: Request, maximumHeaderBytes: Int): HeadResult {
    val head = CallerHead(request.method.value, request.uri.toString(), headersOf(request))
    val size = head.headers.sumOf { (name, value) -> name.length + value.length + HEADER_OVERHEAD } + head.target.length
    return when {
        size > maximumHeaderBytes -> faulty("headers longer than $maximumHeaderBytes bytes")
        request.version.toString() != "HTTP/1.1" -> faulty("only HTTP/1.1 is supported")
        !METHOD.matches(head.method) || !TARGET.matches(head.target) -> faulty("unreadable request line")
        !head.headers.all(::isPlain) -> faulty("unreadable header")
        head.all("Host").size != 1 -> faulty("a request needs one Host header")
        else -> framed(head)
    }
}

/** Finds the framing of the body; a request with two framings could hide another request. */
private fun framed(head: CallerHead): HeadResult {
    val lengths = head.all(CONTENT_LENGTH)
    val encodings = head.all(TRANSFER_ENCODING)
    return when {
        encodings.isNotEmpty() && lengths.isNotEmpty() -> faulty("both length and transfer encoding")
        encodings.size > 1 || encodings.any { !it.trim().equals("chunked", ignoreCase = true) } ->
            faulty("unsupported transfer encoding")
        lengths.size > 1 || lengths.any { !DIGITS.matches(it) } -> faulty("unreadable length")
        encodings.isNotEmpty() -> HeadResult.Read(head, BodyFraming.Chunked)
        else -> HeadResult.Read(head, BodyFraming.Length(lengths.firstOrNull()?.toLong() ?: 0))
    }
}

/** The base model and, after a slash, the adapter that [text] names. */
internal fun modelOf(text: String): Pair<String, AdapterName?> {
    val slash = text.indexOf('/')
    if (slash < 0) return text to null
    val model = text.substring(0, slash)
    return model to AdapterName(model, text.substring(slash + 1))
}

/** The sum of the counts in [text], or null if it is not a list of counts. */
internal fun tokenCount(text: String?): Long? {
    val counts = text?.split(',')?.map { it.trim().toLongOrNull() ?: return null } ?: return null
    return counts.sum().takeIf { counts.all { count -> count >= 0 } }
}

private fun isPlain(header: Pair<String, String>): Boolean =
    HEADER_NAME.matches(header.first) && header.second.none { it.isISOControl() && it != '\t' }

private fun faulty(message: String) = HeadResult.Faulty(Failure(ErrorKind.MALFORMED_REQUEST, message))
