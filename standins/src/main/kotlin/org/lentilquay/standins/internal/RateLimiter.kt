/*
 * Delays events so that they do not exceed a rate and a burst. Times are nanoseconds of `System.nanoTime`.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.delay
import java.util.concurrent.TimeUnit
import kotlin.math.max

/** Allows [perSecond] events per second with a burst of [burst]; a rate of 0 means no limit. */
internal class RateLimiter(perSecond: Double, private val burst: Int) {
    private val intervalNanos = if (perSecond > 0) (TimeUnit.SECONDS.toNanos(1) / perSecond).toLong() else 0
    private var nextNanos = System.nanoTime() - burst * intervalNanos

    /** Waits until an event may start; returns whether it was delayed. */
    suspend fun await(): Boolean {
        val wait = reserve()
        if (wait > 0) delay(TimeUnit.NANOSECONDS.toMillis(wait) + 1)
        return wait > 0
    }

    @Synchronized
    private fun reserve(): Long {
        // Read under the lock: an older time than that of the previous caller would cause a needless delay.
        val now = System.nanoTime()
        nextNanos = max(nextNanos, now - burst * intervalNanos) + intervalNanos
        return nextNanos - now
    }
}
