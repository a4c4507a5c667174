/*
 * The fields of the log line of a request. A request without a success or a refusal has more of them, which tell who
 * ended it, whose deadline it had and what its caller received.
 */
package org.lentilquay.daemon.gateway

private const val FIRST_SERVER_ERROR_STATUS = 500
private const val UNAVAILABLE_STATUS = 503

/** Whether [status] is a success or a refusal; 0 stands for a response that was not completed. */
internal fun isAnswered(status: Int): Boolean =
    status in 1 until FIRST_SERVER_ERROR_STATUS || status == UNAVAILABLE_STATUS

/** The end of a request without a success or a refusal, at [endedAt]. [interruption] is null if it has a response. */
internal class Unanswered(val interruption: Interruption?, val writer: ResponseWriter, val endedAt: Long)

internal class RequestRecord(
    private val request: CallerRequest,
    private val routed: RoutedRequest?,
    private val status: Int,
    private val millis: Long,
    private val unanswered: Unanswered?,
) {
    fun fields(headerNames: HeaderNames): List<Pair<String, Any?>> = buildList {
        add("id" to (request.head.header(headerNames.requestId) ?: ""))
        add("status" to if (status == 0) "cut" else status)
        add("millis" to millis)
        add("route" to routed?.route?.name)
        add("team" to routed?.access?.team?.id)
        add("adapter" to routed?.adapter)
        add("tokens" to request.head.header(headerNames.tokens))
        if (unanswered != null) addAll(endFields(unanswered, request.head.header(headerNames.deadline)))
    }

    private fun endFields(end: Unanswered, callerWait: String?): List<Pair<String, Any?>> = listOf(
        "ended" to end.interruption?.text,
        "callerWaitMillis" to callerWait,
        "routeTimeoutMillis" to routed?.route?.timeoutMillis,
        "attempts" to routed?.route?.maximumAttempts,
        "writtenBytes" to end.writer.writtenBytes,
        "sinceWriteMillis" to end.writer.writtenAt?.let { end.endedAt - it },
        "ordinal" to request.ordinal,
    )
}
