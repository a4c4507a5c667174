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
import java.util.UUID
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicLong

private const val TRANSFER_PREFIX_LENGTH = 8

class FleetQuota(
    private val buckets: TeamBuckets,
    private val peers: PeerCaller,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val transferMillis: Long,
    private val now: () -> Long,
) : Quota {
    /** Differs between processes of a VM, so that no report on a transfer of a former process ends another one. */
    private val transferPrefix = UUID.randomUUID().toString().take(TRANSFER_PREFIX_LENGTH)
    private val transferCount = AtomicLong()
    private val refusalLog = TokenRefusalLog(now)

    override suspend fun admit(
        team: TeamId,
        requestId: String,
        tokens: Long,
        maximumWaitMillis: Long,
    ): Outcome<Charge> {
        val answerSignal = Channel<Unit>(Channel.CONFLATED)
        val answers = ConcurrentLinkedQueue<String>()
        var decision: AdmissionDecision? = null
        var missing: Long? = null
        try {
            decision = decide(team, requestId, tokens, maximumWaitMillis)
            while (decision is AdmissionDecision.NeedTokens) {
                val needed = decision
                missing = needed.missing
                needed.requests.forEach { transfer ->
                    scope.launch { send(team, transfer, needed, answerSignal, answers) }
                }
                val waitMillis = minOf(needed.retryAfterMillis, needed.remainingWaitMillis)
                withTimeoutOrNull(waitMillis) { answerSignal.receive() }
                decision = decide(team, requestId, tokens, maximumWaitMillis)
            }
        } finally {
            // The caller disconnected while the request waited for tokens.
            if (decision is AdmissionDecision.NeedTokens) {
                withContext(NonCancellable) { decideAndReport { buckets.cancelWaiting(team, requestId) } }
            }
            // A request whose caller has disconnected meanwhile does not run, so it uses none of its tokens.
            if (decision is AdmissionDecision.Admitted && !currentCoroutineContext().isActive) {
                settle(decision.charge, 0)
            }
        }
        currentCoroutineContext().ensureActive()
        if (decision is AdmissionDecision.Admitted) return Outcome.Success(decision.charge)
        if (decision is AdmissionDecision.RateLimited) {
            scope.launch { refusalLog.refused(team, requestId, tokens, missing, answers.toList()) }
        }
        return refusal(team, decision)
    }

    private suspend fun decide(
        team: TeamId,
        requestId: String,
        tokens: Long,
        maximumWaitMillis: Long,
    ): AdmissionDecision = withContext(NonCancellable) {
        decideAndReport { buckets.admit(team, requestId, tokens, now(), maximumWaitMillis) }
    }

    /** Runs [decision], and tells seat holders which of their transfers have ended with it. */
    private suspend fun <T> decideAndReport(decision: () -> T): T {
        val (result, ends) = control.decide { decision() to buckets.takeTransferEnds() }
        for (end in ends) {
            val report = PeerRequest.TakeTokens(end.team, amount = 0, ended = end.transfer, returned = end.returned)
            scope.launch { peers.call(end.holder, report, transferMillis) }
        }
        return result
    }

    override fun settle(charge: Charge, actual: Long) {
        scope.launch { control.decide { buckets.settle(charge, actual, now()) } }
    }

    /** Answers a transfer request of another VM once there are tokens for it or there can be none in time. */
    suspend fun transferTokens(from: VmId, request: PeerRequest.TakeTokens): PeerAnswer {
        val startedAt = now()
        request.ended?.let { ended ->
            control.decide { buckets.transferEnded(request.team, from, ended, request.returned, now()) }
            return PeerAnswer.Tokens(0)
        }
        val id = "$from/$transferPrefix-${transferCount.incrementAndGet()}"
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
                is TransferDecision.Transfer -> return PeerAnswer.Tokens(decision.amount, heldMillis, id)
                is TransferDecision.Wait -> delay(decision.millis)
            }
        }
    }

    private suspend fun send(
        team: TeamId,
        transfer: TransferRequest,
        needed: AdmissionDecision.NeedTokens,
        answerSignal: Channel<Unit>,
        answers: MutableCollection<String>,
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
        val given = tokens?.amount ?: "no answer"
        answers += "${transfer.holder} $given of ${transfer.amount} after ${now() - sentAt} ms"
        decideAndReport {
            if (tokens == null) {
                buckets.transferFailed(team, transfer.holder, now())
            } else {
                val givenAfter = sentAt + tokens.answerDelayMillis
                val hasFullWait = needed.waitedMillis + needed.remainingWaitMillis >= MAXIMUM_QUOTA_WAIT_MILLIS
                buckets.transferReceived(
                    team,
                    transfer.holder,
                    transfer.amount,
                    tokens.amount,
                    givenAfter,
                    now(),
                    hasFullWait,
                    tokens.transfer,
                )
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
