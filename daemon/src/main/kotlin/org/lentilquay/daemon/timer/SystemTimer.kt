/*
 * The timer over the clocks of the machine. Pauses of the process are detected on both clocks: on some machines the
 * monotonic clock stands still while the VM is suspended, and only the wall clock shows the gap. A wall clock that is
 * set forward looks like a pause as well; that costs a needless check of ownership, while a missed pause could let a VM
 * act on ownership that it has lost.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow

private const val NANOS_PER_MILLI = 1_000_000L

/** The [Timer] that the daemon uses. The clocks are parameters for tests. */
class SystemTimer(
    private val monotonicMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
    private val wallMillis: () -> Long = System::currentTimeMillis,
) : Timer {
    private val startMillis = monotonicMillis()

    override fun now(): Long = monotonicMillis() - startMillis

    override fun ticks(everyMillis: Long): Flow<TimerEvent> {
        require(everyMillis > 0) { "a tick interval of $everyMillis ms is not positive" }
        return flow {
            var due = now() + everyMillis
            var wallDue = wallMillis() + everyMillis
            while (true) {
                delay(due - now())
                val now = now()
                val gap = maxOf(now - due, wallMillis() - wallDue)
                // Ticks keep a fixed rate unless the next one is already overdue. Its time is set before the collector
                // runs, so that a pause while the collector runs is detected at the next tick.
                due = maxOf(due + everyMillis, now)
                wallDue = wallMillis() + (due - now)
                if (gap > PAUSE_THRESHOLD_MILLIS) emit(TimerEvent.Paused(now, gap))
                emit(TimerEvent.Tick(now))
            }
        }
    }
}
