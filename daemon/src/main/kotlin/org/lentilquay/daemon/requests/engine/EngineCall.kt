/*
 * One request of a caller and its response as Ktor's routes see them.
 */
package org.lentilquay.daemon.requests.engine

import io.ktor.http.Headers
import io.ktor.http.HttpMethod
import io.ktor.http.Parameters
import io.ktor.http.RequestConnectionPoint
import io.ktor.http.parseQueryString
import io.ktor.server.application.Application
import io.ktor.server.application.PipelineCall
import io.ktor.server.engine.BaseApplicationCall
import io.ktor.server.engine.BaseApplicationRequest
import io.ktor.server.request.RequestCookies
import io.ktor.util.AttributeKey
import io.ktor.utils.io.ByteReadChannel
import org.lentilquay.daemon.gateway.CallerHead
import org.lentilquay.daemon.gateway.CallerRequest
import org.lentilquay.daemon.gateway.ResponseWriter
import kotlin.coroutines.CoroutineContext

/** When the head of a request arrived, see [monotonicMillis]. */
internal val ARRIVED_AT = AttributeKey<Long>("ArrivedAt")

internal class EngineCall(
    application: Application,
    request: CallerRequest,
    writer: ResponseWriter,
    override val coroutineContext: CoroutineContext,
) : BaseApplicationCall(application) {
    override val request = EngineRequest(this, request)
    override val response = EngineResponse(this, writer)

    init {
        putResponseAttribute()
        attributes.put(ARRIVED_AT, request.arrivedAt)
    }
}

internal class EngineRequest(call: PipelineCall, private val request: CallerRequest) : BaseApplicationRequest(call) {
    override val engineHeaders: Headers = Headers.build { request.head.headers.forEach { append(it.first, it.second) } }
    override val engineReceiveChannel: ByteReadChannel = ByteReadChannel(request.body)
    override val local: RequestConnectionPoint = HeadConnectionPoint(request.head)
    override val cookies: RequestCookies by lazy { RequestCookies(this) }
    override val queryParameters: Parameters by lazy { parseQueryString(query) }
    override val rawQueryParameters: Parameters by lazy { parseQueryString(query, decode = false) }

    private val query: String get() = request.head.target.substringAfter('?', "")
}

/** The addresses of a connection; those that no route reads are unknown. */
private class HeadConnectionPoint(head: CallerHead) : RequestConnectionPoint {
    private val authority = head.header("Host").orEmpty()

    override val scheme = "http"
    override val version = "HTTP/1.1"
    override val uri: String = head.target
    override val method = HttpMethod(head.method)
    override val serverHost: String = authority.substringBeforeLast(':')
    override val serverPort: Int = authority.substringAfterLast(':', "").toIntOrNull() ?: HTTP_PORT
    override val localHost: String get() = serverHost
    override val localPort: Int get() = serverPort
    override val localAddress = UNKNOWN
    override val remoteHost = UNKNOWN
    override val remoteAddress = UNKNOWN
    override val remotePort = 0

    @Deprecated("Use localPort or serverPort instead")
    override val port: Int get() = serverPort

    @Deprecated("Use localHost or serverHost instead")
    override val host: String get() = serverHost

    private companion object {
        const val HTTP_PORT = 80
        const val UNKNOWN = "unknown"
    }
}
