package org.lentilquay.transport

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import java.util.concurrent.CountDownLatch

/** The parallelism of the dispatcher on which sockets are read and written. */
private val IO_THREADS = maxOf(64, Runtime.getRuntime().availableProcessors())

/**
 * Keeps the coroutines that use the sockets from running while [act] runs, as a process without processor time does:
 * bytes stay in the socket while timers run.
 */
internal suspend fun <T> withStalledReceivers(act: suspend () -> T): T {
    val begun = CountDownLatch(IO_THREADS)
    val released = CountDownLatch(1)
    repeat(IO_THREADS) {
        CoroutineScope(Dispatchers.IO).launch {
            begun.countDown()
            released.await()
        }
    }
    return try {
        begun.await()
        act()
    } finally {
        released.countDown()
    }
}
