/*
 * Calls other VMs. There is at most one connection to each VM; it is opened by the first call, carries any number of
 * calls at once, and is closed after 60 s without use. Times are in milliseconds.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import org.lentilquay.transport.TcpNetwork
import java.util.concurrent.ConcurrentHashMap

private const val DEFAULT_IDLE_MILLIS = 60_000L

/**
 * Longer than the bound of a probe: an attempt goes on for later calls after the call that began it has timed out, and
 * a first call of a new process on a loaded machine failed once with a bound of 400 ms.
 */
private const val DEFAULT_CONNECT_MILLIS = 1_000L
private const val DEFAULT_CALLS_IN_PROGRESS = 1_024
private const val SWEEPS_PER_IDLE_TIME = 4
private const val LONGEST_SWEEP_MILLIS = 5_000L

/** How a call to another VM ended. */
sealed interface PeerCallResult {
    data class Answered(val answer: PeerAnswer) : PeerCallResult

    /** No answer can come. If [sent] is false, the other VM has not seen the request. */
    data class Unreachable(val reason: String, val sent: Boolean) : PeerCallResult

    /** No answer came in time; the other VM may have handled the request, or may still do so. */
    data object TimedOut : PeerCallResult
}

/** The bounds of a [PeerClient]. */
data class PeerClientOptions(
    /** A connection without use for this long is closed. */
    val idleMillis: Long = DEFAULT_IDLE_MILLIS,
    /** Bound on opening a connection, and again on the handshake. */
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    /** Calls in progress to one VM; further calls wait within their own time bounds. */
    val callsInProgress: Int = DEFAULT_CALLS_IN_PROGRESS,
)

/** Calls other VMs as [identity]. */
class PeerClient(
    private val identity: PeerIdentity,
    private val secret: Secret,
    private val traffic: PeerTrafficRecorder = PeerTrafficCounters(),
    private val options: PeerClientOptions = PeerClientOptions(),
) : AutoCloseable {
    private val network = TcpNetwork()
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val links = ConcurrentHashMap<VmId, PeerChannel>()

    /** Connections that are open now. */
    val openConnections: Int get() = links.values.count { it.isOpen }

    init {
        scope.launch {
            while (isActive) {
                delay(minOf(options.idleMillis / SWEEPS_PER_IDLE_TIME, LONGEST_SWEEP_MILLIS))
                links.values.forEach { it.sweep(options.idleMillis) }
            }
        }
    }

    /** Sends [request] to [vm] at [address] (`ip:port`) and waits up to [timeoutMillis] for the answer. */
    suspend fun call(vm: VmId, address: String, request: PeerRequest, timeoutMillis: Long): PeerCallResult {
        val link = links.computeIfAbsent(vm) { PeerChannel(it, identity, secret, traffic, options, network, scope) }
        val result = withTimeoutOrNull(timeoutMillis) { link.call(address, request) }
        if (result == null) link.closeIfSilent()
        return result ?: PeerCallResult.TimedOut
    }

    /** Cuts all connections; calls in progress become unreachable. */
    override fun close() {
        links.values.forEach { it.close() }
        scope.cancel()
        network.close()
    }
}
