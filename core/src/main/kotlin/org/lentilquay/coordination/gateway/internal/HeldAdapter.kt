/*
 * An adapter that an engine holds, loads or unloads, in the view of the engine's controller. Times are monotonic
 * milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

import org.lentilquay.coordination.gateway.AdapterAvailability

/** Time for a request's VM to report the use of an adapter that became ready: one message between VMs. */
private const val USE_REPORT_MILLIS = 300L

internal class HeldAdapter(var version: Long, var readyAt: Long, val acceptedAt: Long) {
    /** Time of the last use, for the choice of the least recently used adapter. */
    var usedAt = acceptedAt

    /** The adapter is not evicted before this time, so that requests that asked for it can report their use first. */
    private var keptUntil = maxOf(acceptedAt, readyAt) + USE_REPORT_MILLIS

    /** The ids of requests that use the adapter, with the time at which each use expires. */
    val uses = HashMap<String, Long>()

    /** Whether a report has shown the adapter. */
    var isConfirmed = false
    var isUnloading = false

    /** Whether the engine replaces the adapter by a newer version once the requests of the older one have ended. */
    var isReplacing = false

    /** Answers a request for the adapter, and keeps the adapter until the request can have reported its use. */
    fun hold(now: Long, mayQueue: Boolean): AdapterAvailability {
        usedAt = now
        keptUntil = maxOf(now, readyAt) + USE_REPORT_MILLIS
        return when {
            readyAt <= now -> AdapterAvailability.Ready(version)
            isReplacing && !mayQueue -> AdapterAvailability.Full
            else -> AdapterAvailability.Loading(readyAt)
        }
    }

    /** The engine refused to unload the adapter because requests use it. */
    fun unloadRefused(now: Long) {
        keptUntil = now + USE_REPORT_MILLIS
    }

    /** Whether the adapter can be evicted. */
    fun isEvictable(now: Long): Boolean {
        uses.values.removeIf { it < now }
        return uses.isEmpty() && keptUntil <= now && !isUnloading && readyAt <= now
    }
}
