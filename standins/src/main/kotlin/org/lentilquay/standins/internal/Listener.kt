/*
 * The HTTP listener that all stand-ins share: a Ktor CIO server on the loopback address that can be closed and opened
 * again on the same port, and that can cut a caller's connection without an answer. All times are milliseconds.
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

/** Long, so that no idle connection of a client's pool is closed just when the client uses it again. */
private const val IDLE_SECONDS = 600
private const val BIND_ATTEMPTS = 50
private const val BIND_PAUSE_MILLIS = 100L

/** CIO's name for the coroutine that serves one connection. */
private const val CONNECTION_COROUTINE = "http-pipeline"

/** Lenient towards unknown fields, as the published interfaces are; defaults are written so that readers see them. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
}

/** Listens on [requestedPort] of the loopback address; 0 takes a free port, which later openings keep. */
internal class Listener(requestedPort: Int, private val routes: Route.() -> Unit) {
    private var server: EmbeddedServer<CIOApplicationEngine, CIOApplicationEngine.Configuration>? = null
    private var wasOpen = false

    var port: Int = requestedPort
        private set

    @Synchronized
    fun open() {
        if (server != null) return
        // At a later opening, another socket may hold the port for a moment, since it was free in between.
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

    /** Refuses connections for [millis], and cuts those that are open. */
    fun closeFor(millis: Long, scope: CoroutineScope) {
        // Closing waits for the handlers, of which the caller may be one.
        scope.launch(Dispatchers.IO) {
            close()
            delay(millis)
            open()
        }
    }

    private fun openOnce() {
        // Ktor logs each start and each cut connection, which is noise here.
        val environment = applicationEnvironment { log = NOPLogger.NOP_LOGGER }
        val opened = embeddedServer(CIO, environment, {
            reuseAddress = true
            connectionIdleTimeoutSeconds = IDLE_SECONDS
            connector {
                host = LOOPBACK
                port = this@Listener.port
            }
        }) {
            // Without this plugin a handler would not learn that its caller has gone before it writes.
            install(HttpRequestLifecycle) { cancelCallOnClose = true }
            install(malformedBodies)
            routing { routes() }
        }
        opened.start(wait = false)
        port = runBlocking { opened.engine.resolvedConnectors().first().port }
        server = opened
        wasOpen = true
    }
}

/** Answers a body that cannot be read with status 400 in place of 500. */
private val malformedBodies = createApplicationPlugin("MalformedBodies") {
    on(CallFailed) { call, cause ->
        if (cause is SerializationException) {
            call.refuse(HttpStatusCode.BadRequest, "malformed_request", cause.message.orEmpty())
        }
    }
}

/** Closes the caller's connection without an answer, or in the middle of one. Never returns. */
@OptIn(ExperimentalCoroutinesApi::class)
internal suspend fun cutConnection(): Nothing {
    generateSequence(currentCoroutineContext()[Job]) { it.parent }
        .first { (it as? CoroutineScope)?.coroutineContext?.get(CoroutineName)?.name == CONNECTION_COROUTINE }
        .cancel()
    awaitCancellation()
}

/** Answers with [value] as JSON. */
internal suspend inline fun <reified T> ApplicationCall.respondJson(
    value: T,
    status: HttpStatusCode = HttpStatusCode.OK,
) = respondText(wireJson.encodeToString(value), ContentType.Application.Json, status)

/** Reads the body as JSON; an empty body stands for an empty object. */
internal suspend inline fun <reified T> ApplicationCall.receiveJson(): T =
    wireJson.decodeFromString(receiveText().ifBlank { "{}" })
