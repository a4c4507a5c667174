/*
 * Accepts connections on one address, for callers as well as for readiness checks and metrics.
 */
package org.lentilquay.daemon.gateway

import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.runSuspendCatching
import java.util.concurrent.ConcurrentHashMap

/** Delay after a failed accept, for example when there are no free file descriptors. */
private const val ACCEPT_RETRY_MILLIS = 50L

/** Longest time for which a caller may keep a write of its response waiting. */
private const val MAXIMUM_WRITE_MILLIS = 10_000L

/** While connections arrive at shorter intervals, the listener stays open, because closing it resets waiting ones. */
private const val QUIET_MILLIS = 50L

/** Longest time for which the listener waits for such an interval. */
private const val MAXIMUM_QUIET_WAIT_MILLIS = 500L

internal class GatewayListener(
    private val network: TcpNetwork,
    private val handler: CallerHandler,
    private val limits: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private val bodies = RequestBodyBudget(now = now)
    private var socket: ServerSocket? = null

    /** Number of connections on which a request is being handled. */
    val busyConnections: Int get() = connections.count { it.isBusy }

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    @Volatile
    private var acceptedAt = now()

    /** Starts to listen on [address], which has the form `ip:port`. */
    suspend fun start(address: String) {
        val target = requireNotNull(ipAddressOf(address)) { "$address is not of the form ip:port" }
        val listening = network.listen(target).also { socket = it }
        scope.launch { accept(listening) }
    }

    /** Stops accepting connections, once no more are waiting to be accepted; open ones stay open. */
    suspend fun stopAccepting() {
        val until = now() + MAXIMUM_QUIET_WAIT_MILLIS
        while (now() < until && now() - acceptedAt < QUIET_MILLIS) delay(QUIET_MILLIS)
        socket?.close()
    }

    /** Closes the connections on which no request has come for some time. */
    fun closeIdle() = connections.forEach { it.closeIfIdle() }

    /** Cancels all requests in progress, because the time of a planned stop has passed. */
    fun endRequests() = connections.forEach { it.endRequest() }

    /** Closes the connections whose callers have taken no data for [maximumMillis]. Call it periodically. */
    fun closeStalled(maximumMillis: Long = MAXIMUM_WRITE_MILLIS) =
        connections.forEach { it.closeIfStalled(maximumMillis) }

    private suspend fun accept(listening: ServerSocket) {
        while (scope.isActive && !listening.isClosed) {
            val connection = runSuspendCatching { network.accept(listening) }.getOrNull()
            if (connection == null) {
                delay(ACCEPT_RETRY_MILLIS)
                continue
            }
            acceptedAt = now()
            val caller = CallerConnection(connection, handler, limits, isStopping, now, bodies)
            connections += caller
            scope.launch {
                try {
                    runSuspendCatching { caller.serve() }
                } finally {
                    connections -= caller
                }
            }
        }
    }

    private val ServerSocket.isClosed: Boolean get() = socketContext.isCompleted
}
