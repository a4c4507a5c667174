/*
 * Current and earlier versions of a value, so that readers can be given a stale one. Times are milliseconds of a
 * monotonic clock.
 */
package org.lentilquay.standins.internal

/** Starts with [initial] and keeps earlier versions for [keptMillis]. */
internal class History<T : Any>(initial: T, private val keptMillis: Long) {
    private class Entry<T>(val since: Long, val value: T)

    private val entries = ArrayDeque(listOf(Entry(Long.MIN_VALUE, initial)))

    val latest: T @Synchronized get() = entries.last().value

    /** The version as of [time], or the oldest one that is kept. */
    @Synchronized
    fun at(time: Long): T = (entries.lastOrNull { it.since <= time } ?: entries.first()).value

    @Synchronized
    fun add(value: T, now: Long) {
        entries.addLast(Entry(now, value))
        while (entries.size > 1 && entries[1].since < now - keptMillis) entries.removeFirst()
    }
}
