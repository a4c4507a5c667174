/*
 * The HTTP listener of all stand-ins: a Ktor CIO server on the loopback address that can be closed and reopened on the
 * same port, and that can close a connection without a response. All times are milliseconds.
 */
package org.lentilquay.standins.internal

import io.ktor.http.ContentType
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.application.createApplicationPlugin
import io.ktor.server.application.hooks.CallFailed
import io.ktor.server.application.install
import io.ktor.server.cio.CIO
import io.ktor.server.cio.CIOApplicationEngine
import io.ktor.server.engine.EmbeddedServer
import io.ktor.server.engine.applicationEnvironment
import io.ktor.server.engine.connector
import io.ktor.server.engine.embeddedServer
import io.ktor.server.http.HttpRequestLifecycle
import io.ktor.server.request.receiveText
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.routing
import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.slf4j.helpers.NOPLogger
import java.net.BindException

internal const val LOOPBACK = "127.0.0.1"

/** Long, so that no idle connection in a client's pool is closed at the moment the client reuses it. */
private const val IDLE_SECONDS = 600
private const val BIND_ATTEMPTS = 50
private const val BIND_PAUSE_MILLIS = 100L

/** CIO's name for the coroutine that serves one connection. */
private const val CONNECTION_COROUTINE = "http-pipeline"

/** Ignores unknown fields, as the published interfaces do, and writes fields that have their default value. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Listens on [requestedPort] of the loopback address; 0 picks a free port, which is kept when it reopens. */
internal class Listener(requestedPort: Int, private val routes: Route.() -> Unit) {
    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null
    private var wasOpen = false

    var port: Int = requestedPort
        private set

    @Synchronized
    fun open() {
        if (server != null) return
        // When the listener reopens, another socket may have taken the free port for a moment.
        repeat(if (wasOpen) BIND_ATTEMPTS - 1 else 0) {
            try {
                return openOnce()
            } catch (_: BindException) {
                Thread.sleep(BIND_PAUSE_MILLIS)
            }
        }
        openOnce()
    }

    @Synchronized
    fun close() {
        server?.stop(0, 0)
        server = null
    }

    /** Closes open connections and refuses new ones for [millis]. */
    fun closeFor(millis: Long, scope: CoroutineScope) {
        // Asynchronous, since closing waits for the request handlers and the caller may be one of them.
        scope.launch(Dispatchers.IO) {
            close()
            delay(millis)
            open()
        }
    }

    private fun openOnce() {
        // Ktor would log each start and each aborted connection.
        val environment = applicationEnvironment { log = NOPLogger.NOP_LOGGER }
        val opened = embeddedServer(CIO, environment, {
            reuseAddress = true
            connectionIdleTimeoutSeconds = IDLE_SECONDS
            connector {
                host = LOOPBACK
                port = this@Listener.port
            }
        }) {
            // Without this plugin, a handler notices a closed connection only when it writes.
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            install(malformedBodyHandler)
            routing { routes() }
        }
        opened.start(wait = false)
        port = runBlocking { opened.engine.resolvedConnectors().first().port }
        server = opened
        wasOpen = true
    }
}

/** Responds to a malformed body with status 400 instead of 500. */
private val malformedBodyHandler = createApplicationPlugin("MalformedBodies") {
    on(CallFailed) { call, cause ->
        if (cause is SerializationException) {
            call.refuse(HttpStatusCode.BadRequest, "malformed_request", cause.message.orEmpty())
        }
    }
}

/** Closes the connection without a response, or in the middle of one. Never returns. */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun cutConnection(): Nothing {
    generateSequence(currentCoroutineContext()[Job]) { it.parent }
        .first { (it as? CoroutineScope)?.coroutineContext?.get(CoroutineName)?.name == CONNECTION_COROUTINE }
        .cancel()
    awaitCancellation()
}

/** Responds with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(wireJson.encodeToString(value), ContentType.Application.Json, status)

/** Reads the body as JSON; an empty body stands for an empty object. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T =
    wireJson.decodeFromString(receiveText().ifBlank { "{}" })
