/*
 * Request frequencies of adapters with exponential decay. They are also kept for adapters that are not loaded (ghost
 * entries, as in the ARC and TinyLFU cache policies), so that an adapter that is loaded again keeps its frequency. The
 * number of entries is limited; at the limit the least frequent quarter is dropped at once, which amortizes the cost.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.state.AdapterVersion
import kotlin.math.pow

/** Counts requests by adapter; a count halves every [halfLifeMillis]. */
internal class DecayedFrequencies(private val halfLifeMillis: Long, private val maximumEntries: Int) {
    private class Count(var value: Double, var at: Long, var lastRequestAt: Long)

    private val counts = HashMap<AdapterVersion, Count>()

    val size: Int get() = counts.size

    fun record(adapter: AdapterVersion, now: Long) {
        val count = counts.getOrPut(adapter) { Count(0.0, now, now) }
        count.value = count.valueAt(now) + 1
        count.at = now
        count.lastRequestAt = now
        if (counts.size > maximumEntries) dropLeastFrequent(now)
    }

    fun frequency(adapter: AdapterVersion, now: Long): Double = counts[adapter]?.valueAt(now) ?: 0.0

    fun lastRequestAt(adapter: AdapterVersion): Long = counts[adapter]?.lastRequestAt ?: Long.MIN_VALUE

    /** Up to [number] of the [accepted] adapters with a frequency of at least [minimum], most frequent first. */
    fun mostFrequent(
        number: Int,
        minimum: Double,
        now: Long,
        accepted: (AdapterVersion) -> Boolean,
    ): List<AdapterVersion> {
        if (number <= 0) return emptyList()
        return counts.entries
            .map { it.key to it.value.valueAt(now) }
            .filter { it.second >= minimum && accepted(it.first) }
            .sortedByDescending { it.second }
            .take(number)
            .map { it.first }
    }

    private fun Count.valueAt(now: Long): Double =
        if (now == at) value else value * HALF.pow((now - at).toDouble() / halfLifeMillis)

    private fun dropLeastFrequent(now: Long) {
        counts.entries
            .map { it.key to it.value.valueAt(now) }
            .sortedBy { it.second }
            .take(maxOf(1, maximumEntries / DROP_DIVISOR))
            .forEach { counts.remove(it.first) }
    }

    private companion object {
        const val HALF = 0.5

        /** A quarter of the entries is dropped. */
        const val DROP_DIVISOR = 4
    }
}
