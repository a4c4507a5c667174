/*
 * Exponential back-off per adapter after failed loads, from 1 to 30 seconds (docs/design.md, section 4.10).
 */
package org.lentilquay.coordination.allocation.internal

import org.lentilquay.coordination.allocation.AllocatorPolicy
import org.lentilquay.state.AdapterVersion

/** Tracks failed loads by adapter. */
internal class LoadBackoff(private val policy: AllocatorPolicy) {
    private class Entry(val delayMillis: Long, val until: Long)

    private val entries = HashMap<AdapterVersion, Entry>()

    fun failed(adapter: AdapterVersion, now: Long) {
        val delay = entries[adapter]?.let { minOf(it.delayMillis * 2, policy.maximumLoadBackoffMillis) }
            ?: policy.minimumLoadBackoffMillis
        entries[adapter] = Entry(delay, now + delay)
    }

    fun succeeded(adapter: AdapterVersion) {
        entries.remove(adapter)
    }

    fun remainingMillis(adapter: AdapterVersion, now: Long): Long =
        entries[adapter]?.let { (it.until - now).coerceAtLeast(0) } ?: 0

    /** Drops entries with no further failure for the maximum back-off after their end. */
    fun sweep(now: Long) {
        entries.values.removeIf { now - it.until > policy.maximumLoadBackoffMillis }
    }
}
