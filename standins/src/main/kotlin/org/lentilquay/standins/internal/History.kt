/*
 * Past values of something, so that readers can be shown an old one. Times are milliseconds of a monotonic clock.
 */
package org.lentilquay.standins.internal

/** Starts with [initial] and keeps values for [keptMillis]. */
internal class History<T : Any>(initial: T, private val keptMillis: Long) {
    private class Entry<T>(val since: Long, val value: T)

    private val entries = ArrayDeque(listOf(Entry(Long.MIN_VALUE, initial)))

    val latest: T @Synchronized get() = entries.last().value

    /** The value that was in force at [time], or the oldest that is kept. */
    @Synchronized
    fun at(time: Long): T = (entries.lastOrNull { it.since <= time } ?: entries.first()).value

    @Synchronized
    fun add(value: T, now: Long) {
        entries.addLast(Entry(now, value))
        while (entries.size > 1 && entries[1].since < now - keptMillis) entries.removeFirst()
    }
}
