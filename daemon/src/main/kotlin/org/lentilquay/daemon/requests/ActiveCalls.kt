/*
 * The calls in progress on this VM. A call can be cut from outside when its key is withdrawn or when the VM can no
 * longer know which keys are in force; a planned stop waits until none is left.
 */
package org.lentilquay.daemon.requests

import kotlinx.coroutines.CompletableDeferred
import org.lentilquay.protocol.ActiveRun
import org.lentilquay.state.CallerKey
import org.lentilquay.state.Failure
import org.lentilquay.state.ServerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** One call in progress. */
class ActiveCall internal constructor(val number: Long, val key: CallerKey?) {
    /** The run that the call has on a backend server at the moment, for a new owner of that server. */
    @Volatile
    var run: Pair<ServerId, ActiveRun>? = null

    /** Why the call has to end, or null. */
    @Volatile
    var cut: Failure? = null
        private set

    private val cutSignal = CompletableDeferred<Unit>()

    @Volatile
    private var onCut: () -> Unit = {}

    /** Runs [interrupt] when the call is cut, or at once if it was cut before. */
    fun whenCut(interrupt: () -> Unit) {
        onCut = interrupt
        if (cut != null) interrupt()
    }

    /** The server began to answer the run. */
    fun answered() {
        run = run?.let { (server, active) -> server to active.copy(answered = true) }
    }

    /** Ends the call with [failure]. */
    fun cut(failure: Failure) {
        cut = failure
        cutSignal.complete(Unit)
        onCut()
    }

    /** Suspends until the call is cut. */
    suspend fun awaitCut() = cutSignal.await()
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

    /** Cuts every call with a key for which [isInvalid] holds. */
    fun abortByKey(failure: Failure, isInvalid: (CallerKey) -> Boolean) = calls.values
        .filter { call -> call.key?.let(isInvalid) ?: false }
        .forEach { it.cut(failure) }

    /** The runs on [server], for its new owner. */
    fun runsOn(server: ServerId): List<ActiveRun> =
        calls.values.mapNotNull { it.run }.filter { it.first == server }.map { it.second }
}
