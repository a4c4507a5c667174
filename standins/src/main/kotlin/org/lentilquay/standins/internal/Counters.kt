/*
 * Named counters of a stand-in, which its `GET /counters` and `GET /runs` report.
 */
package org.lentilquay.standins.internal

import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import kotlin.math.max

internal class Counters {
    private val values = ConcurrentHashMap<String, Long>()

    fun count(name: String, by: Long = 1) {
        values.merge(name, by, Long::plus)
    }

    /** Records the maximum [value] under [name]. */
    fun maximum(name: String, value: Int) {
        values.merge(name, value.toLong()) { old, new -> max(old, new) }
    }

    fun snapshot(): Map<String, Long> = values.toSortedMap()
}

/** Milliseconds of a monotonic clock. */
internal fun monotonicMillis(): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime())
