/*
 * What a ServerAllocator decides: answers to reservations, effects that the daemon carries out, and the results of
 * orders that the daemon reports back.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Failure
import org.lentilquay.state.VmId

/** The immediate answer to a reservation or to a repeated poll. */
sealed interface ReserveDecision {
    /** The run may start until the start validity after the poll was sent. */
    data class Granted(val waitedForLoad: Boolean) : ReserveDecision

    /** The request waits; a grant or refusal follows as an effect or as the answer to a later poll. */
    data class Queued(val expectedWaitMillis: Long) : ReserveDecision

    /** The request is not queued, because the expected wait is over its spill bound. */
    data class Busy(val expectedWaitMillis: Long) : ReserveDecision

    /** The request cannot be served here; it did not run. */
    data class Refused(val failure: Failure) : ReserveDecision

    /** This VM no longer owns the server. */
    data object NotOwner : ReserveDecision
}

/** Something that the daemon has to do, in the order given. */
sealed interface AllocatorEffect {
    /** Answers the held poll of [requestId]; without a held poll there is nothing to do, the next poll is granted. */
    data class Grant(
        val requestId: String,
        val from: VmId,
        val adapter: AdapterVersion?,
        val waitedForLoad: Boolean,
    ) : AllocatorEffect

    /** Answers the held poll of [requestId] with a failure; the request left the queue. */
    data class Refuse(val requestId: String, val from: VmId, val failure: Failure) : AllocatorEffect

    /** Answers the held poll of [requestId] with "not owner"; the request left the queue. */
    data class NotOwner(val requestId: String, val from: VmId) : AllocatorEffect

    /** Seek a load permit for [adapter], or renew the request for it with the new numbers. */
    data class RequestLoadPermit(val adapter: AdapterVersion, val waitingRequests: Int, val oldestWaitMillis: Long) :
        AllocatorEffect

    /** Withdraw the request for a load permit of [adapter], or give back a permit that is not used. */
    data class CancelLoadPermit(val adapter: AdapterVersion) : AllocatorEffect

    /** Send the load order of [adapter], whose permit is held, and report the result. */
    data class Load(val adapter: AdapterVersion) : AllocatorEffect

    /** Send the unload order of [adapter] and report the result. */
    data class Unload(val adapter: AdapterVersion) : AllocatorEffect
}

/** How a load order ended. */
enum class LoadResult {
    /** The adapter is loaded, also if it was loaded before. */
    LOADED,

    /** The server or the weight store refused, and the adapter is not loaded. */
    FAILED,

    /** The server has no free slot, and the adapter is not loaded. */
    NO_FREE_SLOT,

    /** The order was not sent. */
    NOT_SENT,

    /** No answer arrived; the adapter may be loaded or not. */
    UNKNOWN,
}

/** How an unload order ended. */
enum class UnloadResult {
    /** The adapter is not loaded, also if it was not loaded before. */
    UNLOADED,

    /** The server refused; the adapter is still loaded. */
    STILL_LOADED,

    /** The order was not sent. */
    NOT_SENT,

    /** No answer arrived; the adapter may be loaded or not. */
    UNKNOWN,
}
