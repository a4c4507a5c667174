/*
 * A caller that keeps to the limits: it sends a request on a new connection, reads the response, and repeats the
 * request after a refusal that says that it has not run, when `Retry-After` allows it.
 */
package org.lentilquay.standins

import org.lentilquay.standins.internal.LOOPBACK
import java.io.IOException
import java.net.Socket

private const val MILLIS_PER_SECOND = 1_000
private const val NANOS_PER_MILLI = 1_000_000L

/** Pause after a refusal without `Retry-After` or a closed connection. */
private const val DEFAULT_RETRY_MILLIS = 200L
private const val OK = 200

/** Statuses that say that a request has not run and may be sent again. */
@Suppress("MagicNumber") // HTTP statuses.
private val REPEATABLE_STATUSES = setOf(408, 421, 429, 503)

/** A response; [status] is null if the connection ended without one. */
data class PlainResponse(val status: Int?, val retryAfterMillis: Long? = null)

/** Sends a request with [head], which ends before `Content-Length`, and [body] to [port]. */
fun askOnce(port: Int, head: String, body: ByteArray, timeoutMillis: Int): PlainResponse = try {
    Socket(LOOPBACK, port).use { socket ->
        socket.soTimeout = timeoutMillis
        val output = socket.getOutputStream()
        output.write("${head}Content-Length: ${body.size}\r\n\r\n".encodeToByteArray() + body)
        val reader = socket.getInputStream().bufferedReader(Charsets.ISO_8859_1)
        val status = reader.readLine()?.split(' ')?.getOrNull(1)?.toIntOrNull()
        val headers = generateSequence(reader::readLine).takeWhile { it.isNotEmpty() }.toList()
        val retryAfter = headers.firstOrNull { it.startsWith("Retry-After:", ignoreCase = true) }
            ?.substringAfter(':')?.trim()?.toDoubleOrNull()
        PlainResponse(status, retryAfter?.let { (it * MILLIS_PER_SECOND).toLong() })
    }
} catch (_: IOException) {
    // The response tells that there was none.
    PlainResponse(null)
}

/** Repeats a request as its responses allow it until it succeeds, for [patienceMillis] at the most. */
fun askUntilServed(port: Int, head: String, body: ByteArray, patienceMillis: Int): PlainResponse {
    val until = System.nanoTime() + patienceMillis * NANOS_PER_MILLI
    while (true) {
        val leftMillis = ((until - System.nanoTime()) / NANOS_PER_MILLI).toInt()
        val response = askOnce(port, head, body, leftMillis.coerceAtLeast(1))
        val isLast = response.status == OK || System.nanoTime() >= until
        if (isLast || response.status != null && response.status !in REPEATABLE_STATUSES) return response
        Thread.sleep(response.retryAfterMillis ?: DEFAULT_RETRY_MILLIS)
    }
}
