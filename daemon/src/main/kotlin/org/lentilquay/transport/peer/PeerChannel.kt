/*
 * Calls to one other VM over a connection that is opened on demand and reopened when it fails. After a failed attempt
 * to connect, calls fail immediately until a short backoff has passed, so that callers do not wait for a dead VM.
 * Thread-safe.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.io.IOException
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.describe
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.runSuspendCatching

private const val INITIAL_BACKOFF_MILLIS = 50L
private const val MAXIMUM_BACKOFF_MILLIS = 800L
private const val NANOS_PER_MILLI = 1_000_000L

/**
 * A connection on which a call timed out and nothing was received for this long is closed. Otherwise a connection to a
 * VM that vanished without closing it would stay in use for many minutes of TCP retransmission.
 */
private const val MAXIMUM_RECEIVE_IDLE_MILLIS = 2_000L

/** Result of a connection attempt, including the handshake. */
private sealed interface ConnectResult {
    class Connected(val connection: PeerClientConnection) : ConnectResult

    data class Failed(val reason: String) : ConnectResult
}

internal class PeerChannel(
    private val vm: VmId,
    private val identity: PeerIdentity,
    private val secret: Secret,
    private val traffic: PeerTrafficRecorder,
    private val options: PeerClientOptions,
    private val network: TcpNetwork,
    private val scope: CoroutineScope,
) {
    private val callPermits = Semaphore(options.callsInProgress)
    private val lock = Any()
    private var address: String? = null
    private var connecting: Deferred<ConnectResult>? = null
    private var backoffMillis = 0L
    private var retryAtNanos = 0L

    val isOpen: Boolean get() = synchronized(lock) { openConnection()?.isOpen ?: false }

    /** Sends [request] and waits up to [timeoutMillis] for the answer, including the wait for a permit. */
    suspend fun call(address: String, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        val startedAt = System.nanoTime()
        val remaining = { timeoutMillis - (System.nanoTime() - startedAt) / NANOS_PER_MILLI }
        var hasPermit = false
        try {
            withTimeoutOrNull(timeoutMillis) {
                callPermits.acquire()
                hasPermit = true
            }
            if (!hasPermit) return PeerCallResult.TimedOut
            // Null means that the connection closed before the frame was queued, so one retry cannot send it twice.
            return attemptCall(address, request, remaining) ?: attemptCall(address, request, remaining)
                ?: PeerCallResult.Unreachable("connection closed", sent = false)
        } finally {
            if (hasPermit) callPermits.release()
        }
    }

    /** Closes the connection if it is idle or the other side takes no data. Called periodically. */
    fun sweep(idleMillis: Long) {
        val connection = synchronized(lock) { openConnection() }
        connection?.closeIfStalled()
        connection?.closeIfIdle(idleMillis)
    }

    /** Closes the connection if nothing was received on it for long; called after a call has timed out. */
    fun closeIfReceiveIdle() {
        val connection = synchronized(lock) { openConnection() } ?: return
        if (connection.receiveIdleMillis > MAXIMUM_RECEIVE_IDLE_MILLIS) {
            traffic.cut(CutReason.STALLED)
            connection.close("no data received for $MAXIMUM_RECEIVE_IDLE_MILLIS ms")
        }
    }

    fun close() {
        synchronized(lock) { openConnection() }?.close("client closed")
    }

    private suspend fun attemptCall(
        address: String,
        request: PeerRequest,
        remainingMillis: () -> Long,
    ): PeerCallResult? {
        val connected = runSuspendCatching { withTimeoutOrNull(remainingMillis()) { connect(address).await() } }
        return when (val result = connected.getOrElse { ConnectResult.Failed("client closed") }) {
            null -> PeerCallResult.TimedOut
            is ConnectResult.Failed -> PeerCallResult.Unreachable(result.reason, sent = false)
            is ConnectResult.Connected -> result.connection.call(request, remainingMillis)
        }
    }

    /** The open connection or the attempt in progress, which continues when the call that started it is cancelled. */
    private fun connect(address: String): Deferred<ConnectResult> = synchronized(lock) {
        val present = connecting
        val openConnection = openConnection()
        val isNewAddress = address != this.address
        when {
            present != null && !isNewAddress && (!present.isCompleted || openConnection?.isOpen == true) -> present
            !isNewAddress && System.nanoTime() < retryAtNanos ->
                CompletableDeferred(ConnectResult.Failed("a connection attempt failed less than $backoffMillis ms ago"))
            else -> {
                if (present != null) {
                    scope.launch { (present.await() as? ConnectResult.Connected)?.connection?.close("replaced") }
                }
                this.address = address
                scope.async { open(address) }.also { connecting = it }
            }
        }
    }

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun openConnection(): PeerClientConnection? {
        val completed = connecting?.takeIf { it.isCompleted && it.getCompletionExceptionOrNull() == null }
        return (completed?.getCompleted() as? ConnectResult.Connected)?.connection
    }

    private suspend fun open(address: String): ConnectResult {
        val target = ipAddressOf(address) ?: return ConnectResult.Failed("$address is not of the form ip:port")
        val outcome = runSuspendCatching {
            val connection = network.connect(target, options.connectMillis)
                ?: throw IOException("connection not established within ${options.connectMillis} ms")
            runSuspendCatching { authenticate(connection) }.onFailure { connection.close() }.getOrThrow()
        }
        val failure = outcome.exceptionOrNull()
        if (failure is PeerProtocolException) traffic.cut(failure.reason)
        updateBackoff(succeeded = failure == null)
        return outcome.fold({ ConnectResult.Connected(it) }, { ConnectResult.Failed(describe(it)) })
    }

    private suspend fun authenticate(connection: TcpConnection): PeerClientConnection {
        val remote = withTimeoutOrNull(options.connectMillis) {
            openingHandshake(connection.input, connection.output, identity, vm, secret)
        } ?: throw PeerProtocolException(CutReason.STALLED, "handshake not completed in time")
        return PeerClientConnection(PeerConnection(connection, remote, traffic), traffic)
            .also { scope.launch { it.run() } }
    }

    private fun updateBackoff(succeeded: Boolean) = synchronized(lock) {
        backoffMillis = when {
            succeeded -> 0
            backoffMillis == 0L -> INITIAL_BACKOFF_MILLIS
            else -> minOf(backoffMillis * 2, MAXIMUM_BACKOFF_MILLIS)
        }
        retryAtNanos = System.nanoTime() + backoffMillis * NANOS_PER_MILLI
    }
}
