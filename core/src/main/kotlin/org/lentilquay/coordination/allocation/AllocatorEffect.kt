/*
 * The decisions of a ServerAllocator: answers to reservations, effects that the daemon carries out, and the results of
 * orders that the daemon reports back.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Failure
import org.lentilquay.state.VmId

/** The immediate answer to a reservation or to a later poll for it. */
sealed interface ReserveDecision {
    /** The run may start within the start validity, counted from the sending of the poll. */
    data class Granted(val waitedForLoad: Boolean) : ReserveDecision

    /** The request is queued; a grant or refusal follows as an effect or as the answer to a later poll. */
    data class Queued(val expectedWaitMillis: Long) : ReserveDecision

    /** The request is not queued, because the expected wait exceeds its spill limit. */
    data class Busy(val expectedWaitMillis: Long) : ReserveDecision

    /** The request cannot run on this server; it did not run. */
    data class Refused(val failure: Failure) : ReserveDecision

    /** This VM no longer owns the server. */
    data object NotOwner : ReserveDecision
}

/** An action for the daemon. Actions are carried out in the given order. */
sealed interface AllocatorEffect {
    /** Answers the held poll of [requestId]. Without a held poll there is nothing to do: the next poll is granted. */
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

    /** Request a load permit for [adapter], or repeat the request with the new numbers. */
    data class RequestLoadPermit(val adapter: AdapterVersion, val waitingRequests: Int, val oldestWaitMillis: Long) :
        AllocatorEffect

    /** Cancel the request for a load permit of [adapter], or return the unused permit. */
    data class CancelLoadPermit(val adapter: AdapterVersion) : AllocatorEffect

    /** Send the load order for [adapter], whose permit is held, and report the result. */
    data class Load(val adapter: AdapterVersion) : AllocatorEffect

    /** Send the unload order for [adapter] and report the result. */
    data class Unload(val adapter: AdapterVersion) : AllocatorEffect
}

/** The result of a load order. */
enum class LoadResult {
    /** The adapter is loaded, or was loaded before. */
    LOADED,

    /** The server or the weight store refused; the adapter is not loaded. */
    FAILED,

    /** The server has no free adapter slot; the adapter is not loaded. */
    NO_FREE_SLOT,

    /** The order was not sent. */
    NOT_SENT,

    /** No answer arrived; the adapter may or may not be loaded. */
    UNKNOWN,
}

/** The result of an unload order. */
enum class UnloadResult {
    /** The adapter is not loaded, or was not loaded before. */
    UNLOADED,

    /** The server refused; the adapter is still loaded. */
    STILL_LOADED,

    /** The order was not sent. */
    NOT_SENT,

    /** No answer arrived; the adapter may or may not be loaded. */
    UNKNOWN,
}
