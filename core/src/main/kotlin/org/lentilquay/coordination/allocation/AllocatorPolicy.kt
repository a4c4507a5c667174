/*
 * The time bounds and sizes by which the owner of a backend server decides. All times are in milliseconds. The defaults
 * for claims, grants and the takeover wait are those of docs/design.md, sections 4.1 and 4.10; changing one of them
 * changes what other VMs may rely on.
 */
package org.lentilquay.coordination.allocation

/** Bounds and sizes of a [ServerAllocator]. */
data class AllocatorPolicy(
    /** A server that checks fencing numbers gets grants and orders only this long after the last claim was sent. */
    val claimValidityMillis: Long = 2_000,
    /** How long after its poll was sent a fronting VM may still start a granted run. */
    val startValidityMillis: Long = 1_500,
    /** Allowance for the time that a started run takes to reach the server. */
    val networkMarginMillis: Long = 1_000,
    /** A queued request whose poll is not repeated for this long leaves the queue. */
    val pollTimeoutMillis: Long = 1_500,
    /** A queued request is granted only this long after its last poll, so that the grant can still be used. */
    val pollFreshMillis: Long = 800,
    /** Inside a team a long request is ordered as if it had arrived this much later; the bound prevents starvation. */
    val longRequestDelayMillis: Long = 1_000,
    /**
     * Time in which the request frequency of an adapter that is no longer asked for falls to one half. With 300
     * adapters under Zipf popularity and 16 slots, 5 s lost hits by forgetting, and 300 s after shifts of popularity.
     */
    val frequencyHalfLifeMillis: Long = 60_000,
    /** Adapters, loaded or not, whose request frequency is kept. */
    val frequencyEntries: Int = 2_048,
    /** Assumed time of one run until runs were measured. */
    val initialServiceMillis: Long = 500,
    /** Assumed time from the wish for a load to its end until loads were measured. */
    val initialLoadMillis: Long = 400,
    /** Time in which an unusual load time counts half, if no further load ends. */
    val loadEstimateHalfLifeMillis: Long = 2_000,
    /** Assumed wait while the owner has no valid claim or no report of the server; both come about every second. */
    val unclaimedWaitMillis: Long = 1_000,
    /** Assumed wait for an adapter that a previous owner may still unload. */
    val pendingUnloadWaitMillis: Long = 10_000,
    /** Share of the newest sample in the averages of service and load times. */
    val averageWeight: Double = 0.1,
    /** Loads for which permits are sought at the same time. */
    val maximumWantedLoads: Int = 8,
    /** Loads that are sought in advance at the same time while slots are free. */
    val maximumAdvanceLoads: Int = 2,
    /** Least decayed frequency, in requests, for a load in advance. */
    val advanceFrequency: Double = 1.0,
    /** Pause between two searches for loads in advance. */
    val advanceIntervalMillis: Long = 250,
    /** Back-off of an adapter after its first failed load; it doubles with each further failure. */
    val minimumLoadBackoffMillis: Long = 1_000,
    /** Longest back-off of an adapter after failed loads. */
    val maximumLoadBackoffMillis: Long = 30_000,
    /** Pause of all grants after the server answered that it has no room. */
    val overloadPauseMillis: Long = 200,
    /** Time after which the runs of a VM that is gone no longer count as in flight; their pins stay. */
    val orphanCountMillis: Long = 10_000,
    /** A run is forgotten if reports show its adapter idle for this long: its release was lost. */
    val lostReleaseMillis: Long = 5_000,
    /** A run no longer counts as in flight after this time: its release was lost. Its pin stays. */
    val runTimeoutMillis: Long = 600_000,
    /** Bound on the age of a report whose time cannot be derived from a claim. */
    val reportLagMillis: Long = 5_000,
    /** Pause before an unload with an unknown result is ordered again. */
    val unloadRetryMillis: Long = 1_000,
    /** Released requests are remembered this long, so that a late list of active runs does not bring them back. */
    val releaseMemoryMillis: Long = 10_000,
) {
    /** How long a new owner evicts nothing: an old claim, a start under it and its way to the server all run out. */
    val takeoverWaitMillis: Long get() = claimValidityMillis + startValidityMillis + networkMarginMillis

    /** Time after a grant from which on a report that shows no run proves that the run is not going to start. */
    val grantSettleMillis: Long get() = startValidityMillis + networkMarginMillis
}
