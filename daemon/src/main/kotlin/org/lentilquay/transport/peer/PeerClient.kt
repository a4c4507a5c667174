/*
 * Client for calls to other VMs. There is at most one connection to each VM; it is opened by the first call, carries
 * concurrent calls, and is closed after 60 s without use. Thread-safe; times are in milliseconds.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.TcpNetwork
import java.util.concurrent.ConcurrentHashMap

private const val DEFAULT_IDLE_MILLIS = 60_000L

/**
 * Longer than the timeout of a probe, because a connection attempt continues for later calls after the call that
 * started it has timed out. With 400 ms, the first call of a new process failed on a loaded machine.
 */
private const val DEFAULT_CONNECT_MILLIS = 1_000L
private const val DEFAULT_MAXIMUM_CALLS = 1_024
private const val SWEEPS_PER_IDLE_PERIOD = 4
private const val MAXIMUM_SWEEP_INTERVAL_MILLIS = 5_000L

/** How a call to another VM ended. */
sealed interface PeerCallResult {
    data class Answered(val answer: PeerAnswer) : PeerCallResult

    /** The connection failed. If [sent] is false, the other VM has certainly not received the request. */
    data class Unreachable(val reason: String, val sent: Boolean) : PeerCallResult

    /** No answer within the timeout; the other VM may have handled the request or may still do so. */
    data object TimedOut : PeerCallResult
}

/** Timeouts and limits of a [PeerClient]. */
data class PeerClientOptions(
    /** A connection that carried no frame for this long is closed. */
    val idleMillis: Long = DEFAULT_IDLE_MILLIS,
    /** Timeout of opening a connection, and separately of the handshake. */
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    /** Maximum concurrent calls to one VM; further calls wait, which counts towards their timeouts. */
    val callsInProgress: Int = DEFAULT_MAXIMUM_CALLS,
)

/** Calls other VMs, authenticated as [identity]. */
class PeerClient(
    private val identity: PeerIdentity,
    private val secret: Secret,
    private val traffic: PeerTrafficRecorder = PeerTrafficCounters(),
    private val options: PeerClientOptions = PeerClientOptions(),
) : AutoCloseable {
    private val network = TcpNetwork()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val channels = ConcurrentHashMap<VmId, PeerChannel>()

    /** Number of open connections. */
    val openConnections: Int get() = channels.values.count { it.isOpen }

    init {
        scope.launch {
            while (isActive) {
                delay(minOf(options.idleMillis / SWEEPS_PER_IDLE_PERIOD, MAXIMUM_SWEEP_INTERVAL_MILLIS))
                channels.values.forEach { it.sweep(options.idleMillis) }
            }
        }
    }

    /** Sends [request] to [vm] at [address] (`ip:port`) and waits up to [timeoutMillis] for the answer. */
    suspend fun call(vm: VmId, address: String, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        val channel =
            channels.computeIfAbsent(vm) { PeerChannel(it, identity, secret, traffic, options, network, scope) }
        val result = channel.call(address, request, timeoutMillis)
        if (result == PeerCallResult.TimedOut) channel.closeIfReceiveIdle()
        return result
    }

    /** Closes all connections; calls in progress end as [PeerCallResult.Unreachable]. */
    override fun close() {
        channels.values.forEach { it.close() }
        scope.cancel()
        network.close()
    }
}
