/*
 * The results of this VM's own probes within the last [REACHABILITY_MILLIS]. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.membership

internal class ProbeResultWindow {
    private class Result(val at: Long, val answered: Boolean)

    private val results = ArrayDeque<Result>()

    fun answered(now: Long) = add(now, true)

    fun failed(now: Long) = add(now, false)

    /** Whether there were results within the window and at least half of them were answers. */
    fun isMostlyAnswered(now: Long): Boolean {
        expire(now)
        return results.isNotEmpty() && results.count { it.answered } * 2 >= results.size
    }

    private fun add(now: Long, answered: Boolean) {
        expire(now)
        results.addLast(Result(now, answered))
    }

    private fun expire(now: Long) {
        while (results.isNotEmpty() && now - results.first().at > REACHABILITY_MILLIS) results.removeFirst()
    }
}
