/*
 * What the head of an answer says of the backend server itself: that it is about to stop, or for how long it takes no
 * further requests from this VM.
 */
package org.lentilquay.transport.http

private const val UNAVAILABLE_STATUS = 503
private const val RETRY_AFTER = "Retry-After"
private const val IS_LEAVING = "1"
private const val MILLIS_PER_SECOND = 1_000.0

/** The pause after a refusal whose `Retry-After` is not a number of seconds. */
internal const val UNREADABLE_PAUSE_MILLIS = 1_000L

/** Longest pause that a server is given, so that an absurd value does not exclude it for good. */
internal const val MAXIMUM_PAUSE_MILLIS = 60_000L

/** The longest part of a `Retry-After` value that is logged. */
private const val MAXIMUM_LOGGED_VALUE = 32

/** A time without requests, by the value of `Retry-After`; [isReadable] is false if that was not used as it is. */
data class RequestedPause(val millis: Long, val value: String, val isReadable: Boolean)

data class AnswerNotice(val isLeaving: Boolean, val pause: RequestedPause?)

/**
 * The notice in the head of an answer with [status] and [headers], or null if it says nothing of its server. The header
 * [leavingHeader] is 1 on all answers of a server that is leaving.
 */
internal fun answerNotice(status: Int, headers: List<Pair<String, String>>, leavingHeader: String): AnswerNotice? {
    fun header(name: String) = headers.firstOrNull { it.first.equals(name, ignoreCase = true) }?.second
    val isLeaving = header(leavingHeader)?.trim() == IS_LEAVING
    val pause = if (status == UNAVAILABLE_STATUS) header(RETRY_AFTER)?.let(::requestedPause) else null
    return if (isLeaving || pause != null) AnswerNotice(isLeaving, pause) else null
}

/** Reads [value], a number of seconds that may have a fraction. */
internal fun requestedPause(value: String): RequestedPause {
    val logged = value.take(MAXIMUM_LOGGED_VALUE)
    val seconds = value.trim().toDoubleOrNull()?.takeIf { it >= 0 }
        ?: return RequestedPause(UNREADABLE_PAUSE_MILLIS, logged, isReadable = false)
    val millis = kotlin.math.ceil(seconds * MILLIS_PER_SECOND)
    val isAbsurd = millis > MAXIMUM_PAUSE_MILLIS
    return RequestedPause(if (isAbsurd) MAXIMUM_PAUSE_MILLIS else millis.toLong(), logged, !isAbsurd)
}
