/*
 * Callers that do not keep to the limits of an HTTP server. Each has a plain socket and a thread, sends its bytes as
 * fast as the server takes them, stays connected, and connects again when the server closes the connection. A caller
 * reads responses only to notice that the connection was closed, unless it is told not to read at all.
 */
package org.lentilquay.standins

import org.lentilquay.standins.internal.LOOPBACK
import java.io.IOException
import java.io.OutputStream
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread

private const val RECONNECT_MILLIS = 50L
private const val CONNECT_MILLIS = 5_000
private const val JOIN_MILLIS = 5_000L

/** The number of [CallerBytes.repetitions] of a caller that sends until the server closes the connection. */
const val ENDLESS: Long = Long.MAX_VALUE

/** What a caller sends on each connection: [opening], and then [piece] again and again. */
class CallerBytes(
    val opening: String,
    val piece: String = "",
    val repetitions: Long = 0,
    /** Pause before each piece, in milliseconds. */
    val pauseMillis: Long = 0,
    val readsResponses: Boolean = true,
)

/** A running crowd; [close] closes all its connections. */
interface CallerCrowd : AutoCloseable {
    /** Connections on which all bytes have been sent and that are still open. */
    val waiting: Int
}

/** Starts one caller of the server on [port] for each of [callers]. */
fun callerCrowd(port: Int, callers: List<CallerBytes>): CallerCrowd = RunningCrowd(port, callers)

private class RunningCrowd(private val port: Int, callers: List<CallerBytes>) : CallerCrowd {
    private val sockets = ConcurrentHashMap.newKeySet<Socket>()
    private val finished = ConcurrentHashMap.newKeySet<Socket>()

    @Volatile
    private var isClosed = false

    private val threads = callers.mapIndexed { index, bytes ->
        thread(name = "crowd-$index", isDaemon = true) { while (!isClosed) call(bytes) }
    }

    override val waiting: Int get() = finished.size

    override fun close() {
        isClosed = true
        sockets.forEach(::closeQuietly)
        threads.forEach { it.join(JOIN_MILLIS) }
    }

    private fun call(bytes: CallerBytes) {
        val socket = Socket()
        sockets += socket
        try {
            socket.connect(InetSocketAddress(LOOPBACK, port), CONNECT_MILLIS)
            if (isClosed) return
            send(socket.getOutputStream(), bytes)
            finished += socket
            stayOpen(socket, bytes)
        } catch (_: IOException) {
            // The server has closed the connection, or this crowd ends; both are expected.
        } finally {
            finished -= socket
            sockets -= socket
            closeQuietly(socket)
        }
        if (!isClosed) Thread.sleep(RECONNECT_MILLIS)
    }

    private fun send(output: OutputStream, bytes: CallerBytes) {
        output.write(bytes.opening.encodeToByteArray())
        val piece = bytes.piece.encodeToByteArray()
        var sent = 0L
        while (sent < bytes.repetitions && !isClosed) {
            if (bytes.pauseMillis > 0) Thread.sleep(bytes.pauseMillis)
            output.write(piece)
            sent++
        }
    }

    private fun stayOpen(socket: Socket, bytes: CallerBytes) {
        if (!bytes.readsResponses) {
            while (!isClosed) Thread.sleep(RECONNECT_MILLIS)
            return
        }
        val input = socket.getInputStream()
        val discarded = ByteArray(DEFAULT_BUFFER_SIZE)
        while (input.read(discarded) >= 0) Unit
    }

    private fun closeQuietly(socket: Socket) {
        try {
            socket.close()
        } catch (_: IOException) {
            // The connection is gone already.
        }
    }
}
