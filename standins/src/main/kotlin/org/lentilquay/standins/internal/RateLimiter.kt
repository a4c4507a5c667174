/*
 * Spaces events so that at most a given number start per second. Times are nanoseconds of `System.nanoTime`.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit
import kotlin.math.max

/** Lets [perSecond] events start per second, [burst] of them at once; 0 per second stands for no limit. */
internal class Pacer(perSecond: Double, private val burst: Int) {
    private val intervalNanos = if (perSecond > 0) (TimeUnit.SECONDS.toNanos(1) / perSecond).toLong() else 0
    private var nextNanos = System.nanoTime() - burst * intervalNanos

    /** Waits for a start time and returns whether there was a wait. */
    suspend fun await(): Boolean {
        val wait = reserve()
        if (wait > 0) delay(TimeUnit.NANOSECONDS.toMillis(wait) + 1)
        return wait > 0
    }

    @Synchronized
    private fun reserve(): Long {
        // Read under the lock: a time read before another caller's would make a free place look taken.
        val now = System.nanoTime()
        nextNanos = max(nextNanos, now - burst * intervalNanos) + intervalNanos
        return nextNanos - now
    }
}
