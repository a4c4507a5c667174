/*
 * The lowest headroom of a token bucket (its capacity less what it holds) since each unsettled charge. A refund may
 * restore only what the bucket would hold if the request had been charged its actual use from the start: tokens that
 * would have overflowed the capacity in the meantime are lost. Without this rule, refunds of long requests that end
 * together admit several bursts at once.
 *
 * The entries are suffix minima in ascending order (a monotonic queue, as for sliding window minima), so a query is one
 * search. Amounts are in units of the bucket.
 */
package org.lentilquay.coordination.quota

internal class HeadroomHistory {
    private data class Minimum(val sequence: Long, val headroom: Long)

    private var minima: List<Minimum> = emptyList()

    /** Records [headroom] at a time after the charge [sequence] and before the next one. */
    fun record(sequence: Long, headroom: Long) {
        val kept = minima.dropLastWhile { it.headroom >= headroom }
        val isCovered = kept.isNotEmpty() && kept.last().sequence == sequence
        minima = if (isCovered) kept else merged(kept + Minimum(sequence, headroom))
    }

    /** The lowest headroom since the charge [sequence], or null if none was recorded. */
    fun lowestSince(sequence: Long): Long? = minima.firstOrNull { it.sequence >= sequence }?.headroom

    /** Lowers the headroom since the charge [sequence] by a refund of [amount]. */
    fun refunded(sequence: Long, amount: Long) {
        val changed = minima.map { if (it.sequence >= sequence) it.copy(headroom = it.headroom - amount) else it }
        minima = emptyList()
        changed.forEach { record(it.sequence, it.headroom) }
    }

    /** Drops entries before the charge [sequence], the oldest unsettled one. */
    fun dropBefore(sequence: Long) {
        minima = minima.dropWhile { it.sequence < sequence }
    }

    /** Bounds the length. A merged entry keeps the lower headroom, so a refund is never larger than allowed. */
    private fun merged(entries: List<Minimum>): List<Minimum> =
        if (entries.size <= MAXIMUM_ENTRIES) {
            entries
        } else {
            entries.chunked(2) { pair -> Minimum(pair.last().sequence, pair.first().headroom) }
        }

    private companion object {
        const val MAXIMUM_ENTRIES = 64
    }
}
