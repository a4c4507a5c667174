/*
 * Time limits and sizes for the decisions of the owner of a backend server. All times are in milliseconds. The defaults
 * for claims, grants and the takeover wait are those of docs/design.md, sections 4.1 and 4.10; other VMs rely on them.
 */
package org.lentilquay.coordination.allocation

/** Time limits and sizes of a [ServerAllocator]. */
data class AllocatorPolicy(
    /** Grants and orders for a server that checks fencing numbers end this long after the last claim was sent. */
    val claimValidityMillis: Long = 2_000,
    /** How long after it sent the poll the requesting VM may still start a granted run. */
    val startValidityMillis: Long = 1_500,
    /** Time for a started run to reach the server. */
    val networkMarginMillis: Long = 1_000,
    /** A queued request leaves the queue if it is not polled for this long. */
    val pollTimeoutMillis: Long = 1_500,
    /** A queued request is granted only within this time after its last poll, so that the grant can still be used. */
    val pollFreshnessMillis: Long = 800,
    /** Within a team, a long request is sorted as if it had arrived this much later; the limit prevents starvation. */
    val longRequestDelayMillis: Long = 1_000,
    /**
     * Half-life of the request frequency of an adapter. With 300 adapters of Zipf-distributed popularity and 16 slots,
     * 5 s loses hits because the history is too short, and 300 s because it adapts too slowly to a popularity shift.
     */
    val frequencyHalfLifeMillis: Long = 60_000,
    /** Maximum number of adapters, loaded or not, whose request frequency is kept. */
    val frequencyEntries: Int = 2_048,
    /** Assumed run time before the first run has ended. */
    val initialServiceMillis: Long = 500,
    /** Assumed time from the planning of a load to its end before the first load has ended. */
    val initialLoadMillis: Long = 400,
    /** Half-life of the deviation of the load estimate from its initial value while no load ends. */
    val loadEstimateHalfLifeMillis: Long = 2_000,
    /** Assumed wait for a valid claim or a report of the server; both arrive about once a second. */
    val unclaimedWaitMillis: Long = 1_000,
    /** Assumed wait for an adapter that a previous owner may still unload. */
    val pendingUnloadWaitMillis: Long = 10_000,
    /** Weight of the newest sample in the moving averages of run and load times. */
    val averageWeight: Double = 0.1,
    /** Maximum number of loads with a permit request or a permit at the same time. */
    val maximumPlannedLoads: Int = 8,
    /** Maximum number of prefetches among them while slots are free. */
    val maximumPrefetches: Int = 2,
    /** Minimum decayed request frequency of an adapter for a prefetch, in requests. */
    val prefetchFrequency: Double = 1.0,
    /** Interval between two searches for prefetches. */
    val prefetchIntervalMillis: Long = 250,
    /** Back-off of an adapter after its first failed load; it doubles with each further failure in a row. */
    val minimumLoadBackoffMillis: Long = 1_000,
    /** Upper limit of the back-off of an adapter. */
    val maximumLoadBackoffMillis: Long = 30_000,
    /** Pause of all grants after the server answered that it is overloaded. */
    val overloadPauseMillis: Long = 200,
    /** Runs of a departed VM no longer count as in flight after this time; they still pin their adapters. */
    val orphanedRunMillis: Long = 10_000,
    /** A run is removed if reports show its adapter idle for this long, because its release was lost. */
    val lostReleaseMillis: Long = 5_000,
    /** A run no longer counts as in flight after this time, because its release was lost; it still pins its adapter. */
    val runTimeoutMillis: Long = 600_000,
    /** Maximum age of a report whose time cannot be derived from a claim. */
    val reportLagMillis: Long = 5_000,
    /** Delay before an unload with an unknown result is ordered again. */
    val unloadRetryMillis: Long = 1_000,
    /** Released request ids are kept this long, so that a late list of active runs does not add them again. */
    val releaseMemoryMillis: Long = 10_000,
) {
    /** A new owner evicts nothing for this long, so that an old claim, starts under it and their transit have ended. */
    val takeoverWaitMillis: Long get() = claimValidityMillis + startValidityMillis + networkMarginMillis

    /** After this time from a grant, a report that does not show the run proves that it will not start. */
    val grantExpiryMillis: Long get() = startValidityMillis + networkMarginMillis
}
