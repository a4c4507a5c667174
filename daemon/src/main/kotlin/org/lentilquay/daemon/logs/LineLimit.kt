/*
 * Limits the log lines of events that callers can cause as often as they like. Thread-safe.
 */
package org.lentilquay.daemon.logs

private const val INTERVAL_MILLIS = 1_000L

/** At most [maximumLines] lines a second for each kind of event. */
internal class LineLimit(private val now: () -> Long, private val maximumLines: Int = 20) {
    private class Count(var startedAt: Long) {
        var lines = 0
        var omitted = 0
    }

    private val counts = HashMap<String, Count>()

    /** The number of events of [kind] that were omitted before this one, or null if this one is to be omitted. */
    @Synchronized
    fun permit(kind: String): Int? {
        val count = counts.getOrPut(kind) { Count(now()) }
        if (now() - count.startedAt >= INTERVAL_MILLIS) {
            count.startedAt = now()
            count.lines = 0
        }
        if (count.lines >= maximumLines) {
            count.omitted++
            return null
        }
        count.lines++
        return count.omitted.also { count.omitted = 0 }
    }
}
