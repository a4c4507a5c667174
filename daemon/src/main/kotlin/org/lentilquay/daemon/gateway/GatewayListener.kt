/*
 * Accepts connections of callers and of those that ask for readiness and metrics.
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

/** Pause after a failed accept, for example without free file descriptors, in milliseconds. */
private const val ACCEPT_RETRY_MILLIS = 50L

internal class GatewayListener(
    private val network: TcpNetwork,
    private val handler: CallerHandler,
    private val bounds: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private var socket: ServerSocket? = null

    /** Connections that serve a request now. */
    val busy: Int get() = connections.count { it.isBusy }

    /** Listens at [address] (`ip:port`). */
    suspend fun start(address: String) {
        val target = requireNotNull(ipAddressOf(address)) { "$address is not of the form ip:port" }
        val listening = network.listen(target).also { socket = it }
        scope.launch { accept(listening) }
    }

    /** Accepts no further connections. */
    fun stopAccepting() {
        socket?.close()
    }

    /** Closes connections without a request. */
    fun closeIdle() = connections.forEach { it.closeIfIdle() }

    private suspend fun accept(listening: ServerSocket) {
        while (scope.isActive && !listening.isClosed) {
            val connection = runSuspendCatching { network.accept(listening) }.getOrNull()
            if (connection == null) {
                delay(ACCEPT_RETRY_MILLIS)
                continue
            }
            val caller = CallerConnection(connection, handler, bounds, isStopping, now)
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
