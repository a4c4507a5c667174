/*
 * The answers of the team buckets to a request for admission. Amounts are whole tokens, times are milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The tokens that an admitted request was charged. It is handed back once, to settle the real use. */
data class Charge(val team: TeamId, val sequence: Long, val tokens: Long)

/** A `TakeTokens` message to send: [amount] tokens wanted from [holder], at least [minimum] of them. */
data class TransferRequest(val holder: VmId, val amount: Long, val minimum: Long = amount)

/** A pull as the holder of seats knows it; [id] is its own number for the pull. */
data class PeerTransferRequest(
    val id: String,
    val requester: VmId,
    /** The tokens that are wanted, and those that the request which waits for them needs. */
    val amount: Long,
    val minimum: Long,
    /** How long that request has waited, and how much longer it may wait. */
    val waitedMillis: Long,
    val remainingWaitMillis: Long,
)

/** What a holder of seats does about the pull of another VM. */
sealed interface TransferDecision {
    /** Answer with [amount] tokens; 0 if there will not be enough in time. */
    data class Transfer(val amount: Long) : TransferDecision

    /** Decide again after [millis]. */
    data class Wait(val millis: Long) : TransferDecision
}

/** Whether a request may run, as far as its team's rate and burst are concerned. */
sealed interface AdmissionDecision {
    /** The request may run and has been charged. */
    data class Admitted(val charge: Charge) : AdmissionDecision

    /**
     * The request waits for [missing] tokens. The caller sends [requests], and asks again with the same request id
     * after each answer and at the latest after [retryAfterMillis].
     */
    data class NeedTokens(
        val missing: Long,
        val requests: List<TransferRequest>,
        /** How long the request has waited; it goes with each pull. */
        val waitedMillis: Long,
        /** How much longer the request may wait for tokens. */
        val remainingWaitMillis: Long,
        val retryAfterMillis: Long,
    ) : AdmissionDecision

    /** The request is larger than the team's burst and can never be admitted. */
    data class ExceedsBurst(val burstTokens: Long) : AdmissionDecision

    /** The team is over its rate; the advised wait is [retryAfterMillis]. */
    data class RateLimited(val retryAfterMillis: Long) : AdmissionDecision

    /** The configuration of this VM has no such team. */
    data object UnknownTeam : AdmissionDecision
}
