/*
 * Accepts connections on one address, for callers as well as for readiness checks and metrics.
 */
package org.lentilquay.daemon.gateway

import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.lentilquay.coordination.callers.RoomDecision
import org.lentilquay.coordination.callers.roomForConnection
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.runSuspendCatching
import java.util.concurrent.ConcurrentHashMap

/** Delay after a failed accept, for example when there are no free file descriptors. */
private const val ACCEPT_RETRY_MILLIS = 50L

/** Interval at which a new connection that waits for room looks for some; others wait in the queue of the system. */
private const val ROOM_POLL_MILLIS = 20L

/** Interval at which the acceptor looks whether a connection that it has closed has given up its descriptor. */
private const val CLOSE_POLL_MILLIS = 1L

/** Longest time for which a caller may keep a write of its response waiting. */
private const val MAXIMUM_WRITE_MILLIS = 10_000L

/** While connections arrive at shorter intervals, the listener stays open, because closing it resets waiting ones. */
private const val QUIET_MILLIS = 50L

/** Longest time for which the listener waits for such an interval. */
private const val MAXIMUM_QUIET_WAIT_MILLIS = 500L

/**
 * What all callers of a process may make it hold: [bodies] for all its listeners, and [maximumConnections] for each. A
 * new connection beyond them takes the place of one without a request in progress.
 */
internal class CallerCapacity(
    private val now: () -> Long,
    val maximumConnections: Int = Int.MAX_VALUE,
    val refusals: CallerRefusals = CallerRefusals(now),
    val bodies: RequestBodyBudget = RequestBodyBudget(now = now),
) {
    /** The same for another listener of the process, with [maximumConnections] of its own. */
    fun forListener(maximumConnections: Int) = CallerCapacity(now, maximumConnections, refusals, bodies)
}

internal class GatewayListener(
    private val network: TcpNetwork,
    private val handler: CallerHandler,
    private val limits: () -> CallerLimits?,
    private val isStopping: () -> Boolean,
    private val scope: CoroutineScope,
    private val now: () -> Long,
    private val capacity: CallerCapacity = CallerCapacity(now),
) {
    private val connections = ConcurrentHashMap.newKeySet<CallerConnection>()
    private var socket: ServerSocket? = null

    /** Number of connections on which a request is being handled. */
    val busyConnections: Int get() = connections.count { it.isBusy }

    /** Number of open connections. */
    val openConnections: Int get() = connections.size

    @Volatile
    private var acceptedAt = now()

    /** Starts to listen on [address], which has the form `ip:port`; returns the port, which the system picks for 0. */
    suspend fun start(address: String): Int {
        val target = requireNotNull(ipAddressOf(address)) { "$address is not of the form ip:port" }
        val listening = network.listen(target).also { socket = it }
        scope.launch { accept(listening) }
        return (listening.localAddress as InetSocketAddress).port
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
            if (makeRoom()) serve(connection) else connection.close()
        }
    }

    private fun serve(connection: TcpConnection) {
        val caller = CallerConnection(connection, handler, limits, isStopping, now, capacity.bodies, capacity.refusals)
        connections += caller
        scope.launch {
            try {
                runSuspendCatching { caller.serve() }
            } finally {
                connections -= caller
            }
        }
    }

    /** Makes room for a new connection; returns false if all connections have a request in progress. */
    private suspend fun makeRoom(): Boolean {
        while (connections.size >= capacity.maximumConnections) {
            val open = connections.size
            when (val decision = roomForConnection(connections, now()) { it.state }) {
                is RoomDecision.Close -> {
                    capacity.refusals.closedForRoom(decision.connection.state.stage.name.lowercase(), open)
                    decision.connection.closeForRoom()
                    while (decision.connection in connections) delay(CLOSE_POLL_MILLIS)
                }
                RoomDecision.Wait -> delay(ROOM_POLL_MILLIS)
                RoomDecision.Refuse -> {
                    capacity.refusals.closedForRoom(stage = null, open)
                    return false
                }
            }
        }
        return true
    }

    private val ServerSocket.isClosed: Boolean get() = socketContext.isCompleted
}
