/*
 * The decision between a slow attempt of a request and another one that runs beside it. The first of both that has
 * something to pass on to the caller goes on, and the other one ends. A server that pauses may be sound, so it is left
 * only for a server that has answered. An attempt whose server leaves at short notice would always have the first
 * event; it waits with what it has, from the moment in which the other attempt is made, until that one has an event or
 * has ended.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.sync.Mutex

/** Which of the two attempts goes on. */
internal enum class SlowOutcome { RESUMED, REPLACED }

/** One span in which an attempt is slow or its server leaves. Thread-safe. */
internal class SlowAttempt(
    lastEventId: String?,
    /** Whether the span lasts because the server leaves at short notice. */
    val isLeaving: Boolean = false,
    /** Held while the attempt passes something on. */
    val passing: Mutex = Mutex(),
) {
    private val result = CompletableDeferred<SlowOutcome>()
    private var isHeld = false

    /** The last event that the caller has; it does not change once the other attempt is made. */
    @Volatile
    var lastEventId: String? = lastEventId
        private set

    /** Completes once one of the attempts goes on. */
    val decision: Deferred<SlowOutcome> get() = result

    /** The decision, or null while both attempts may still go on. */
    @Volatile
    var decided: SlowOutcome? = null
        private set

    /** The other attempt is about to be made; returns false if the slow one has gone on. */
    fun hold(): Boolean = synchronized(this) {
        isHeld = isLeaving
        decided == null
    }

    /**
     * The slow attempt has events up to [eventId] to pass on. Returns whether it may, or null if it has to wait for the
     * decision. Without an id, no other attempt could go on after them.
     */
    fun pass(eventId: String?): Boolean? {
        synchronized(this) {
            if (decided == null && isHeld) return null
            if (decided == null && isLeaving && eventId != null) {
                lastEventId = eventId
                return true
            }
        }
        return resume()
    }

    /** The slow attempt goes on; returns whether it may. */
    fun resume(): Boolean = decide(SlowOutcome.RESUMED)

    /** The other attempt has something to pass on; returns whether it may. */
    fun replace(): Boolean = decide(SlowOutcome.REPLACED)

    private fun decide(wanted: SlowOutcome): Boolean {
        val first = synchronized(this) { decided ?: wanted.also { decided = it } }
        result.complete(first)
        return first == wanted
    }
}
