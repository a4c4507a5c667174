/*
 * Observes the session record of a suspected owner to find out when its lease has expired. The time is measured by the
 * clock of this VM, from the first read that returned the current version of the record. Because a read may be stale,
 * the take transaction checks that the version is still the same. Times are monotonic milliseconds.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.VmId

internal class SessionExpiryObserver {
    private var vm: VmId? = null
    private var version = 0L
    private var observedAt = 0L

    /** Records that the session record of [of] has [seenVersion], 0 for no record. */
    fun observed(of: VmId, seenVersion: Long, now: Long) {
        if (vm == of && version == seenVersion) return
        vm = of
        version = seenVersion
        observedAt = now
    }

    /** Discards the observation after a check has shown that the session changed. */
    fun reset() {
        vm = null
    }

    /** The version to check and the time from which the unchanged version proves expiry; null before the first read. */
    fun expiryProof(of: VmId): Pair<Long, Long>? =
        if (vm == of) version to observedAt + SESSION_LEASE_MILLIS + SESSION_MARGIN_MILLIS else null
}
