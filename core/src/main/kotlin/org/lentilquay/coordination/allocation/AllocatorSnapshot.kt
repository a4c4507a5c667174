/*
 * The state of a ServerAllocator as status pages and the explain command show it.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId

/** How far the ownership of the server is established. */
enum class AllocatorState {
    /** No valid claim: nothing is granted or ordered. */
    UNCLAIMED,

    /** Inside the waiting time of a new owner. */
    TAKEOVER,

    /** The lease expired on a server that ignores fencing numbers. */
    IN_DOUBT,
    OWNING,

    /** Another VM owns the server. */
    DEPOSED,
}

/** What a slot of the server holds. */
enum class SlotState {
    LOADED,
    LOADING,
    UNLOADING,

    /** An order had an unknown result; the slot is not used until an unload succeeds. */
    UNCERTAIN,

    /** A previous owner may still unload the adapter; the slot is not used. */
    PENDING_UNLOAD,
}

/** One slot: its adapter, its state, the runs that pin it, the requests that wait for it and how often it is asked. */
data class SlotSnapshot(
    val adapter: AdapterVersion,
    val state: SlotState,
    val pins: Int,
    val waiting: Int,
    val decayedFrequency: Double,
    /** Whether an eviction still needs a report that shows the adapter idle. */
    val awaitsIdleReport: Boolean,
)

/** The state of one allocator at one moment. */
data class AllocatorSnapshot(
    val server: ServerId,
    val fence: Long,
    val state: AllocatorState,
    val serverIncarnation: Long?,
    val knownWarm: Boolean,
    val mayTakeWork: Boolean,
    val slotLimit: Int,
    val slots: List<SlotSnapshot>,
    /** Adapters for which a load permit is sought or held, with the requests that wait for them. */
    val wantedLoads: Map<AdapterVersion, Int>,
    val queuedByTeam: Map<TeamId, Int>,
    val inFlight: Int,
    val inFlightLimit: Int,
    val unconfirmed: Int,
    val coldLimit: Int,
    val averageServiceMillis: Long,
    val averageLoadMillis: Long,
)
