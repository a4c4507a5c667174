/*
 * Watches one attempt of a request that may also be made elsewhere. When the attempt is slow, another one is made
 * beside it. Slowness is measured by what the server has sent that can be passed on, so a server that sends a byte now
 * and then is slow as well. Time in which the caller takes no data does not count. Another attempt is also
 * made when the server is about to leave.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull

/** Bounds how often another attempt is tried for a route without a target latency. */
private const val MINIMUM_LIMIT_MILLIS = 100L

/**
 * Delay before another attempt is tried again for an attempt whose server leaves. The sends of a request are enough for
 * this delay during the 1.5 s in which the stream should go on elsewhere.
 */
private const val LEAVING_RETRY_MILLIS = 400L

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
    private val passing = Mutex()
    private val changed = Channel<Unit>(Channel.CONFLATED)
    private var lastEventId = resumeAfter
    private var hasClaimed = false

    /** The present span of slowness, guarded by [lock]. */
    private var slow: SlowAttempt? = null

    @Volatile
    private var progressAt = now()

    @Volatile
    private var limitMillis: Long? = null

    /** When another attempt is to be made because the server leaves, or null. */
    @Volatile
    private var leaveAt: Long? = null

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

    /** Whether the attempt is left because its server leaves at short notice. */
    val isLeaving: Boolean get() = leaveAt.let { it != null && it <= now() }

    /** The server leaves, and another attempt is to be made from the time [at] on; null if it does not leave. */
    fun leaveAt(at: Long?) {
        leaveAt = at
        changed.trySend(Unit)
    }

    /**
     * The server has sent something to pass on, up to the event [lastEventId] if it is a stream. Returns false if
     * another attempt goes on, so that this one must pass nothing on.
     */
    fun claim(lastEventId: String? = null): Boolean =
        tryClaim(lastEventId) { it.resume() } ?: error("a claim that decides does not wait")

    /**
     * Passes on by [write] what the server has sent, up to the event [lastEventId]. Waits while another attempt is made
     * because the server leaves, unless this [isLast] part completes the response. Returns false if that one goes on.
     */
    suspend fun passOn(lastEventId: String?, isLast: Boolean = false, write: suspend () -> Unit): Boolean {
        // An attempt that is about to be left may still be writing the event before the one with which this begins.
        if (!hasClaimed) beside?.passing?.withLock { }
        while (true) {
            val mayPass = passing.withLock {
                val isClaimed = tryClaim(lastEventId) { if (isLast) it.resume() else it.pass(lastEventId) }
                if (isClaimed == true) {
                    write()
                    // The time that the caller took for this does not count.
                    progressAt = now()
                }
                isClaimed
            }
            if (mayPass != null) return mayPass
            synchronized(lock) { slow }?.decision?.await()
        }
    }

    /** Whether this attempt may go on, or null if [ask] says that it has to wait for the decision of its span. */
    private fun tryClaim(lastEventId: String?, ask: (SlowAttempt) -> Boolean?): Boolean? = synchronized(lock) {
        if (!isReplaced && !hasClaimed) isReplaced = beside?.replace() == false
        if (!isReplaced) isReplaced = !(slow?.let { ask(it) ?: return null } ?: true)
        if (isReplaced) return false
        hasClaimed = true
        progressAt = now()
        this.lastEventId = lastEventId ?: this.lastEventId
        true
    }

    /** Has other attempts made while this one is slow; returns once one of them goes on in its place. */
    suspend fun awaitReplacement() {
        var triedAt = Long.MIN_VALUE
        while (!isReplaced) {
            val dueAt = dueAt(triedAt)
            if (dueAt == null) {
                changed.receive()
                continue
            }
            val waitMillis = dueAt - now()
            if (waitMillis > 0) {
                withTimeoutOrNull(waitMillis) { changed.receive() }
            } else {
                tryReplacement()
                triedAt = now()
            }
        }
    }

    /** When another attempt is to be made after the one that was tried at [triedAt]; null while none may be. */
    private fun dueAt(triedAt: Long): Long? {
        val limit = limitMillis ?: return null
        val slowAt = maxOf(lastProgressAt, triedAt) + limit
        return leaveAt?.let { minOf(slowAt, maxOf(it, triedAt + LEAVING_RETRY_MILLIS)) } ?: slowAt
    }

    private suspend fun tryReplacement() {
        val span = startSpan() ?: return
        val hasReplaced = tryOther(span)
        synchronized(lock) {
            if (hasReplaced) isReplaced = true else slow = null
        }
    }

    /** Null if the attempt has made progress, which [tryClaim] records under the same lock, and its server stays. */
    private fun startSpan(): SlowAttempt? = synchronized(lock) {
        val limit = limitMillis ?: return null
        if (!isLeaving && lastProgressAt + limit > now()) return null
        SlowAttempt(lastEventId, isLeaving, passing).also { slow = it }
    }
}
