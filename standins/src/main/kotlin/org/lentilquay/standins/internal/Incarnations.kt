/*
 * The incarnation number of a backend server stand-in and the cold start of each incarnation. Times are milliseconds of
 * a monotonic clock.
 */
package org.lentilquay.standins.internal

import kotlin.math.max

/** Starts with a first incarnation at construction. Not thread-safe: guarded by its user. */
internal class Incarnations(private val coldMillis: Long) {
    // Taken from the wall clock, so that numbers also increase across processes on one address.
    var current: Long = System.currentTimeMillis()
        private set
    private var coldUntil = monotonicMillis() + coldMillis

    fun isCold(now: Long): Boolean = now < coldUntil

    fun renew(now: Long) {
        current = max(current + 1, System.currentTimeMillis())
        coldUntil = now + coldMillis
    }
}
