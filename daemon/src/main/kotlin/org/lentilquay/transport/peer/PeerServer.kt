/*
 * Accepts connections from other VMs and answers their requests. A connection that violates the protocol is closed and
 * counted, without effect on others. Limits: concurrent handshakes, duration of a handshake, concurrent requests on a
 * connection, duration of a write, and idle time. The duration of a request is not limited here, so handlers must end
 * by themselves.
 */
package org.lentilquay.transport.peer

import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.IpAddress
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.runSuspendCatching
import java.util.concurrent.ConcurrentHashMap

private const val MAXIMUM_HANDSHAKES = 64
private const val MAXIMUM_REQUESTS_PER_CONNECTION = 1_024
private const val HANDSHAKE_MILLIS = 2_000L
private const val ACCEPT_RETRY_DELAY_MILLIS = 100L
private const val SWEEP_INTERVAL_MILLIS = 5_000L

/** Longer than the 60 s after which the client closes an idle connection: for clients that vanished without closing. */
private const val IDLE_TIMEOUT_MILLIS = 120_000L

/** Answers the requests of other VMs. Called concurrently. */
fun interface PeerHandler {
    /** Answers [request], which came from the authenticated VM [from]. */
    suspend fun handle(from: VmId, request: PeerRequest): PeerAnswer
}

/** A listening peer server. */
class RunningPeerServer internal constructor(
    /** The bound address, with the actual port if port 0 was requested. */
    val address: String,
    private val scope: CoroutineScope,
    private val listener: ServerSocket,
    private val network: TcpNetwork,
) : AutoCloseable {
    /** Stops listening and closes all connections. */
    override fun close() {
        listener.close()
        scope.cancel()
        network.close()
    }
}

/**
 * Listens at [address] (`ip:port`) as [identity].
 *
 * @throws java.io.IOException if the address cannot be bound
 */
suspend fun startPeerServer(
    address: String,
    identity: PeerIdentity,
    secret: Secret,
    handler: PeerHandler,
    traffic: PeerTrafficRecorder = PeerTrafficCounters(),
): RunningPeerServer {
    val target = requireNotNull(ipAddressOf(address)) { "$address is not of the form ip:port" }
    val network = TcpNetwork()
    val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    val listener = runCatching { network.listen(target) }.onFailure { network.close() }.getOrThrow()
    val acceptor = PeerAcceptor(identity, secret, handler, traffic, network, scope)
    scope.launch { acceptor.accept(listener) }
    scope.launch { acceptor.sweep() }
    val bound = listener.localAddress as InetSocketAddress
    return RunningPeerServer(IpAddress(target.ip, bound.port).toString(), scope, listener, network)
}

private class PeerAcceptor(
    private val identity: PeerIdentity,
    private val secret: Secret,
    private val handler: PeerHandler,
    private val traffic: PeerTrafficRecorder,
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
) {
    private val handshakes = Semaphore(MAXIMUM_HANDSHAKES)
    private val connections = ConcurrentHashMap.newKeySet<PeerConnection>()

    suspend fun accept(listener: ServerSocket) {
        while (scope.isActive) {
            val connection = runSuspendCatching { network.accept(listener) }.getOrNull()
            when {
                // Accepting fails while the process has no free file descriptors.
                connection == null -> delay(ACCEPT_RETRY_DELAY_MILLIS)
                handshakes.tryAcquire() -> scope.launch { serve(connection) }
                else -> {
                    traffic.cut(CutReason.TOO_MANY)
                    connection.close()
                }
            }
        }
    }

    suspend fun sweep() {
        while (scope.isActive) {
            delay(SWEEP_INTERVAL_MILLIS)
            connections.forEach { it.closeIfStalled() }
            connections.filter { it.unusedMillis > IDLE_TIMEOUT_MILLIS }.forEach { it.close() }
        }
    }

    private suspend fun serve(connection: TcpConnection) = connection.use {
        val remote = try {
            runSuspendCatching {
                withTimeoutOrNull(HANDSHAKE_MILLIS) { acceptingHandshake(it.input, it.output, identity, secret) }
                    ?: throw PeerProtocolException(CutReason.STALLED, "handshake not completed in time")
            }.onFailure { if (it is PeerProtocolException) traffic.cut(it.reason) }.getOrNull()
        } finally {
            handshakes.release()
        }
        if (remote != null) serveRequests(PeerConnection(it, remote, traffic))
    }

    private suspend fun serveRequests(connection: PeerConnection) {
        val requestPermits = Semaphore(MAXIMUM_REQUESTS_PER_CONNECTION)
        connections += connection
        try {
            connection.run { frame ->
                val request = frame.request
                    ?: throw PeerProtocolException(CutReason.MALFORMED, "received an answer instead of a request")
                // While the limit is reached, no more frames are read, which slows the client down.
                requestPermits.acquire()
                // A handler that answers without suspending needs no thread switch.
                scope.launch(start = CoroutineStart.UNDISPATCHED) {
                    try {
                        respond(connection, frame.correlation, request)
                    } finally {
                        requestPermits.release()
                    }
                }
            }
        } finally {
            connections -= connection
        }
    }

    private suspend fun respond(connection: PeerConnection, correlation: Long, request: PeerRequest) {
        val answer = runSuspendCatching { handler.handle(connection.remote.vm, request) }
            .getOrElse { refused("the request failed with an internal error") }
        if (connection.send(PeerFrame(correlation, answer = answer)) == SendResult.TOO_LARGE) {
            connection.send(PeerFrame(correlation, answer = refused("the answer exceeds the maximum frame length")))
        }
    }
}

private fun refused(message: String) = PeerAnswer.Refused(Failure(ErrorKind.INTERNAL, message))
