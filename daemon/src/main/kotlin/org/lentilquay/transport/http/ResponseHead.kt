/*
 * Reads the head of a response from a server that may send bytes without end. Ktor's parser bounds the length of a line
 * but not the number of lines, and no timeout interrupts it while bytes arrive. So the lines are collected up to a
 * limit first and parsed then.
 */
package org.lentilquay.transport.http

import io.ktor.http.cio.Response
import io.ktor.http.cio.parseResponse
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readLineStrict
import kotlinx.io.IOException

/** Maximum length of a response head. Sound servers repeat a few request headers, which are limited to 16 KiB. */
private const val MAXIMUM_HEAD_BYTES = 32_768

/** Maximum number of lines of a head. The time of Ktor's map of headers grows with the square of their number. */
private const val MAXIMUM_HEAD_LINES = 256

/** Maximum length of one line of a head; the limit of Ktor's parser. */
private const val MAXIMUM_HEAD_LINE_BYTES = 8_192L
private const val LINE_END = "\r\n"

/** The statuses of HTTP (RFC 9110, section 15); a server that sends another one is faulty. */
private const val FIRST_STATUS = 100
private const val LAST_STATUS = 599
private const val SWITCHING_PROTOCOLS = 101

/** The next response head of [input]; throws an [IOException] if there is none, if it is too long or not valid. */
internal suspend fun readResponseHead(input: ByteReadChannel): Response {
    val head = StringBuilder()
    var lines = 0
    do {
        val line = input.readLineStrict(MAXIMUM_HEAD_LINE_BYTES)
            ?: throw IOException("connection closed ${if (lines == 0) "without a response" else "within a head"}")
        head.append(line).append(LINE_END)
        lines++
        if (lines > MAXIMUM_HEAD_LINES || head.length > MAXIMUM_HEAD_BYTES) {
            throw IOException("response head exceeds $MAXIMUM_HEAD_LINES lines or $MAXIMUM_HEAD_BYTES bytes")
        }
    } while (line.isNotEmpty())
    return checkNotNull(parseResponse(ByteReadChannel(head.toString().encodeToByteArray()))).also(::requireValidStatus)
}

/** No request asks for another protocol, so a switch of protocols is not valid either. */
private fun requireValidStatus(response: Response) {
    if (response.status in FIRST_STATUS..LAST_STATUS && response.status != SWITCHING_PROTOCOLS) return
    response.release()
    throw IOException("the status ${response.status} of the response is not valid")
}
