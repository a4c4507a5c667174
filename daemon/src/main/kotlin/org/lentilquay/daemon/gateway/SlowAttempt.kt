/*
 * The decision between a slow attempt of a request and another one that runs beside it. The first of both that has
 * something to pass on to the caller goes on, and the other one ends. A server that pauses may be sound, so it is left
 * only for a server that has answered.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred

/** Which of the two attempts goes on. */
internal enum class SlowOutcome { RESUMED, REPLACED }

/** One span in which an attempt is slow. [lastEventId] is that of the last event that the caller has. Thread-safe. */
internal class SlowAttempt(val lastEventId: String?) {
    private val result = CompletableDeferred<SlowOutcome>()

    /** Completes once one of the attempts goes on. */
    val decision: Deferred<SlowOutcome> get() = result

    /** The decision, or null while both attempts may still go on. */
    @Volatile
    var decided: SlowOutcome? = null
        private set

    /** The slow attempt has something to pass on; returns whether it may. */
    fun resume(): Boolean = decide(SlowOutcome.RESUMED)

    /** The other attempt has something to pass on; returns whether it may. */
    fun replace(): Boolean = decide(SlowOutcome.REPLACED)

    private fun decide(wanted: SlowOutcome): Boolean {
        val first = synchronized(this) { decided ?: wanted.also { decided = it } }
        result.complete(first)
        return first == wanted
    }
}
