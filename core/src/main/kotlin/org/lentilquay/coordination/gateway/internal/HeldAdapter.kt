/*
 * An adapter that an engine holds, loads or is about to drop, as the VM in control of the engine sees it. Times are
 * monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

import org.lentilquay.coordination.gateway.AdapterAvailability

/** After its adapter became ready, a request has this long to tell its use: one message between VMs. */
private const val RESERVED_MILLIS = 300L

internal class HeldAdapter(var version: Long, var readyAt: Long, val acceptedAt: Long) {
    var usedAt = acceptedAt

    /** The adapter was promised to requests that have until then to tell their use. */
    private var reservedUntil = maxOf(acceptedAt, readyAt) + RESERVED_MILLIS

    /** The requests that use the adapter, with the time after which they certainly do not. */
    val uses = HashMap<String, Long>()
    var isConfirmed = false
    var isUnloading = false

    /** A newer version takes the place of the one that is held, once the requests of that one have ended. */
    var isReplacing = false

    /** Keeps the adapter for a request that is told how it stands. */
    fun promise(now: Long, mayQueue: Boolean): AdapterAvailability {
        usedAt = now
        reservedUntil = maxOf(now, readyAt) + RESERVED_MILLIS
        return when {
            readyAt <= now -> AdapterAvailability.Ready(version)
            isReplacing && !mayQueue -> AdapterAvailability.Full
            else -> AdapterAvailability.Loading(readyAt)
        }
    }

    /** The engine refused to unload the adapter, because requests use it. */
    fun unloadRefused(now: Long) {
        reservedUntil = now + RESERVED_MILLIS
    }

    /** Whether the engine can drop the adapter for another one. */
    fun isIdle(now: Long): Boolean {
        uses.values.removeIf { it < now }
        return uses.isEmpty() && reservedUntil <= now && !isUnloading && readyAt <= now
    }
}
