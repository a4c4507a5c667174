/*
 * The true time from the clock of the table service and the wall clocks of the fleet. The wall clock of one VM may be
 * wrong or jump; the median of all is as good as most of them. All times are in milliseconds.
 */
package org.lentilquay.coordination.gateway.usage

/** After this time an observation of the table service's clock no longer counts, because clocks drift. */
private const val OBSERVATION_MILLIS = 30_000L

/**
 * Estimates the present time of the table service's clock. Answers are received some time after the clock was read, so
 * the observation with the highest difference to the monotonic clock is the best one.
 */
class TableClockEstimate {
    private var lastTableMillis = Long.MIN_VALUE
    private var bestBefore: Long? = null
    private var best: Long? = null
    private var bestSince = Long.MIN_VALUE

    /** The table service's clock minus the monotonic clock; null before the first observation. */
    val offsetMillis: Long? get() = listOfNotNull(bestBefore, best).maxOrNull()

    /** Takes in the latest time that an answer of the table service named; a time that was seen before is ignored. */
    fun observe(tableMillis: Long, now: Long) {
        if (tableMillis <= lastTableMillis) return
        lastTableMillis = tableMillis
        if (best == null || now - bestSince > OBSERVATION_MILLIS) {
            bestBefore = best
            best = null
            bestSince = now
        }
        best = maxOf(best ?: Long.MIN_VALUE, tableMillis - now)
    }
}

/** The median of [offsets], or null if there are none. Of an even number, it is between the two in the middle. */
fun medianOf(offsets: Collection<Long>): Long? {
    if (offsets.isEmpty()) return null
    val sorted = offsets.sorted()
    val upper = sorted[sorted.size / 2]
    val lower = sorted[(sorted.size - 1) / 2]
    return lower + (upper - lower) / 2
}
