/*
 * An input whose waits can have a time limit. Timers that are due run before sockets are read when the process had no
 * processor time, so a wait whose time has ended looks at the socket once more before it gives up. It then fails with
 * an exception and is not cancelled, so a parser ends in order and the bytes that nobody read can still be read.
 */
package org.lentilquay.transport

import io.ktor.utils.io.ByteReadChannel
import kotlinx.io.IOException

/**
 * Bytes that are taken after the end of a limit unless the caller names another number: more than the head of a message
 * and the bytes that are received together with it, and few enough that a flood ends soon.
 */
internal const val MAXIMUM_LATE_BYTES = 1L shl 20

internal interface TimedInput : ByteReadChannel {
    /**
     * Runs [block], which fails with an [InputTimeoutException] when it waits for content after [millis] have passed
     * since the call. [millis] is read again for each wait and at its end, so a limit that was raised meanwhile holds.
     * After the limit, only bytes that have arrived are taken, at most [maximumLateBytes]. Limits can be nested; the
     * one that ends first holds. Call it from the coroutine that reads.
     */
    suspend fun <T> within(
        millis: () -> Long,
        maximumLateBytes: Long = MAXIMUM_LATE_BYTES,
        block: suspend () -> T,
    ): T

    /** Makes a wait in progress read its limits again. Safe for use from any thread. */
    fun reviewLimits()

    /** Number of bytes that have arrived and were not read; those in the socket count as far as the buffer has room. */
    fun unreadBytes(): Long

    /**
     * Why the end of this input may not be where the other side ended its output, or null. A socket reports a reset
     * once: if a write has met it, the next read sees an end in order.
     */
    fun brokenEnd(): Throwable?
}

/** Nothing arrived within [limitMillis], which was noticed [lateMillis] after their end. */
internal class InputTimeoutException(
    val limitMillis: Long,
    val lateMillis: Long,
) : IOException("nothing arrived within $limitMillis ms")
