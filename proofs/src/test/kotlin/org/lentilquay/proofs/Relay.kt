/*
 * A TCP relay in front of the peer listener of one VM. It reads the name of the opening VM from the first frame of each
 * connection. The connections that a VM opens can be cut: existing ones are dropped and new ones are refused. Or the
 * bytes of one direction can be lost, as with a one-way cut of the network: connections stay open and fall silent.
 */
package org.lentilquay.proofs

import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.lentilquay.protocol.Hello
import java.io.DataInputStream
import java.io.DataOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val BACKLOG = 64
private const val BUFFER_BYTES = 8_192

class Relay(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val cut = ConcurrentHashMap.newKeySet<String>()
    private val silentFrom = ConcurrentHashMap.newKeySet<String>()
    private val silentTo = ConcurrentHashMap.newKeySet<String>()
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

    /** Loses the bytes that the VMs [from] send here on the connections that they open. */
    fun loseFrom(from: Set<String>) {
        silentFrom += from
    }

    /** Loses the bytes that are sent to the VMs [to] on the connections that they open. */
    fun loseTo(to: Set<String>) {
        silentTo += to
    }

    fun restore() {
        val silent = silentFrom + silentTo
        listOf(cut, silentFrom, silentTo).forEach { it.clear() }
        // A connection that has lost bytes cannot be used again.
        open.filterValues { it in silent }.keys.forEach { quietly { it.close() } }
    }

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
                if (from !in silentFrom) {
                    DataOutputStream(target.getOutputStream()).apply { writeInt(hello.size) }.write(hello)
                }
                thread(isDaemon = true) {
                    opening.use {
                        quietly { pass(target.getInputStream(), opening.getOutputStream()) { from in silentTo } }
                    }
                }
                pass(input, target.getOutputStream()) { from in silentFrom }
            }
        }
        open.remove(opening)
    }

    private fun pass(input: InputStream, output: OutputStream, isLost: () -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            if (!isLost()) output.write(buffer, 0, count)
        }
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
