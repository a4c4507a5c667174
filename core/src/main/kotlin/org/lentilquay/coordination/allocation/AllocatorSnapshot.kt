/*
 * The state of a ServerAllocator for the status page and the explain command.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId

/** The state of this VM's ownership of the server. */
enum class AllocatorState {
    /** No valid claim: nothing is granted or ordered. */
    UNCLAIMED,

    /** A new owner within its takeover wait: no evictions, and grants up to half the in-flight limit. */
    TAKEOVER,

    /** The ownership is unconfirmed: the lease expired, and the server ignores fencing numbers. */
    IN_DOUBT,
    OWNING,

    /** Another VM owns the server. */
    DEPOSED,
}

/** The state of an adapter slot. */
enum class SlotState {
    LOADED,
    LOADING,
    UNLOADING,

    /** An order had an unknown result; the slot is not used until an unload succeeds. */
    UNCERTAIN,

    /** A previous owner may still unload the adapter; the slot is not used. */
    PENDING_UNLOAD,
}

/** One used adapter slot. */
data class SlotSnapshot(
    val adapter: AdapterVersion,
    val state: SlotState,
    /** The number of runs that pin the adapter. */
    val pins: Int,
    /** The number of queued requests for the adapter. */
    val waiting: Int,
    /** The number of requests for the adapter, with exponential decay. */
    val decayedFrequency: Double,
    /** Whether the adapter can be evicted only after a report shows it idle. */
    val awaitsIdleReport: Boolean,
)

/** The state of one allocator. */
data class AllocatorSnapshot(
    val server: ServerId,
    val fence: Long,
    val state: AllocatorState,
    val serverIncarnation: Long?,
    val knownWarm: Boolean,
    val mayTakeWork: Boolean,
    val slotLimit: Int,
    val slots: List<SlotSnapshot>,
    /** Adapters for which a load permit is requested or held, with the number of requests that wait for each. */
    val plannedLoads: Map<AdapterVersion, Int>,
    val queuedByTeam: Map<TeamId, Int>,
    val inFlight: Int,
    val inFlightLimit: Int,
    val unconfirmed: Int,
    val coldLimit: Int,
    val averageServiceMillis: Long,
    val averageLoadMillis: Long,
)
