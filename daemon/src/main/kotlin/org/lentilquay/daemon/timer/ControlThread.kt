/*
 * The one thread that runs all decision classes. They need no locks because nothing else touches their state.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

/** A single-threaded dispatcher. Only short work that does not block may run on it. */
class ControlThread(name: String = "control") : AutoCloseable {
    @Volatile
    private var thread: Thread? = null
    private val executor = Executors.newSingleThreadExecutor { work ->
        Thread(work, name).apply { isDaemon = true }.also { thread = it }
    }

    /** The context for `launch` and `withContext`. */
    val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    /** Runs [block] on the control thread. It cannot suspend, so no other decision comes in between. */
    suspend fun <T> decide(block: () -> T): T = withContext(dispatcher) { block() }

    /** Fails if the caller is not on the control thread. */
    fun requireCurrent() = check(Thread.currentThread() === thread) {
        "control state accessed from thread ${Thread.currentThread().name}"
    }

    /** Ends the thread after the work that is already queued. */
    override fun close() = executor.shutdown()
}
