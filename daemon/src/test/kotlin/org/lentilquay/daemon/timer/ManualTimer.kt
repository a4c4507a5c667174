/*
 * A timer for tests whose time changes only when a test advances it. Advancing delivers every tick that falls due, in
 * order of time, and waits until each collector has handled its tick.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import java.util.concurrent.CopyOnWriteArrayList

class ManualTimer(@Volatile private var time: Long = 0) : Timer {
    private class Delivery(val events: List<TimerEvent>, val handled: CompletableDeferred<Unit>)

    private class Collector(val everyMillis: Long, var due: Long) {
        val deliveries = Channel<Delivery>()
    }

    private val collectors = CopyOnWriteArrayList<Collector>()

    /** Number of active collectors; a test waits for them before it advances the time. */
    val collectorCount: Int get() = collectors.size

    override fun now(): Long = time

    override fun ticks(everyMillis: Long): Flow<TimerEvent> = flow {
        val collector = Collector(everyMillis, time + everyMillis)
        collectors += collector
        try {
            for (delivery in collector.deliveries) {
                try {
                    delivery.events.forEach { emit(it) }
                } finally {
                    delivery.handled.complete(Unit)
                }
            }
        } finally {
            collectors -= collector
            collector.deliveries.close()
        }
    }

    /** Advances the time by [millis] and delivers all ticks that fall due. */
    suspend fun advance(millis: Long) {
        val end = time + millis
        while (true) {
            val next = collectors.minByOrNull { it.due }?.takeIf { it.due <= end } ?: break
            time = maxOf(time, next.due)
            next.due += next.everyMillis
            deliver(next, listOf(TimerEvent.Tick(time)))
        }
        time = end
    }

    /** Advances the time by [millis] as if the process had been suspended: each stream gets one pause and one tick. */
    suspend fun pause(millis: Long) {
        time += millis
        collectors.forEach {
            val gap = time - it.due
            it.due = time + it.everyMillis
            deliver(it, listOf(TimerEvent.Paused(time, gap), TimerEvent.Tick(time)))
        }
    }

    private suspend fun deliver(collector: Collector, events: List<TimerEvent>) {
        val delivery = Delivery(events, CompletableDeferred())
        try {
            collector.deliveries.send(delivery)
            delivery.handled.await()
        } catch (_: ClosedSendChannelException) {
            // The collector was cancelled.
        }
    }
}
