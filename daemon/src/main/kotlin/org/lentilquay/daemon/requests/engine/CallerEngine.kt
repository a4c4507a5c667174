/*
 * A Ktor engine over the listener of the gateway, so that both interfaces read requests within the same bounds. A
 * request has arrived in full before a route handles it. Ktor's CIO engine (3.5.2) has no limit on the lines of a head,
 * on connections and on the memory of bodies, and reports a chunked body that is cut between two chunks as complete.
 */
package org.lentilquay.daemon.requests.engine

import io.ktor.events.Events
import io.ktor.server.application.Application
import io.ktor.server.application.ApplicationEnvironment
import io.ktor.server.application.ServerReady
import io.ktor.server.engine.ApplicationEngine
import io.ktor.server.engine.ApplicationEngineFactory
import io.ktor.server.engine.BaseApplicationEngine
import io.ktor.server.engine.EngineConnectorBuilder
import io.ktor.server.engine.EngineConnectorConfig
import io.ktor.util.pipeline.execute
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.lentilquay.daemon.gateway.CallerCapacity
import org.lentilquay.daemon.gateway.CallerHandler
import org.lentilquay.daemon.gateway.CallerRequest
import org.lentilquay.daemon.gateway.GatewayListener
import org.lentilquay.daemon.gateway.RenderedFailure
import org.lentilquay.daemon.gateway.ResponseWriter
import org.lentilquay.daemon.requests.renderFailure
import org.lentilquay.state.Failure
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TcpNetwork

private const val STOP_POLL_MILLIS = 20L
private const val NANOS_PER_MILLI = 1_000_000L

/** Limits of requests without settings, for listeners that only tests open. */
@Suppress("MagicNumber") // The numbers are named by the parameters.
private val DEFAULT_LIMITS =
    CallerLimits(headerBytes = 16_384, bodyBytes = 1 shl 20, headerTimeoutMillis = 10_000, idleTimeoutMillis = 45_000)

/** The clock of the engine, in milliseconds. */
internal fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

/** What bounds the requests of an engine. */
internal class CallerEngineConfiguration : ApplicationEngine.Configuration() {
    var limits: CallerLimits = DEFAULT_LIMITS
    var capacity: CallerCapacity = CallerCapacity(::monotonicMillis)

    /** Renders the failure of a request that is refused before it has been read. */
    var render: (Failure) -> RenderedFailure = ::renderFailure
}

internal object CallerEngineFactory : ApplicationEngineFactory<CallerEngine, CallerEngineConfiguration> {
    override fun configuration(configure: CallerEngineConfiguration.() -> Unit) =
        CallerEngineConfiguration().apply(configure)

    override fun create(
        environment: ApplicationEnvironment,
        monitor: Events,
        developmentMode: Boolean,
        configuration: CallerEngineConfiguration,
        applicationProvider: () -> Application,
    ) = CallerEngine(environment, monitor, developmentMode, configuration, applicationProvider)
}

internal class CallerEngine(
    environment: ApplicationEnvironment,
    monitor: Events,
    developmentMode: Boolean,
    private val configuration: CallerEngineConfiguration,
    private val application: () -> Application,
) : BaseApplicationEngine(environment, monitor, developmentMode) {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val network = TcpNetwork()

    @Volatile
    private var isStopping = false
    private val listener = GatewayListener(
        network,
        RoutedHandler(),
        { configuration.limits },
        { isStopping },
        scope,
        ::monotonicMillis,
        configuration.capacity,
    )

    /** Connections on which a request is being read or handled. */
    val busyConnections: Int get() = listener.busyConnections

    override fun start(wait: Boolean): ApplicationEngine {
        require(!wait) { "the engine runs in threads of its own" }
        val resolved = configuration.connectors.map { connector ->
            val port = runBlocking { listener.start("${connector.host}:${connector.port}") }
            resolved(connector, port)
        }
        resolvedConnectorsDeferred.complete(resolved)
        monitor.raise(ServerReady, environment)
        return this
    }

    override fun stop(gracePeriodMillis: Long, timeoutMillis: Long) {
        isStopping = true
        runBlocking {
            listener.stopAccepting()
            val until = monotonicMillis() + maxOf(gracePeriodMillis, timeoutMillis)
            while (listener.openConnections > 0 && monotonicMillis() < until) {
                listener.closeIdle()
                delay(STOP_POLL_MILLIS)
            }
        }
        scope.cancel()
        network.close()
    }

    private fun resolved(connector: EngineConnectorConfig, port: Int): EngineConnectorConfig =
        EngineConnectorBuilder().apply {
            host = connector.host
            this.port = port
        }

    private inner class RoutedHandler : CallerHandler {
        override suspend fun handle(request: CallerRequest, writer: ResponseWriter) {
            val call = EngineCall(application(), request, writer, currentCoroutineContext())
            pipeline.execute(call)
        }

        override fun render(failure: Failure): RenderedFailure = configuration.render(failure)
    }
}
