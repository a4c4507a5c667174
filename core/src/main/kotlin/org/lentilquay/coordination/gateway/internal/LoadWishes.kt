/*
 * The adapters that requests wait for on one engine, in the order in which they were first asked for. Times are
 * monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.internal

import org.lentilquay.state.gateway.AdapterName

/** Loads that wait for their order on one engine; more would wait for over half a second. */
private const val MAXIMUM_WISHES = 6

/** The same while requests use every adapter; on a busy engine one of them ends about every 100 ms. */
private const val MAXIMUM_WISHES_WITHOUT_PLACE = 3

/** A wish for a place on an engine with requests on every adapter is given up after this: three ends of a request. */
private const val PLACE_PATIENCE_MILLIS = 400L

/** A wish that nobody renewed for this long is dropped. */
private const val WISH_MILLIS = 300L

internal class LoadWishes {
    private class Wish(val since: Long, var renewedAt: Long)

    private val wishes = LinkedHashMap<AdapterName, Wish>()

    /**
     * Adds or renews the wish for [adapter]; returns false if it is not to be waited for here. [isInUse] tells that
     * requests use every adapter of the engine, and [mayQueue] that the request waits nevertheless.
     */
    fun ask(adapter: AdapterName, now: Long, isInUse: Boolean, mayQueue: Boolean): Boolean {
        expire(now)
        val since = wishes[adapter]?.since
        val bound = if (isInUse) MAXIMUM_WISHES_WITHOUT_PLACE else MAXIMUM_WISHES
        val isRefused = when {
            since != null -> isInUse && now - since > PLACE_PATIENCE_MILLIS
            else -> wishes.size >= bound || (isInUse && !mayQueue)
        }
        if (isRefused) wishes.remove(adapter) else wishes.getOrPut(adapter) { Wish(now, now) }.renewedAt = now
        return !isRefused
    }

    fun remove(adapter: AdapterName) {
        wishes.remove(adapter)
    }

    /** The eldest wish that [isDue], or null. */
    fun next(now: Long, isDue: (AdapterName) -> Boolean): AdapterName? {
        expire(now)
        return wishes.keys.firstOrNull(isDue)
    }

    private fun expire(now: Long) = wishes.values.removeIf { now - it.renewedAt > WISH_MILLIS }
}
