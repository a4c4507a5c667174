/*
 * Keeps the servers of the daemon from sending bodies that their callers do not expect. Ktor's CIO server (3.5.2) sends
 * the body of a response to HEAD, and of one with the status 204 or 304, if the handler gives one.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.ContentType
import io.ktor.http.Headers
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.createApplicationPlugin
import io.ktor.server.application.hooks.ResponseBodyReadyForSend
import io.ktor.server.request.httpMethod
import org.lentilquay.transport.http.hasResponseBody
import org.lentilquay.transport.http.mayStateLength

/** Replaces the content of responses that have no body by their head. */
val BodilessResponses = createApplicationPlugin("BodilessResponses") {
    on(ResponseBodyReadyForSend) { call, content ->
        val status = (content.status ?: call.response.status() ?: HttpStatusCode.OK).value
        if (!hasResponseBody(call.request.httpMethod.value, status)) transformBodyTo(HeadOnly(content, status))
    }
}

private class HeadOnly(private val original: OutgoingContent, status: Int) : OutgoingContent.NoContent() {
    override val status: HttpStatusCode? get() = original.status
    override val contentType: ContentType? get() = original.contentType
    override val contentLength: Long? = original.contentLength?.takeIf { mayStateLength(status) }
    override val headers: Headers get() = original.headers
}
