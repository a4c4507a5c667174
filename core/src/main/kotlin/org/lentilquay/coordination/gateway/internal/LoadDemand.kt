/*
 * The load demand of one engine: adapters that requests wait for, in the order in which they were first asked for.
 * Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

import org.lentilquay.state.gateway.AdapterName

/** Adapters that may wait for their load order on one engine; one more would wait for over half a second. */
private const val MAXIMUM_QUEUED_ADAPTERS = 6

/** The same while requests use every loaded adapter; on a busy engine, a use ends about every 100 ms. */
private const val MAXIMUM_QUEUED_ADAPTERS_WITHOUT_SLOT = 3

/** While requests use every loaded adapter, an adapter waits this long for a slot: about three ends of a request. */
private const val SLOT_WAIT_MILLIS = 400L

/** Demand that is not renewed for this long is dropped. */
private const val DEMAND_EXPIRY_MILLIS = 300L

internal class LoadDemand {
    private class Entry(val since: Long, var renewedAt: Long)

    private val entries = LinkedHashMap<AdapterName, Entry>()

    /**
     * Adds or renews the demand for [adapter]; returns false if the request must not wait here. [isInUse] says that
     * requests use every adapter of the engine, and [mayQueue] that the request waits nevertheless.
     */
    fun request(adapter: AdapterName, now: Long, isInUse: Boolean, mayQueue: Boolean): Boolean {
        expire(now)
        val since = entries[adapter]?.since
        val limit = if (isInUse) MAXIMUM_QUEUED_ADAPTERS_WITHOUT_SLOT else MAXIMUM_QUEUED_ADAPTERS
        val isRefused = when {
            since != null -> isInUse && now - since > SLOT_WAIT_MILLIS
            else -> entries.size >= limit || (isInUse && !mayQueue)
        }
        if (isRefused) entries.remove(adapter) else entries.getOrPut(adapter) { Entry(now, now) }.renewedAt = now
        return !isRefused
    }

    fun remove(adapter: AdapterName) {
        entries.remove(adapter)
    }

    /** The adapter that has waited longest of those that are [eligible], or null. */
    fun next(now: Long, eligible: (AdapterName) -> Boolean): AdapterName? {
        expire(now)
        return entries.keys.firstOrNull(eligible)
    }

    private fun expire(now: Long) = entries.values.removeIf { now - it.renewedAt > DEMAND_EXPIRY_MILLIS }
}
