/*
 * What the input and the output of a socket have in common. Two coroutines pass bytes through a bounded buffer: one
 * uses the channel, the other one the socket. Each waits for a signal of the other one, and the second also for the
 * selector.
 */
package org.lentilquay.transport

import io.ktor.network.selector.SelectInterest
import io.ktor.network.selector.Selectable
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.io.IOException
import java.nio.channels.SocketChannel

internal class SocketDirection(
    socket: Socket,
    private val selector: SelectorManager,
    private val interest: SelectInterest,
) {
    private val selectable = socket as Selectable
    private val hasBytes = Channel<Unit>(Channel.CONFLATED)
    private val hasRoom = Channel<Unit>(Channel.CONFLATED)
    val channel: SocketChannel get() = selectable.channel as SocketChannel

    /** Whether the side that fills the buffer has ended in order. */
    @Volatile
    var isEnded = false

    /** Why this direction has failed, or null. */
    @Volatile
    var failure: IOException? = null
        private set

    /** The failure that the socket itself has reported; null if there is none or this side ended the direction. */
    @Volatile
    var socketFailure: IOException? = null
        private set

    fun throwIfFailed() {
        failure?.let { throw it }
    }

    /** Runs [work], which uses the socket, until it ends; an exception fails this direction. */
    fun launch(work: suspend () -> Unit) {
        CoroutineScope(Dispatchers.IO).launch {
            runSuspendCatching { work() }.onFailure { fail(it) }
            closeSignals()
        }
    }

    /** Runs [step], which calls the socket, and records its failure before anybody else can look for one. */
    inline fun <T> recordingFailure(step: () -> T): T = try {
        step()
    } catch (failure: IOException) {
        reportedBySocket(failure)
        throw failure
    }

    fun reportedBySocket(cause: IOException) {
        socketFailure = socketFailure ?: cause
    }

    /** Fails this direction unless it has failed before. */
    fun fail(cause: Throwable?) {
        synchronized(this) {
            if (failure != null) return
            failure = cause as? IOException ?: IOException("connection closed", cause)
        }
        closeSignals()
    }

    /** Waits until the socket is ready. */
    suspend fun awaitSocket() {
        selectable.interestOp(interest, true)
        selector.select(selectable, interest)
    }

    /** Tells that the buffer has bytes, or that its filling side has ended. */
    fun signalBytes() {
        hasBytes.trySend(Unit)
    }

    /** Tells that bytes were taken from the buffer. */
    fun signalRoom() {
        hasRoom.trySend(Unit)
    }

    /** Waits for the next signal of bytes; returns false once the work with the socket has ended. */
    suspend fun awaitBytes(): Boolean = hasBytes.receiveCatching().isSuccess

    /** Waits for the next signal of room; returns false once the work with the socket has ended. */
    suspend fun awaitRoom(): Boolean = hasRoom.receiveCatching().isSuccess

    private fun closeSignals() {
        hasBytes.close()
        hasRoom.close()
    }
}
