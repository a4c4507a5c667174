/*
 * The time service. Decisions take the time as an argument; this is where it comes from. Times are milliseconds of a
 * monotonic clock with an arbitrary start, so they are never compared between VMs.
 */
package org.lentilquay.daemon.timer

import kotlinx.coroutines.flow.Flow

/** A tick that comes later than expected by more than this, in milliseconds, shows that the process was paused. */
const val PAUSE_MILLIS: Long = 1_000

/** An event of a tick stream. */
sealed interface TimerEvent {
    val now: Long

    data class Tick(override val now: Long) : TimerEvent

    /**
     * The process, or the collector of this stream, did not run for about [gapMillis]. Whatever it held before, such as
     * ownership of backend servers, may have passed to others in the meantime. A tick follows.
     */
    data class Paused(override val now: Long, val gapMillis: Long) : TimerEvent
}

/** Gives the time and tick streams. */
interface Timer {
    /** Milliseconds of the monotonic clock. */
    fun now(): Long

    /**
     * A stream with one tick every [everyMillis]. Each collector has its own stream. A collector that is slower than
     * the interval misses ticks; they are not made up for.
     */
    fun ticks(everyMillis: Long): Flow<TimerEvent>
}
