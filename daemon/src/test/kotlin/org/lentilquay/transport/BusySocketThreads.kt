package org.lentilquay.transport

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.launch
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** The number of coroutines that [Dispatchers.IO] runs at the same time. */
private val IO_PARALLELISM = maxOf(64, Runtime.getRuntime().availableProcessors())
private const val TIMEOUT_SECONDS = 5L

/**
 * Occupies all threads that receive from sockets until it is closed. Timers go on, so those that are due run before the
 * sockets are looked at, as after a time in which the process got no processor time.
 */
internal class BusySocketThreads : AutoCloseable {
    private val released = CountDownLatch(1)

    init {
        val occupied = CountDownLatch(IO_PARALLELISM)
        val scope = CoroutineScope(Dispatchers.IO)
        repeat(IO_PARALLELISM) {
            scope.launch {
                occupied.countDown()
                released.await()
            }
        }
        check(occupied.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "the threads are used by others" }
    }

    override fun close() = released.countDown()
}
