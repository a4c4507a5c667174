package org.lentilquay.transport

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.lentilquay.transport.http.IpAddress
import java.net.ServerSocket
import java.net.Socket

private const val TIMEOUT_MILLIS = 15_000L

/** Runs [use] with a connection and the plain socket of its other side, and closes both. */
internal suspend fun connected(use: suspend (TcpConnection, Socket) -> Unit) {
    val listener = ServerSocket(0)
    val network = TcpNetwork()
    try {
        val opened = checkNotNull(network.connect(IpAddress("127.0.0.1", listener.localPort), TIMEOUT_MILLIS))
        val other = withContext(Dispatchers.IO) { listener.accept() }
        other.use { opened.use { withTimeout(TIMEOUT_MILLIS) { use(opened, other) } } }
    } finally {
        network.close()
        listener.close()
    }
}
