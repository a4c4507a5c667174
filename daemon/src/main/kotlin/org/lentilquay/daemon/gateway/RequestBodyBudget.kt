/*
 * Bounds the memory of long request bodies over all connections of callers. A long body waits for its memory before it
 * is read, so its caller is held up by TCP; without a bound, a burst of bodies within the limits ends the process.
 * Bodies wait in the order of their requests. The bodies of responses have a budget of their own, which refuses at
 * once, see [BodyBudget]. Thread-safe.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Counted bytes of all bodies. Each is in memory once, and up to 1 MiB of it a second time while it is sent. */
private const val MAXIMUM_COUNTED_BYTES = 24L shl 20

/** Longest wait for memory. Callers give up a request that is not read within about a second. */
private const val MAXIMUM_WAIT_MILLIS = 2_000L

internal class RequestBodyBudget(
    private val maximumBytes: Long = MAXIMUM_COUNTED_BYTES,
    private val maximumWaitMillis: Long = MAXIMUM_WAIT_MILLIS,
) {
    private class Waiter(val bytes: Long) {
        val admitted = CompletableDeferred<Unit>()
    }

    private val waiting = ArrayDeque<Waiter>()
    private var used = 0L

    /** The memory of one body; closing it returns the memory to the budget. */
    inner class Reservation : AutoCloseable {
        private var counted = 0L

        /** Reserves memory for a body of [bytes]; returns false if there is none in time. Call it once. */
        suspend fun reserve(bytes: Long): Boolean {
            if (bytes <= UNCOUNTED_BODY_BYTES) return true
            // A body that is longer than the budget has it alone.
            val waiter = Waiter(minOf(bytes, maximumBytes))
            synchronized(waiting) {
                waiting += waiter
                admitWaiting()
            }
            try {
                withTimeoutOrNull(maximumWaitMillis) { waiter.admitted.await() }
            } finally {
                synchronized(waiting) {
                    if (waiting.remove(waiter)) admitWaiting() else counted = waiter.bytes
                }
            }
            return counted > 0
        }

        override fun close() = synchronized(waiting) {
            used -= counted
            counted = 0
            admitWaiting()
        }
    }

    private fun admitWaiting() {
        while (waiting.isNotEmpty() && used + waiting.first().bytes <= maximumBytes) {
            val next = waiting.removeFirst()
            used += next.bytes
            next.admitted.complete(Unit)
        }
    }
}
