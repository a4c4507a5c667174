/*
 * The source of time and of periodic ticks. Decision logic takes the current time as an argument, which its callers get
 * here. Times are milliseconds of a monotonic clock with an arbitrary start, so they cannot be compared between VMs.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.flow.Flow

/** A tick that is late by more than this means that the process was paused. */
const val PAUSE_THRESHOLD_MILLIS: Long = 1_000

/** An event of a tick stream. [now] is the time of the event, in milliseconds of the [Timer]. */
sealed interface TimerEvent {
    val now: Long

    data class Tick(override val now: Long) : TimerEvent

    /**
     * The process, or the collector of this stream, did not run for about [gapMillis]. Leases and ownership that it
     * held before may have passed to other VMs in the meantime. A [Tick] follows.
     */
    data class Paused(override val now: Long, val gapMillis: Long) : TimerEvent
}

/** Provides the current time and streams of ticks. */
interface Timer {
    /** The current time, in milliseconds of the monotonic clock. */
    fun now(): Long

    /**
     * A cold flow with one tick every [everyMillis], timed for each collector on its own. A collector that takes longer
     * than the interval misses ticks; they are not delivered later.
     */
    fun ticks(everyMillis: Long): Flow<TimerEvent>
}
