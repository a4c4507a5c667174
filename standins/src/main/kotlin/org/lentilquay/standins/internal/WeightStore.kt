/*
 * The weight store of the platform stand-in: fetches start at a limited rate, and more than a few at once slow each
 * other down. Times are milliseconds.
 */
package org.lentilquay.standins.internal

import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong
import kotlin.math.max

internal class WeightStore(loadsPerSecond: Double, private val atFullSpeed: Int, private val fetchMillis: Long) {
    private val pacer = Pacer(loadsPerSecond, atFullSpeed)
    private val active = AtomicInteger()

    val fetches = AtomicLong()
    val delayedByRate = AtomicLong()
    val slowedByOthers = AtomicLong()
    val maximumAtOnce = AtomicInteger()

    /** Takes the time that a fetch needs under the present load and returns the content, which depends on the name. */
    suspend fun fetch(name: String): ByteArray {
        if (pacer.await()) delayedByRate.incrementAndGet()
        val atOnce = active.incrementAndGet()
        try {
            fetches.incrementAndGet()
            maximumAtOnce.accumulateAndGet(atOnce, ::max)
            if (atOnce > atFullSpeed) slowedByOthers.incrementAndGet()
            delay(fetchMillis * max(atOnce, atFullSpeed) / atFullSpeed)
        } finally {
            active.decrementAndGet()
        }
        return "weights of $name".toByteArray()
    }
}
