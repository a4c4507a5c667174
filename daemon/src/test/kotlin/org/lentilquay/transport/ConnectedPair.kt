package org.lentilquay.transport

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.lentilquay.transport.http.IpAddress
import java.net.ServerSocket
import java.net.Socket

private const val TIMEOUT_MILLIS = 15_000L

/** Runs [use] with a connection that is opened here and the plain socket of its other side, and closes both. */
internal suspend fun connected(use: suspend (TcpConnection, Socket) -> Unit) {
    val listener = ServerSocket(0)
    val network = TcpNetwork()
    try {
        val opened = checkNotNull(network.connect(IpAddress("127.0.0.1", listener.localPort), TIMEOUT_MILLIS))
        val other = withContext(Dispatchers.IO) { listener.accept() }
        useBoth(opened, other, use)
    } finally {
        network.close()
        listener.close()
    }
}

/** The same with a connection that is accepted here. */
internal suspend fun accepted(use: suspend (TcpConnection, Socket) -> Unit) {
    val network = TcpNetwork()
    val port = ServerSocket(0).use { it.localPort }
    val listener = network.listen(IpAddress("127.0.0.1", port))
    try {
        val other = withContext(Dispatchers.IO) { Socket("127.0.0.1", port) }
        useBoth(network.accept(listener), other, use)
    } finally {
        listener.close()
        network.close()
    }
}

private suspend fun useBoth(own: TcpConnection, other: Socket, use: suspend (TcpConnection, Socket) -> Unit) =
    other.use { own.use { withTimeout(TIMEOUT_MILLIS) { use(own, other) } } }
