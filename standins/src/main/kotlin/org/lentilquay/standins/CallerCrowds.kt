/*
 * The kinds of callers that do not keep to the limits of an HTTP server. The sizes follow from the limits of the server
 * under test, so that the same kinds serve every listener.
 */
package org.lentilquay.standins

private const val LINE_PIECE_BYTES = 8_192
private const val SHORT_HEAD_LINES = 1_024
private const val BODY_PIECE_BYTES = 16_384
private const val SLOW_PIECE_BYTES = 4_096
private const val SLOW_PAUSE_MILLIS = 5L
private const val HEXADECIMAL = 16

/** The announced length of a body that is far over the limit, in multiples of the limit. */
private const val EXCESS_FACTOR = 256L

/**
 * The requests that callers send: their head up to the framing of the body, and the limits of the server. [start] ends
 * with a line break.
 */
data class CrowdTarget(val start: String, val headerBytes: Int, val bodyBytes: Int)

/** How the body of a request is framed. */
enum class CrowdFraming { LENGTH, CHUNKS }

/** Callers with a header line that does not end. */
fun endlessHeadLines(target: CrowdTarget, callers: Int): List<CallerBytes> =
    List(callers) { CallerBytes("${target.start}A: ", "a".repeat(LINE_PIECE_BYTES), ENDLESS) }

/** Callers whose header lines do not end. */
fun endlessHeads(target: CrowdTarget, callers: Int): List<CallerBytes> =
    List(callers) { CallerBytes(target.start, "A: b\r\n".repeat(SHORT_HEAD_LINES), ENDLESS) }

/** Callers whose head is longer than the limit by a few bytes. */
fun excessiveHeads(target: CrowdTarget, callers: Int): List<CallerBytes> =
    List(callers) { CallerBytes(target.start, "A: ${"a".repeat(target.headerBytes)}\r\n\r\n", 1) }

/** Callers whose head is within the limit and stops before its last byte. */
fun unfinishedHeads(target: CrowdTarget, callers: Int): List<CallerBytes> = List(callers) {
    val line = "A: ${"a".repeat(target.headerBytes - target.start.length - LINE_RESERVE_BYTES)}\r\n\r"
    CallerBytes(target.start, line, 1)
}

/** Callers that send empty lines without end in place of a request. */
fun emptyLines(callers: Int): List<CallerBytes> =
    List(callers) { CallerBytes("", "\r\n".repeat(LINE_PIECE_BYTES), ENDLESS) }

/** Callers with a body of about the greatest length that is allowed, which lacks its last byte or its last chunk. */
fun unfinishedBodies(target: CrowdTarget, framing: CrowdFraming, isSlow: Boolean, callers: Int): List<CallerBytes> {
    val pieceBytes = if (isSlow) SLOW_PIECE_BYTES else BODY_PIECE_BYTES
    val pieces = (target.bodyBytes - 1L) / pieceBytes
    val pauseMillis = if (isSlow) SLOW_PAUSE_MILLIS else 0
    return List(callers) {
        when (framing) {
            CrowdFraming.LENGTH -> {
                val head = "${target.start}Content-Length: ${pieces * pieceBytes + 1}\r\n\r\n"
                CallerBytes(head, "x".repeat(pieceBytes), pieces, pauseMillis)
            }
            CrowdFraming.CHUNKS -> CallerBytes(chunkedHead(target), chunk(pieceBytes), pieces, pauseMillis)
        }
    }
}

/** Callers with a body far over the limit. */
fun excessiveBodies(target: CrowdTarget, framing: CrowdFraming, callers: Int): List<CallerBytes> = List(callers) {
    when (framing) {
        CrowdFraming.LENGTH -> {
            val head = "${target.start}Content-Length: ${target.bodyBytes * EXCESS_FACTOR}\r\n\r\n"
            CallerBytes(head, "x".repeat(BODY_PIECE_BYTES), ENDLESS)
        }
        CrowdFraming.CHUNKS -> CallerBytes(chunkedHead(target), chunk(BODY_PIECE_BYTES), ENDLESS)
    }
}

/** Callers that send nothing. */
fun silentCallers(callers: Int): List<CallerBytes> = List(callers) { CallerBytes("") }

/** Callers that send whole requests without end and take no response. */
fun deafCallers(target: CrowdTarget, callers: Int): List<CallerBytes> =
    List(callers) { CallerBytes("", "${target.start}Content-Length: 0\r\n\r\n", ENDLESS, readsResponses = false) }

/** All kinds of callers at once, [callers] altogether. */
fun mixedCallers(target: CrowdTarget, callers: Int): List<CallerBytes> {
    val kinds = listOf<(Int) -> List<CallerBytes>>(
        { endlessHeadLines(target, it) },
        { endlessHeads(target, it) },
        { excessiveHeads(target, it) },
        { unfinishedHeads(target, it) },
        { emptyLines(it) },
        { unfinishedBodies(target, CrowdFraming.LENGTH, isSlow = false, it) },
        { unfinishedBodies(target, CrowdFraming.CHUNKS, isSlow = false, it) },
        { unfinishedBodies(target, CrowdFraming.LENGTH, isSlow = true, it) },
        { excessiveBodies(target, CrowdFraming.LENGTH, it) },
        { excessiveBodies(target, CrowdFraming.CHUNKS, it) },
        { silentCallers(it) },
        { deafCallers(target, it) },
    )
    return kinds.flatMap { it(callers / kinds.size) }
}

private const val LINE_RESERVE_BYTES = 64

private fun chunkedHead(target: CrowdTarget) = "${target.start}Transfer-Encoding: chunked\r\n\r\n"

private fun chunk(bytes: Int) = "${bytes.toString(HEXADECIMAL)}\r\n${"x".repeat(bytes)}\r\n"
