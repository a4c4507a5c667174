/*
 * The calls in progress on this VM. A call is aborted when its key is withdrawn, or when this VM can no longer know
 * which keys are valid. A planned stop waits until no call is left.
 */
package org.lentilquay.daemon.requests

import kotlinx.coroutines.CompletableDeferred
import org.lentilquay.protocol.ActiveRun
import org.lentilquay.state.CallerKey
import org.lentilquay.state.Failure
import org.lentilquay.state.ServerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** A call in progress. Safe for use from several threads. */
class ActiveCall internal constructor(val number: Long, val key: CallerKey?) {
    /** The current run of the call on a backend server, which is reported to a new owner of that server. */
    @Volatile
    var run: Pair<ServerId, ActiveRun>? = null

    /** The failure with which the call was aborted, or null. */
    @Volatile
    var abortFailure: Failure? = null
        private set

    private val aborted = CompletableDeferred<Unit>()

    @Volatile
    private var onAbort: () -> Unit = {}

    /** Runs [interrupt] when the call is aborted, or at once if it is already. */
    fun whenAborted(interrupt: () -> Unit) {
        onAbort = interrupt
        if (abortFailure != null) interrupt()
    }

    /** Marks the current run as answered: the server has sent the head of its response. */
    fun answered() {
        run = run?.let { (server, active) -> server to active.copy(answered = true) }
    }

    /** Aborts the call with [failure]. */
    fun abort(failure: Failure) {
        abortFailure = failure
        aborted.complete(Unit)
        onAbort()
    }

    /** Suspends until the call is aborted. */
    suspend fun awaitAbort() = aborted.await()
}

/** All calls in progress. Safe for use from several threads. */
class ActiveCalls {
    private val calls = ConcurrentHashMap<Long, ActiveCall>()
    private val numbers = AtomicLong()

    val count: Int get() = calls.size

    fun begin(key: CallerKey?): ActiveCall =
        ActiveCall(numbers.incrementAndGet(), key).also { calls[it.number] = it }

    fun end(call: ActiveCall) {
        calls.remove(call.number)
    }

    /** Aborts every call whose key [isInvalid]. */
    fun abortByKey(failure: Failure, isInvalid: (CallerKey) -> Boolean) = calls.values
        .filter { call -> call.key?.let(isInvalid) ?: false }
        .forEach { it.abort(failure) }

    /** The runs on [server], to report to its new owner. */
    fun runsOn(server: ServerId): List<ActiveRun> =
        calls.values.mapNotNull { it.run }.filter { it.first == server }.map { it.second }
}
