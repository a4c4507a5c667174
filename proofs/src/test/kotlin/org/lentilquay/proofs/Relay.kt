/*
 * A TCP relay in front of the peer listener of one VM. It reads the name of the opening VM from the first frame of each
 * connection, so that each direction between two VMs can be cut on its own: existing connections are dropped and new
 * ones are refused.
 */
package org.lentilquay.proofs

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.lentilquay.protocol.Hello
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val BACKLOG = 64

class Relay(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val cut = ConcurrentHashMap.newKeySet<String>()
    private val open = ConcurrentHashMap<Socket, String>()
    private val cbor = Cbor { ignoreUnknownKeys = true }

    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) quietly { listener.accept().let { thread(isDaemon = true) { forward(it) } } }
        }
    }

    /** Cuts the connections that the VMs [from] open. */
    fun cut(from: Set<String>) {
        cut += from
        open.filterValues { it in from }.keys.forEach { quietly { it.close() } }
    }

    fun restore() = cut.clear()

    override fun close() {
        listener.close()
        open.keys.forEach { quietly { it.close() } }
    }

    private fun forward(opening: Socket) = opening.use {
        quietly {
            val input = DataInputStream(opening.getInputStream())
            val hello = ByteArray(input.readInt()).also(input::readFully)
            val from = cbor.decodeFromByteArray<Hello>(hello).vm.text
            if (from in cut) return@quietly
            Socket(InetAddress.getLoopbackAddress(), targetPort).use { target ->
                target.tcpNoDelay = true
                opening.tcpNoDelay = true
                open[opening] = from
                // A cut between the check and the entry into the map must not leave this connection open.
                if (from in cut) return@quietly
                DataOutputStream(target.getOutputStream()).apply { writeInt(hello.size) }.write(hello)
                thread(isDaemon = true) {
                    opening.use { quietly { target.getInputStream().transferTo(opening.getOutputStream()) } }
                }
                input.transferTo(target.getOutputStream())
            }
        }
        open.remove(opening)
    }
}

/** Runs [action]; that a connection ends is expected here. */
internal fun quietly(action: () -> Unit) {
    try {
        action()
    } catch (@Suppress("SwallowedException") ended: IOException) {
        return
    }
}
