/*
 * One HTTP request over the Ktor client, with a precise statement about what may have reached the server. The Ktor CIO
 * engine opens a connection of its own for every request that is not pipelined. This costs one TCP handshake per
 * request and makes the statement exact: a failed connect is the only failure before the first byte, and a request
 * never meets a connection that the server is closing at that moment. Nothing is retried and no redirect is followed,
 * because both would send a request twice.
 *
 * Times are in milliseconds. Failures are results, not exceptions; only the cancellation of the caller is thrown.
 */
package org.lentilquay.transport.http

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.engine.cio.FailToConnectException
import io.ktor.client.engine.cio.endpoint
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.prepareRequest
import io.ktor.client.statement.HttpResponse
import io.ktor.client.statement.bodyAsChannel
import io.ktor.client.statement.request
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.HttpStatusCode
import io.ktor.utils.io.ByteReadChannel
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.job
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.net.ConnectException
import java.net.NoRouteToHostException
import java.nio.channels.UnresolvedAddressException

/** Connections at once over all servers; far above the in-flight limits, which are the real bound. */
private const val MAXIMUM_CONNECTIONS = 20_000

private val BODILESS = setOf(HttpStatusCode.NoContent, HttpStatusCode.NotModified)

/** How one HTTP request went up to the answer headers. */
internal sealed interface Exchange {
    /** No byte of the request was written. */
    data class NotWritten(val reason: String) : Exchange

    /** The connection stood and no answer headers came; the request may have reached the server. */
    data class Lost(val reason: String) : Exchange

    /** Answer headers arrived; the body is still to be read. */
    class Answered(val response: HttpResponse, val body: ByteReadChannel, private val connection: Job) :
        Exchange, AutoCloseable {
        /** The length of the body that the server declared, or null if it declared none or the answer has no body. */
        val declaredLength: Long? = response.headers[HttpHeaders.ContentLength]?.toLongOrNull()
            ?.takeUnless { response.request.method == HttpMethod.Head || response.status in BODILESS }

        /** Cuts the connection, whether or not the body was read to its end. */
        override fun close() = connection.cancel()
    }
}

/** Sends HTTP requests, each on a connection of its own that lives until the answer is closed. */
internal class ExchangeClient(connectMillis: Long) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
    private val client = HttpClient(CIO) {
        expectSuccess = false
        followRedirects = false
        engine {
            // The engine's own bound on the whole exchange would cut long streams.
            requestTimeout = 0
            maxConnectionsCount = MAXIMUM_CONNECTIONS
            endpoint {
                maxConnectionsPerRoute = MAXIMUM_CONNECTIONS
                connectAttempts = 1
                connectTimeout = connectMillis
            }
        }
    }

    /** Sends [request] and waits up to [answerMillis] for the answer headers. The caller closes the answer. */
    suspend fun open(request: HttpRequestBuilder, answerMillis: Long): Exchange {
        val head = CompletableDeferred<Exchange>()
        val connection = scope.launch {
            val failure = attempt {
                client.prepareRequest(request).execute { response ->
                    val connection = currentCoroutineContext().job
                    if (head.complete(Exchange.Answered(response, response.bodyAsChannel(), connection))) {
                        awaitCancellation()
                    }
                }
            }.exceptionOrNull()
            head.complete(failureOf(failure))
        }
        val exchange = try {
            withTimeoutOrNull(answerMillis) { head.await() }
        } finally {
            if (!head.isCompleted) connection.cancel()
        }
        if (exchange == null) connection.cancel()
        return exchange ?: Exchange.Lost("no answer within $answerMillis ms")
    }

    override fun close() {
        scope.cancel()
        client.close()
    }

    private fun failureOf(failure: Throwable?): Exchange =
        if (failure != null && isConnectFailure(failure)) {
            Exchange.NotWritten(describe(failure))
        } else {
            Exchange.Lost(if (failure == null) "the answer ended early" else describe(failure))
        }
}

/** Whether [failure] arose while the connection was being opened, before any byte of the request was written. */
internal fun isConnectFailure(failure: Throwable): Boolean = generateSequence(failure) { it.cause }.any {
    it is ConnectException || it is FailToConnectException || it is NoRouteToHostException ||
        it is UnresolvedAddressException
}

/**
 * Runs [block] and returns its failure as a result, unless the calling coroutine itself was cancelled. Ktor reports
 * some lost connections as cancellation exceptions, which must not be mistaken for the cancellation of the caller.
 */
internal suspend inline fun <T> attempt(block: () -> T): Result<T> = runCatching(block).onFailure { failure ->
    if (failure is Error) throw failure
    currentCoroutineContext().ensureActive()
}

/** The class and message of [failure] on one line. */
internal fun describe(failure: Throwable): String =
    listOfNotNull(failure::class.simpleName, failure.message?.lineSequence()?.first()).joinToString(": ")
