/*
 * How far a bucket stayed below its cap since each unsettled charge. A refund may restore only what the bucket would
 * still hold if the request had been charged its real use from the start: tokens that would have overflowed the cap in
 * the meantime are lost. Without this rule, refunds of long requests that end together admit several bursts at once.
 *
 * The history holds suffix minima in rising order, so that a query is one search. Idea: the monotone queue of sliding
 * window minima. Amounts are in the units of the bucket.
 */
package org.lentilquay.coordination.quota

internal class HeadroomHistory {
    private data class Low(val sequence: Long, val headroom: Long)

    private var lows: List<Low> = emptyList()

    /** Notes [headroom] at a moment after the charge [sequence] and before the next one. */
    fun record(sequence: Long, headroom: Long) {
        val kept = lows.dropLastWhile { it.headroom >= headroom }
        val isCovered = kept.isNotEmpty() && kept.last().sequence == sequence
        lows = if (isCovered) kept else merged(kept + Low(sequence, headroom))
    }

    /** The least headroom since the charge [sequence], or null if none was noted. */
    fun lowestSince(sequence: Long): Long? = lows.firstOrNull { it.sequence >= sequence }?.headroom

    /** Lowers the headroom since the charge [sequence] by a refund of [amount]. */
    fun refunded(sequence: Long, amount: Long) {
        val changed = lows.map { if (it.sequence >= sequence) it.copy(headroom = it.headroom - amount) else it }
        lows = emptyList()
        changed.forEach { record(it.sequence, it.headroom) }
    }

    /** Forgets what lies before the charge [sequence], the oldest that is unsettled. */
    fun forgetBefore(sequence: Long) {
        lows = lows.dropWhile { it.sequence < sequence }
    }

    /** Bounds the length. The merged entry takes the lower headroom, so that a refund is never larger than allowed. */
    private fun merged(entries: List<Low>): List<Low> =
        if (entries.size <= MAXIMUM_ENTRIES) {
            entries
        } else {
            entries.chunked(2) { pair -> Low(pair.last().sequence, pair.first().headroom) }
        }

    private companion object {
        const val MAXIMUM_ENTRIES = 64
    }
}
