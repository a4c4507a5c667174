/*
 * The single thread that runs all decision logic. Its state needs no locks, because no other thread accesses it.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.withContext
import java.util.concurrent.Executors

/** A single-threaded dispatcher. Work on it must be short and must not block. */
class ControlThread(name: String = "control") : AutoCloseable {
    @Volatile
    private var thread: Thread? = null
    private val executor = Executors.newSingleThreadExecutor { work ->
        Thread(work, name).apply { isDaemon = true }.also { thread = it }
    }

    /** The dispatcher to pass to `launch` and `withContext`. */
    val dispatcher: CoroutineDispatcher = executor.asCoroutineDispatcher()

    /** Runs [block] on the control thread. It cannot suspend, so it is atomic with respect to other decisions. */
    suspend fun <T> decide(block: () -> T): T = withContext(dispatcher) { block() }

    /** Throws [IllegalStateException] if the current thread is not the control thread. */
    fun requireCurrent() = check(Thread.currentThread() === thread) {
        "control state accessed from thread ${Thread.currentThread().name}"
    }

    /** Ends the thread once the queued work is done. */
    override fun close() = executor.shutdown()
}
