/*
 * A TCP relay in front of the peer listener of one VM that injects network faults. It reads the name of the connecting
 * VM from the first frame of each connection. Connections from a VM can be blocked: existing ones are closed and new
 * ones are refused. Bytes of one direction can be dropped, as in a one-way partition: the connections stay open.
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

class PeerRelay(private val targetPort: Int) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val blocked = ConcurrentHashMap.newKeySet<String>()
    private val droppedFrom = ConcurrentHashMap.newKeySet<String>()
    private val droppedTo = ConcurrentHashMap.newKeySet<String>()
    private val connections = ConcurrentHashMap<Socket, String>()
    private val cbor = Cbor { ignoreUnknownKeys = true }

    val address: String = "127.0.0.1:${listener.localPort}"

    init {
        thread(isDaemon = true) {
            while (!listener.isClosed) {
                ignoringIoErrors { listener.accept().let { thread(isDaemon = true) { forward(it) } } }
            }
        }
    }

    /** Closes the connections that the VMs [from] opened, and refuses new ones. */
    fun blockConnections(from: Set<String>) {
        blocked += from
        connections.filterValues { it in from }.keys.forEach { ignoringIoErrors { it.close() } }
    }

    /** Drops the bytes that the VMs [from] send on connections that they opened. */
    fun dropFrom(from: Set<String>) {
        droppedFrom += from
    }

    /** Drops the bytes that are sent to the VMs [to] on connections that they opened. */
    fun dropTo(to: Set<String>) {
        droppedTo += to
    }

    /** Ends all faults. */
    fun restore() {
        val affected = droppedFrom + droppedTo
        listOf(blocked, droppedFrom, droppedTo).forEach { it.clear() }
        // A connection on which bytes were dropped is corrupt, so it must be opened anew.
        connections.filterValues { it in affected }.keys.forEach { ignoringIoErrors { it.close() } }
    }

    override fun close() {
        listener.close()
        connections.keys.forEach { ignoringIoErrors { it.close() } }
    }

    private fun forward(source: Socket) = source.use {
        ignoringIoErrors {
            val input = DataInputStream(source.getInputStream())
            val hello = ByteArray(input.readInt()).also(input::readFully)
            val from = cbor.decodeFromByteArray<Hello>(hello).vm.text
            if (from in blocked) return@ignoringIoErrors
            Socket(InetAddress.getLoopbackAddress(), targetPort).use { target ->
                target.tcpNoDelay = true
                source.tcpNoDelay = true
                connections[source] = from
                // The VM may have been blocked between the first check and the entry into the map.
                if (from in blocked) return@ignoringIoErrors
                if (from !in droppedFrom) {
                    DataOutputStream(target.getOutputStream()).apply { writeInt(hello.size) }.write(hello)
                }
                thread(isDaemon = true) {
                    source.use {
                        ignoringIoErrors {
                            copy(target.getInputStream(), source.getOutputStream()) { from in droppedTo }
                        }
                    }
                }
                copy(input, target.getOutputStream()) { from in droppedFrom }
            }
        }
        connections.remove(source)
    }

    private fun copy(input: InputStream, output: OutputStream, isDropped: () -> Boolean) {
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = input.read(buffer)
            if (count < 0) return
            if (!isDropped()) output.write(buffer, 0, count)
        }
    }
}

/** Runs [action] and ignores an [IOException], as the end of a connection is expected. */
internal fun ignoringIoErrors(action: () -> Unit) {
    try {
        action()
    } catch (@Suppress("SwallowedException") ended: IOException) {
        return
    }
}
