/*
 * How many of this VM's own probes were answered lately. Times are monotonic milliseconds of this VM.
 */
package org.lentilquay.coordination.membership

internal class ContactWindow {
    private class Result(val at: Long, val answered: Boolean)

    private val results = ArrayDeque<Result>()

    fun answered(now: Long) = add(now, true)

    fun failed(now: Long) = add(now, false)

    /** Whether probes had results within the reachable time and at least half of them were answers. */
    fun isMostlyAnswered(now: Long): Boolean {
        expire(now)
        return results.isNotEmpty() && results.count { it.answered } * 2 >= results.size
    }

    private fun add(now: Long, answered: Boolean) {
        expire(now)
        results.addLast(Result(now, answered))
    }

    private fun expire(now: Long) {
        while (results.isNotEmpty() && now - results.first().at > REACHABLE_MILLIS) results.removeFirst()
    }
}
