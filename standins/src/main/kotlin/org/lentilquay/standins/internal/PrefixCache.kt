/*
 * The prefix cache of the model engine stand-in. Its events are reported late, and some are lost. Times are
 * milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

import org.lentilquay.protocol.CacheEvent
import org.lentilquay.protocol.CacheEventKind
import kotlin.random.Random

private const val EVENTS_KEPT = 10_000
private const val EVENTS_PER_ANSWER = 1_000
private const val LOAD_FACTOR = 0.75f

/** LRU cache of [capacity] prefixes. Events appear after [delayMillis]; the fraction [loss] of them is lost. */
internal class PrefixCache(private val capacity: Int, private val delayMillis: Long, private val loss: Double) {
    private class PendingEvent(val visibleAt: Long, val event: CacheEvent)

    private val prefixes = LinkedHashMap<Long, Unit>(capacity, LOAD_FACTOR, true)
    private val events = ArrayDeque<PendingEvent>()
    private val random = Random(1)
    private var sequence = 0L

    /** Uses the prefix and returns whether it was in the cache. */
    @Synchronized
    fun use(prefixHash: Long, now: Long): Boolean {
        val hit = prefixes.put(prefixHash, Unit) != null
        if (!hit) record(CacheEventKind.STORED, prefixHash, now)
        if (prefixes.size > capacity) {
            val oldest = prefixes.keys.first()
            prefixes.remove(oldest)
            record(CacheEventKind.REMOVED, oldest, now)
        }
        return hit
    }

    @Synchronized
    fun eventsAfter(after: Long, now: Long): List<CacheEvent> = events.asSequence()
        .filter { it.event.sequence > after && it.visibleAt <= now }
        .map { it.event }
        .take(EVENTS_PER_ANSWER)
        .toList()

    @Synchronized
    fun clear() {
        prefixes.clear()
        events.clear()
        sequence = 0
    }

    private fun record(kind: CacheEventKind, prefixHash: Long, now: Long) {
        sequence++
        if (random.nextDouble() < loss) return
        events.addLast(PendingEvent(now + delayMillis, CacheEvent(sequence, kind, prefixHash)))
        if (events.size > EVENTS_KEPT) events.removeFirst()
    }
}
