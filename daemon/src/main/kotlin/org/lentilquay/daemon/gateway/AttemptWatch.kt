/*
 * Watches one attempt of a request that may also be made elsewhere. When the attempt is slow, another one is made
 * beside it. Slowness is measured by what the server has sent that can be passed on, so a server that sends a byte now
 * and then is slow as well. Time in which the caller takes no data does not count.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.withTimeoutOrNull

/** Bounds how often another attempt is tried for a route without a target latency. */
private const val MINIMUM_LIMIT_MILLIS = 100L

internal class AttemptWatch(
    /** The slow attempt beside which this one is made, or null. */
    private val beside: SlowAttempt?,
    /** The last event that the caller has; the attempt resumes the stream after it. */
    val resumeAfter: String?,
    private val isCallerBusy: () -> Boolean,
    private val now: () -> Long,
    /** Makes another attempt beside this slow one; returns whether that one has replaced it. */
    private val tryOther: suspend (SlowAttempt) -> Boolean,
) {
    private val lock = Any()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var lastEventId = resumeAfter
    private var hasClaimed = false

    /** The present span of slowness, guarded by [lock]. */
    private var slow: SlowAttempt? = null

    @Volatile
    private var progressAt = now()

    @Volatile
    private var limitMillis: Long? = null

    /** Whether another attempt goes on in place of this one. */
    @Volatile
    var isReplaced: Boolean = false
        private set

    /** When the server last made progress, as far as this VM can tell while its caller takes no data. */
    val lastProgressAt: Long get() = if (isCallerBusy()) now() else progressAt

    /** From now on the attempt is slow after [limitMillis] without progress, or never if that is null. */
    fun watchFor(limitMillis: Long?) {
        progressAt = now()
        this.limitMillis = limitMillis?.coerceAtLeast(MINIMUM_LIMIT_MILLIS)
        changed.trySend(Unit)
    }

    /**
     * The server has sent something to pass on, up to the event [lastEventId] if it is a stream. Returns false if
     * another attempt goes on, so that this one must pass nothing on.
     */
    fun claim(lastEventId: String? = null): Boolean = synchronized(lock) {
        if (!isReplaced && !hasClaimed) isReplaced = beside?.replace() == false
        if (!isReplaced) isReplaced = slow?.resume() == false
        if (isReplaced) return false
        hasClaimed = true
        progressAt = now()
        this.lastEventId = lastEventId ?: this.lastEventId
        true
    }

    /** The caller has taken what was passed on. */
    fun passedOn() {
        progressAt = now()
    }

    /** Has other attempts made while this one is slow; returns once one of them goes on in its place. */
    suspend fun awaitReplacement() {
        var triedAt = Long.MIN_VALUE
        while (!isReplaced) {
            val limit = limitMillis
            if (limit == null) {
                changed.receive()
                continue
            }
            val waitMillis = maxOf(lastProgressAt, triedAt) + limit - now()
            if (waitMillis > 0) {
                withTimeoutOrNull(waitMillis) { changed.receive() }
            } else {
                tryReplacement(limit)
                triedAt = now()
            }
        }
    }

    private suspend fun tryReplacement(limit: Long) {
        val span = startSpan(limit) ?: return
        val hasReplaced = tryOther(span)
        synchronized(lock) {
            if (hasReplaced) isReplaced = true else slow = null
        }
    }

    /** Null if the attempt has made progress, which [claim] records under the same lock. */
    private fun startSpan(limit: Long): SlowAttempt? = synchronized(lock) {
        if (lastProgressAt + limit > now()) null else SlowAttempt(lastEventId).also { slow = it }
    }
}
