/*
 * Bounds the memory of response bodies that are buffered until they are complete, over all requests of the process, so
 * that long answers that arrive at the same time do not exhaust the heap. Thread-safe.
 */
package org.lentilquay.daemon.gateway

import java.util.concurrent.atomic.AtomicLong

/** Bytes of each body that are not counted, so that ordinary bodies of about 1 KB are not affected by long ones. */
internal const val UNCOUNTED_BODY_BYTES = 32 shl 10

/** Counted bytes of all bodies. A growing buffer takes up to three times its content: 48 MiB of a heap of 160 MB. */
private const val MAXIMUM_COUNTED_BYTES = 16L shl 20

internal class BodyBudget {
    private val used = AtomicLong()

    /** The memory of one body; closing it returns the memory to the budget. */
    inner class Reservation : AutoCloseable {
        private var counted = 0L

        /** Enlarges the reservation for a body of [bytes]; returns whether the budget allows that. */
        fun tryGrowTo(bytes: Int): Boolean {
            val missing = bytes - UNCOUNTED_BODY_BYTES - counted
            if (missing <= 0) return true
            if (used.addAndGet(missing) > MAXIMUM_COUNTED_BYTES) {
                used.addAndGet(-missing)
                return false
            }
            counted += missing
            return true
        }

        override fun close() {
            used.addAndGet(-counted)
            counted = 0
        }
    }
}
