/*
 * Decisions of [TeamBuckets] on the admission of requests and on token transfers to other VMs. Amounts are whole
 * tokens, times are durations in milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The tokens charged for an admitted request; the caller settles the charge once, with the actual use. */
data class Charge(val team: TeamId, val sequence: Long, val tokens: Long)

/** A `TakeTokens` message to send to the seat [holder] for [amount] tokens, and for none if fewer than [minimum]. */
data class TransferRequest(val holder: VmId, val amount: Long, val minimum: Long = amount)

/** A transfer request as its seat holder handles it; [id] is assigned by the holder. */
data class PeerTransferRequest(
    val id: String,
    val requester: VmId,
    /** The requested tokens. */
    val amount: Long,
    /** The tokens that the waiting inference request needs; fewer are not transferred. */
    val minimum: Long,
    /** How long that inference request has waited. */
    val waitedMillis: Long,
    /** How much longer it may wait. */
    val remainingWaitMillis: Long,
)

/** Tokens that [holder] transferred as [id], which it assigned. [amount] is what it deducted for it. */
data class ReceivedTransfer(val holder: VmId, val id: String, val amount: Long)

/** A message to the seat [holder] that its [transfer] is used, except [returned] tokens, which this VM gives up. */
data class TransferEnd(val holder: VmId, val team: TeamId, val transfer: String, val returned: Long)

/** The decision of a seat holder on the transfer request of another VM. */
sealed interface TransferDecision {
    /** Answer with [amount] tokens; 0 is a refusal. */
    data class Transfer(val amount: Long) : TransferDecision

    /** Decide again after [millis]. */
    data class Wait(val millis: Long) : TransferDecision
}

/** Whether the team's rate and burst admit a request. */
sealed interface AdmissionDecision {
    /** The request may run and has been charged. */
    data class Admitted(val charge: Charge) : AdmissionDecision

    /**
     * The request waits for [missing] tokens. The caller sends [requests] and calls [TeamBuckets.admit] again with
     * the same request id after each answer, and at the latest after [retryAfterMillis].
     */
    data class NeedTokens(
        val missing: Long,
        val requests: List<TransferRequest>,
        /** How long the request has waited; sent with each transfer request. */
        val waitedMillis: Long,
        /** How much longer the request may wait for tokens. */
        val remainingWaitMillis: Long,
        val retryAfterMillis: Long,
    ) : AdmissionDecision

    /** The request needs more tokens than the team's burst and can never be admitted. */
    data class ExceedsBurst(val burstTokens: Long) : AdmissionDecision

    /** The team is over its rate; the caller should retry after [retryAfterMillis]. */
    data class RateLimited(val retryAfterMillis: Long) : AdmissionDecision

    /** The configuration of this VM has no such team. */
    data object UnknownTeam : AdmissionDecision
}
