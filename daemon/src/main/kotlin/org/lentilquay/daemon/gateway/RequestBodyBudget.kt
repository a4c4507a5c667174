/*
 * The memory for the request bodies of all connections of callers, see [ArrivingBodies]. A body that waits for memory
 * is not read, so its caller is held up by TCP. The bodies of responses have a budget of their own, which refuses at
 * once, see [BodyBudget]. Thread-safe.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.callers.ArrivingBodies
import org.lentilquay.coordination.callers.SHORT_BODY_BYTES

/** The share of the heap for request bodies. Each is in memory once, and up to 1 MiB of it a second time while sent. */
private const val HEAP_SHARE = 0.2

/** Longest wait for memory. Callers give up a request that is not read within about a second. */
private const val MAXIMUM_WAIT_MILLIS = 2_000L

/** Interval at which a body that waits looks for one that gives way. */
private const val REVIEW_MILLIS = 100L

/** Memory that a long body takes at once while it arrives; a short one takes as much as it has. */
private const val BLOCK_BYTES = 16L shl 10

internal class RequestBodyBudget(
    maximumBytes: Long = (Runtime.getRuntime().maxMemory() * HEAP_SHARE).toLong(),
    private val maximumWaitMillis: Long = MAXIMUM_WAIT_MILLIS,
    private val now: () -> Long,
) {
    private val bodies = ArrivingBodies(maximumBytes)
    private val reservations = HashMap<ArrivingBodies.Body, Reservation>()

    /**
     * The memory of one body of [length] bytes, or null if it does not say; closing it returns the memory. [onGivenWay]
     * is called if the body is to be refused because its caller does not send and others wait.
     */
    inner class Reservation(length: Long?, private val onGivenWay: () -> Unit) : AutoCloseable {
        private val body = ArrivingBodies.Body(length, now())
        private val hasRoom by lazy(LazyThreadSafetyMode.PUBLICATION) { Channel<Unit>(Channel.CONFLATED) }

        /** Whether the body has asked for memory; most requests have none. */
        private var isKnown = false

        /** Whether the body is refused to make room for others. */
        val hasGivenWay: Boolean get() = body.hasGivenWay

        /** Takes memory for [bytes] of the body altogether; returns false if there is none in time. */
        suspend fun growTo(bytes: Long): Boolean {
            while (body.heldBytes < bytes) {
                val missing = bytes - body.heldBytes
                val step = if (bytes <= SHORT_BODY_BYTES) missing else maxOf(missing, BLOCK_BYTES)
                val isGrown = tryGrow(step) || withTimeoutOrNull(maximumWaitMillis) { awaitRoom(step) } != null
                if (!isGrown) return false
            }
            return true
        }

        /** The whole body has arrived, so its request is handled. */
        fun arrived() = synchronized(bodies) { bodies.arrived(body) }

        override fun close() {
            if (!isKnown) return
            synchronized(bodies) {
                bodies.release(body)
                reservations -= body
                bodies.waiting.forEach { reservations[it]?.wake() }
            }
        }

        private suspend fun awaitRoom(bytes: Long) {
            while (!tryGrow(bytes)) {
                makeRoom()
                withTimeoutOrNull(REVIEW_MILLIS) { hasRoom.receive() }
            }
        }

        private fun tryGrow(bytes: Long): Boolean = synchronized(bodies) {
            isKnown = true
            reservations[body] = this
            bodies.tryGrow(body, bytes, now())
        }

        internal fun wake() {
            hasRoom.trySend(Unit)
        }

        internal fun giveWay() = onGivenWay()
    }

    private fun makeRoom() {
        val stalled = synchronized(bodies) { bodies.giveWay(now())?.let { reservations[it] } }
        stalled?.giveWay()
    }
}
