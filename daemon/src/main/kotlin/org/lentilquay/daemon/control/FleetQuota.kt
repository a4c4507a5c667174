/*
 * Rate limits of teams. A quota seat is one of the equal shares of every team's token bucket and is held by one VM.
 * Requests are admitted with the tokens of this VM's own seats; missing tokens are transferred from other seat holders.
 * Thread-safe; times are in milliseconds. Docs: docs/design.md, section 4.4.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.quota.AdmissionDecision
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.coordination.quota.MAXIMUM_QUOTA_WAIT_MILLIS
import org.lentilquay.coordination.quota.PeerTransferRequest
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.quota.TransferDecision
import org.lentilquay.coordination.quota.TransferRequest
import org.lentilquay.daemon.requests.Quota
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Outcome
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.failed
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.atomic.AtomicLong

class FleetQuota(
    private val buckets: TeamBuckets,
    private val peers: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val transferMillis: Long,
    private val now: () -> Long,
) : Quota {
    private val transferCount = AtomicLong()

    override suspend fun admit(
        team: TeamId,
        requestId: String,
        tokens: Long,
        maximumWaitMillis: Long,
    ): Outcome<Charge> {
        val answerSignal = Channel<Unit>(Channel.CONFLATED)
        var decision: AdmissionDecision? = null
        try {
            decision = decide(team, requestId, tokens, maximumWaitMillis)
            while (decision is AdmissionDecision.NeedTokens) {
                val needed = decision
                needed.requests.forEach { transfer -> scope.launch { send(team, transfer, needed, answerSignal) } }
                val waitMillis = minOf(needed.retryAfterMillis, needed.remainingWaitMillis)
                withTimeoutOrNull(waitMillis) { answerSignal.receive() }
                decision = decide(team, requestId, tokens, maximumWaitMillis)
            }
        } finally {
            // The caller disconnected while the request waited for tokens.
            if (decision is AdmissionDecision.NeedTokens) {
                withContext(NonCancellable) { control.decide { buckets.cancelWaiting(team, requestId) } }
            }
            // A request whose caller has disconnected meanwhile does not run, so it uses none of its tokens.
            if (decision is AdmissionDecision.Admitted && !currentCoroutineContext().isActive) {
                settle(decision.charge, 0)
            }
        }
        currentCoroutineContext().ensureActive()
        return if (decision is AdmissionDecision.Admitted) Outcome.Success(decision.charge) else refusal(team, decision)
    }

    private suspend fun decide(
        team: TeamId,
        requestId: String,
        tokens: Long,
        maximumWaitMillis: Long,
    ): AdmissionDecision = withContext(NonCancellable) {
        control.decide { buckets.admit(team, requestId, tokens, now(), maximumWaitMillis) }
    }

    override fun settle(charge: Charge, actual: Long) {
        scope.launch { control.decide { buckets.settle(charge, actual, now()) } }
    }

    /** Answers a transfer request of another VM once there are tokens for it or there can be none in time. */
    suspend fun transferTokens(from: VmId, request: PeerRequest.TakeTokens): PeerAnswer {
        val startedAt = now()
        val id = "$from/${transferCount.incrementAndGet()}"
        while (true) {
            val (decision, heldMillis) = control.decide {
                val heldMillis = now() - startedAt
                val transfer = PeerTransferRequest(
                    id = id,
                    requester = from,
                    amount = request.amount,
                    minimum = request.minimumAmount,
                    waitedMillis = request.waitedMillis + heldMillis,
                    remainingWaitMillis = minOf(request.maximumWaitMillis, MAXIMUM_QUOTA_WAIT_MILLIS) - heldMillis,
                )
                buckets.decideTransfer(request.team, transfer, now()) to heldMillis
            }
            when (decision) {
                is TransferDecision.Transfer -> return PeerAnswer.Tokens(decision.amount, heldMillis)
                is TransferDecision.Wait -> delay(decision.millis)
            }
        }
    }

    private suspend fun send(
        team: TeamId,
        transfer: TransferRequest,
        needed: AdmissionDecision.NeedTokens,
        answerSignal: Channel<Unit>,
    ) {
        val sentAt = now()
        val request = PeerRequest.TakeTokens(
            team,
            transfer.amount,
            needed.waitedMillis,
            transfer.minimum,
            needed.remainingWaitMillis,
        )
        val result = peers.call(transfer.holder, request, needed.remainingWaitMillis + transferMillis)
        val tokens = (result as? PeerCallResult.Answered)?.answer as? PeerAnswer.Tokens
        control.decide {
            if (tokens == null) {
                buckets.transferFailed(team, transfer.holder, now())
            } else {
                val givenAfter = sentAt + tokens.answerDelayMillis
                val hasFullWait = needed.waitedMillis + needed.remainingWaitMillis >= MAXIMUM_QUOTA_WAIT_MILLIS
                val amount = tokens.amount
                buckets.transferReceived(team, transfer.holder, transfer.amount, amount, givenAfter, now(), hasFullWait)
            }
        }
        answerSignal.trySend(Unit)
    }

    private fun refusal(team: TeamId, decision: AdmissionDecision?): Outcome.Failed = when (decision) {
        is AdmissionDecision.ExceedsBurst -> failed(
            ErrorKind.REQUEST_EXCEEDS_BURST,
            "the estimated tokens of the request exceed the burst of ${decision.burstTokens} tokens of team $team",
        )
        is AdmissionDecision.RateLimited -> failed(
            ErrorKind.RATE_LIMITED,
            "team $team is over its token rate",
            decision.retryAfterMillis,
        )
        else -> failed(ErrorKind.CONFIGURATION_STALE, "this VM has not loaded the rate of team $team yet")
    }
}
