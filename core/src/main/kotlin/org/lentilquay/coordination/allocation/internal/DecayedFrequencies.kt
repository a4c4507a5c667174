/*
 * Request frequencies of adapters with exponential decay, kept also for adapters that are not loaded (ghost entries, an
 * idea of the ARC and TinyLFU cache policies): an adapter that is loaded again starts with the frequency that it
 * earned. Memory is bounded; at the bound the least frequent quarter is dropped at once, so the cost is amortized.
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.state.AdapterVersion
import kotlin.math.pow

/** Counts requests by adapter; a count halves in [halfLifeMillis]. */
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

    /** Up to [number] adapters that are [accepted], most frequent first, with a frequency of at least [minimum]. */
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
            .take(maxOf(1, maximumEntries / DROPPED_PART))
            .forEach { counts.remove(it.first) }
    }

    private companion object {
        const val HALF = 0.5
        const val DROPPED_PART = 4
    }
}
