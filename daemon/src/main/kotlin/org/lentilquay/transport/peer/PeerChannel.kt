/*
 * The connection of this VM to one other VM, opened on demand. After a failed attempt, calls fail at once until a short
 * back-off has passed, so that a dead VM costs its callers no waiting.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
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

private const val FIRST_BACK_OFF_MILLIS = 50L
private const val LONGEST_BACK_OFF_MILLIS = 800L
private const val NANOS_PER_MILLI = 1_000_000L

/**
 * A connection on which a call timed out and nothing arrived for this long is given up. Without this, a connection to a
 * VM that vanished without closing would stay in use for the many minutes of TCP retransmission.
 */
private const val SILENCE_MILLIS = 2_000L

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
    private val places = Semaphore(options.callsInProgress)
    private val lock = Any()
    private var address: String? = null
    private var opening: Deferred<ConnectResult>? = null
    private var backOffMillis = 0L
    private var retryAtNanos = 0L

    val isOpen: Boolean get() = synchronized(lock) { ready()?.isOpen ?: false }

    suspend fun call(address: String, request: PeerRequest): PeerCallResult = places.withPermit {
        // A connection that closed before it took the frame has sent nothing, so one more attempt is safe.
        attemptCall(address, request) ?: attemptCall(address, request)
            ?: PeerCallResult.Unreachable("connection closed", sent = false)
    }

    /** Closes a connection that is idle or takes no data. */
    fun sweep(idleMillis: Long) {
        val connection = synchronized(lock) { ready() }
        connection?.closeIfStalled()
        connection?.closeIfIdle(idleMillis)
    }

    fun closeIfSilent() {
        val connection = synchronized(lock) { ready() } ?: return
        if (connection.silentMillis > SILENCE_MILLIS) {
            traffic.cut(CutReason.STALLED)
            connection.close("no data for $SILENCE_MILLIS ms")
        }
    }

    fun close() {
        synchronized(lock) { ready() }?.close("client closed")
    }

    private suspend fun attemptCall(address: String, request: PeerRequest): PeerCallResult? =
        when (
            val result = runSuspendCatching { connect(address).await() }
                .getOrElse { ConnectResult.Failed("client closed") }
        ) {
            is ConnectResult.Failed -> PeerCallResult.Unreachable(result.reason, sent = false)
            is ConnectResult.Connected -> result.connection.call(request)
        }

    /** The present connection or the attempt to open one. The attempt does not belong to any single call. */
    private fun connect(address: String): Deferred<ConnectResult> = synchronized(lock) {
        val present = opening
        val ready = ready()
        val isNewAddress = address != this.address
        when {
            present != null && !isNewAddress && (!present.isCompleted || ready?.isOpen == true) -> present
            !isNewAddress && System.nanoTime() < retryAtNanos ->
                CompletableDeferred(ConnectResult.Failed("connecting failed less than $backOffMillis ms ago"))
            else -> {
                if (present != null) {
                    scope.launch { (present.await() as? ConnectResult.Connected)?.connection?.close("replaced") }
                }
                this.address = address
                scope.async { open(address) }.also { opening = it }
            }
        }
    }

    @OptIn(kotlinx.coroutines.ExperimentalCoroutinesApi::class)
    private fun ready(): PeerClientConnection? {
        val completed = opening?.takeIf { it.isCompleted && it.getCompletionExceptionOrNull() == null }
        return (completed?.getCompleted() as? ConnectResult.Connected)?.connection
    }

    private suspend fun open(address: String): ConnectResult {
        val target = ipAddressOf(address) ?: return ConnectResult.Failed("$address is not of the form ip:port")
        val outcome = runSuspendCatching {
            val connection = network.connect(target, options.connectMillis)
                ?: throw IOException("not connected within ${options.connectMillis} ms")
            runSuspendCatching { shakeHands(connection) }.onFailure { connection.close() }.getOrThrow()
        }
        val failure = outcome.exceptionOrNull()
        if (failure is PeerProtocolException) traffic.cut(failure.reason)
        noteAttempt(succeeded = failure == null)
        return outcome.fold({ ConnectResult.Connected(it) }, { ConnectResult.Failed(describe(it)) })
    }

    private suspend fun shakeHands(connection: TcpConnection): PeerClientConnection {
        val remote = withTimeoutOrNull(options.connectMillis) {
            openingHandshake(connection.input, connection.output, identity, vm, secret)
        } ?: throw PeerProtocolException(CutReason.STALLED, "handshake not finished")
        return PeerClientConnection(PeerConnection(connection, remote, traffic), traffic)
            .also { scope.launch { it.run() } }
    }

    private fun noteAttempt(succeeded: Boolean) = synchronized(lock) {
        backOffMillis = when {
            succeeded -> 0
            backOffMillis == 0L -> FIRST_BACK_OFF_MILLIS
            else -> minOf(backOffMillis * 2, LONGEST_BACK_OFF_MILLIS)
        }
        retryAtNanos = System.nanoTime() + backOffMillis * NANOS_PER_MILLI
    }
}
