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

internal class GatewayListener(
    private val network: TcpNetwork,
    private val handler: CallerHandler,
    private val limits: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private var socket: ServerSocket? = null

    /** Number of connections on which a request is being handled. */
    val busyConnections: Int get() = connections.count { it.isBusy }

    /** Starts to listen on [address], which has the form `ip:port`. */
    suspend fun start(address: String) {
        val target = requireNotNull(ipAddressOf(address)) { "$address is not of the form ip:port" }
        val listening = network.listen(target).also { socket = it }
        scope.launch { accept(listening) }
    }

    /** Stops accepting connections; open ones stay open. */
    fun stopAccepting() {
        socket?.close()
    }

    /** Closes the connections on which no request is being handled. */
    fun closeIdle() = connections.forEach { it.closeIfIdle() }

    private suspend fun accept(listening: ServerSocket) {
        while (scope.isActive && !listening.isClosed) {
            val connection = runSuspendCatching { network.accept(listening) }.getOrNull()
            if (connection == null) {
                delay(ACCEPT_RETRY_MILLIS)
                continue
            }
            val caller = CallerConnection(connection, handler, limits, isStopping, now)
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
