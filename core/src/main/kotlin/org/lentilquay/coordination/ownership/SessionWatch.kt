/*
 * An observer's view of the session of a suspected owner. The time is the observer's own: it runs from the moment the
 * observer learned the version of the session record. The proof that the version did not change is a check inside the
 * taking transaction, because a read may be stale.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.state.VmId

internal class SessionWatch {
    private var vm: VmId? = null
    private var version = 0L
    private var since = 0L

    /** Notes that the session of [of] has [seenVersion], 0 for no record. */
    fun observed(of: VmId, seenVersion: Long, now: Long) {
        if (vm == of && version == seenVersion) return
        vm = of
        version = seenVersion
        since = now
    }

    /** Forgets the observation, after a check showed that the session has changed. */
    fun forget() {
        vm = null
    }

    /** The version to check and the time from which a taking may rely on it, or null before the first reading. */
    fun proof(of: VmId): Pair<Long, Long>? =
        if (vm == of) version to since + SESSION_LEASE_MILLIS + SESSION_MARGIN_MILLIS else null
}
