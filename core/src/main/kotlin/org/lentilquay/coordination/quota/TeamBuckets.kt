/*
 * The token buckets of one VM for all teams, as far as its quota seats carry them. A quota seat is one of the equal
 * shares of every team's token bucket and is held by one VM. This file orders the waiting requests and decides which
 * tokens a peer gets; the rules that bound a team across all VMs are in TokenBucket. Amounts are whole tokens, times
 * are monotonic milliseconds. Single-threaded use. Docs: docs/design.md, section 4.4.
 *
 * The caller removes a seat here before it sends the release of the seat to the table service.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** How long a request may wait for tokens. */
const val MAXIMUM_QUOTA_WAIT_MILLIS: Long = 500

/** The longest interval at which the caller of a waiting request repeats [TeamBuckets.admit]. */
const val QUOTA_RETRY_MILLIS: Long = 20

/** A waiting request that the caller has not repeated for this time counts as abandoned. */
const val WAITING_REQUEST_TIMEOUT_MILLIS: Long = 1_000

/**
 * A holder refuses a new transfer request if older requests will use its tokens for longer than this, a fifth of the
 * maximum wait. For a team over its rate a longer queue only delays requests: the tokens that it gets are the same.
 */
const val MAXIMUM_HOLDER_QUEUE_MILLIS: Long = 100

/**
 * While holders refuse the team, a VM refuses a new request behind one of its own that has waited longer than this.
 * Together with the queue at a holder this bounds the wait to 150 ms.
 */
private const val MAXIMUM_LOCAL_QUEUE_MILLIS = 50L

/** The interval at which a transfer request that waits for idle seats is decided again. */
private const val IDLE_SEAT_RETRY_MILLIS = 50L

/**
 * A holder answers this long before the request of its requester is refused: 3 to 10 ms for the way of the answer, and
 * a pause. An answer that arrives after the refusal wastes its tokens.
 */
private const val ANSWER_MILLIS = 20L

/** How long the initial tokens are valid. Seats generate and peers answer transfer requests after half of that. */
const val INITIAL_TOKENS_MILLIS: Long = 2_000

/** Limit of the initial tokens of a process, as a fraction of its share of the burst; its former process lost them. */
private const val INITIAL_BURST_FRACTION = 0.5

private const val MILLIS_PER_SECOND = 1_000L
private const val MAXIMUM_RETRY_ADVICE_MILLIS = 60_000L

class TeamBuckets(
    private val own: VmId,
    private val seatCount: Int = DEFAULT_SEAT_COUNT,
    private val transfers: TransferPlanner = TransferPlanner(own, seatCount),
    private val maximumWaitMillis: Long = MAXIMUM_QUOTA_WAIT_MILLIS,
    /** When this process started; the former process of this VM had ended by then. */
    private val startedAt: Long = Long.MAX_VALUE,
) {
    /** A request that waits for tokens. [requester] is the VM that requests a transfer for it, or null for this VM. */
    private class Waiter(val tokens: Long, val since: Long, val requester: VmId?, var lastPolledAt: Long)

    /** The tokens that older requests need, those of this VM and those of others. */
    private class QueuedAhead(val own: Long, val others: Long)

    private class Entry(val bucket: TokenBucket, val seats: Set<Int>) {
        val waiters = LinkedHashMap<String, Waiter>()
    }

    private val entries = HashMap<TeamId, Entry>()
    private val everConfigured = HashSet<TeamId>()

    /** The seats of this VM, each with the latest time at which its last holder can have transferred tokens. */
    private var held: Map<Int, Long> = emptyMap()
    private var lastCharge = 0L
    private val transferEnds = ArrayList<TransferEnd>()
    private var initialTokens = InitialTokens(0, 1, until = Long.MIN_VALUE)

    private class InitialTokens(val maximum: Long, val members: Int, val until: Long)

    /**
     * Replaces the set of [seats] that this VM holds. A new seat starts empty, and idle while tokens that its last
     * holder transferred may still be used. For [reclaimed] seats, which the former process of this VM held, this time
     * counts from the start of this process, because the former one had ended by then.
     */
    fun seatsChanged(seats: Set<Int>, now: Long, reclaimed: Set<Int> = emptySet()) {
        val lost = held.keys - seats
        val taken = (seats - held.keys).associateWith { if (it in reclaimed) minOf(startedAt, now) else now }
        for (entry in entries.values) {
            entry.bucket.advance(now)
            lost.filter { it in entry.seats }.forEach { entry.bucket.removeSeat(it) }
            taken.filterKeys { it in entry.seats }.forEach { (seat, since) -> entry.bucket.addSeat(seat, since) }
        }
        held = held - lost + taken
    }

    /**
     * Gives each team initial tokens for the first [INITIAL_TOKENS_MILLIS] of this process: at most [maximum] over
     * all [members], in equal shares. The tokens of a former process are lost with it and a new seat has none for half
     * a second, so without initial tokens a fleet whose processes all restart refuses every team in that time.
     * [maximum] is the excess over rate and burst that the bound on a team over all VMs allows.
     */
    fun grantInitialTokens(maximum: Long, members: Int, now: Long) {
        initialTokens = InitialTokens(maximum, members.coerceAtLeast(1), now + INITIAL_TOKENS_MILLIS)
        entries.values.forEach { entry ->
            entry.bucket.advance(now)
            addInitialTokens(entry.bucket)
        }
    }

    private fun addInitialTokens(bucket: TokenBucket) {
        val maximum = minOf(initialTokens.maximum, (bucket.team.burstTokens * INITIAL_BURST_FRACTION).toLong())
        bucket.addInitialTokens(maximum / initialTokens.members, initialTokens.until)
    }

    /**
     * Applies the configured [teams]. The bucket of a team that was removed and added again starts as if its seats were
     * taken now, because tokens that it transferred before may still be used.
     */
    fun configure(teams: Collection<Team>, now: Long) {
        entries.keys.retainAll(teams.mapTo(HashSet()) { it.id })
        for (team in teams) {
            val entry = entries[team.id]
            if (entry == null) {
                entries[team.id] = newEntry(team, now)
            } else if (entry.bucket.team != team) {
                entry.bucket.advance(now)
                entry.bucket.configure(team)
            }
        }
    }

    /** Decides on the admission of [requestId], estimated at [tokens] of [team]. Older requests come first. */
    fun admit(
        team: TeamId,
        requestId: String,
        tokens: Long,
        now: Long,
        /** How long the request may wait for tokens in all, in milliseconds. */
        maximumWaitMillis: Long = this.maximumWaitMillis,
    ): AdmissionDecision {
        val entry = entries[team] ?: return AdmissionDecision.UnknownTeam
        val burst = entry.bucket.team.burstTokens
        if (tokens > burst) return AdmissionDecision.ExceedsBurst(burst)
        refresh(entry, now)
        val wanted = tokens.coerceAtLeast(0)
        val waiter = entry.waiters[requestId] ?: Waiter(wanted, now, null, now)
        val queuedAhead = queuedAhead(entry, requestId, waiter)
        // Older requests of other VMs can get tokens of the seats of this VM only, not tokens that it received.
        val available = entry.bucket.availableTokens - minOf(queuedAhead.others, entry.bucket.transferableTokens)
        val missing = queuedAhead.own + wanted - available
        return if (missing <= 0) {
            entry.waiters.remove(requestId)
            entry.bucket.charge(wanted, ++lastCharge)
            endTransfers(entry)
            AdmissionDecision.Admitted(Charge(team, lastCharge, wanted))
        } else {
            val maximumWait = minOf(maximumWaitMillis, this.maximumWaitMillis)
            waitOrRefuse(entry, requestId, waiter, missing, waiter.since + maximumWait - now, now)
        }
    }

    /** Removes the waiting request [requestId], for example because its caller disconnected. */
    fun cancelWaiting(team: TeamId, requestId: String) {
        val entry = entries[team] ?: return
        entry.waiters.remove(requestId)
        endTransfers(entry)
    }

    /**
     * Decides on the transfer [request] of another VM for tokens of [team]. Requests of all VMs are served in order of
     * age. Fewer tokens than the inference request needs are never transferred: they would expire unused at their
     * receiver.
     */
    fun decideTransfer(team: TeamId, request: PeerTransferRequest, now: Long): TransferDecision {
        val entry = entries[team] ?: return TransferDecision.Transfer(0)
        refresh(entry, now)
        val bucket = entry.bucket
        if (bucket.maximumTransferableTokens == 0L) return waitForSeats(bucket, request.remainingWaitMillis)
        val needed = request.minimum.coerceIn(0, bucket.maximumTransferableTokens)
        val since = now - request.waitedMillis.coerceAtLeast(0)
        val waiter = entry.waiters[request.id] ?: Waiter(needed, since, request.requester, now)
        val queuedAhead = queuedAhead(entry, request.id, waiter)
        // Tokens received from other holders cover the older requests of this VM first.
        val receivedTokens = (bucket.availableTokens - bucket.transferableTokens).coerceAtLeast(0)
        val due = queuedAhead.others + (queuedAhead.own - receivedTokens).coerceAtLeast(0)
        val free = bucket.transferableTokens - due
        if (free >= needed) {
            entry.waiters.remove(request.id)
            val amount = minOf(request.amount.coerceAtLeast(0), free)
            bucket.transferOut(amount, now, request.id)
            return TransferDecision.Transfer(amount)
        }
        val wait = bucket.generationMillis(needed - free)
        val isQueueLong =
            bucket.generationMillis((due - bucket.transferableTokens).coerceAtLeast(0)) > MAXIMUM_HOLDER_QUEUE_MILLIS
        if (wait > request.remainingWaitMillis - ANSWER_MILLIS || (isQueueLong && request.id !in entry.waiters)) {
            entry.waiters.remove(request.id)
            return TransferDecision.Transfer(0)
        }
        waiter.lastPolledAt = now
        entry.waiters[request.id] = waiter
        return TransferDecision.Wait(wait.coerceAtLeast(1))
    }

    private fun waitForSeats(bucket: TokenBucket, remainingWaitMillis: Long): TransferDecision =
        if (bucket.hasIdleSeats && remainingWaitMillis > 0) {
            TransferDecision.Wait(minOf(remainingWaitMillis, IDLE_SEAT_RETRY_MILLIS))
        } else {
            TransferDecision.Transfer(0)
        }

    /**
     * Adds the [amount] that [holder] transferred on a request for [asked] tokens. [requestedAt] is the time at which
     * the request was sent plus the time for which the holder delayed its answer. Returns whether the tokens were
     * accepted.
     */
    @Suppress("LongParameterList") // The fields of one answer.
    fun transferReceived(
        team: TeamId,
        holder: VmId,
        asked: Long,
        amount: Long,
        requestedAt: Long,
        now: Long,
        hasFullWait: Boolean = true,
        /** The id of the transfer at its holder; null from holders that cannot be told when it ends. */
        transfer: String? = null,
    ): Boolean {
        val entry = entries[team] ?: return false
        transfers.answered(entry.bucket.team, holder, asked, amount, now, hasFullWait)
        val isLate = now - requestedAt > TOKEN_VALIDITY_MILLIS || requestedAt > now
        if (isLate || amount <= 0) return false
        entry.bucket.advance(now)
        entry.bucket.receive(minOf(amount, asked), requestedAt, transfer?.let { ReceivedTransfer(holder, it, amount) })
        endTransfers(entry)
        return true
    }

    /** Records that [requester] has used the tokens of [transfer], which this VM gave it, except [returned]. */
    fun transferEnded(team: TeamId, requester: VmId, transfer: String, returned: Long, now: Long) {
        val bucket = entries[team]?.bucket ?: return
        if (!transfer.startsWith("$requester/")) return
        bucket.advance(now)
        bucket.endHold(transfer, returned)
    }

    /** The reports to send to seat holders on transfers that have ended since the last call. */
    fun takeTransferEnds(): List<TransferEnd> = transferEnds.toList().also { transferEnds.clear() }

    private fun endTransfers(entry: Entry) {
        val team = entry.bucket.team
        val ended = entry.bucket.endTransfers(isAnyWaiting = entry.waiters.values.any { it.requester == null })
        for ((transfer, returned) in ended) {
            if (returned > 0 || transfers.isReported(team, transfer.holder, transfer.amount)) {
                transferEnds += TransferEnd(transfer.holder, team.id, transfer.id, returned)
            }
        }
    }

    /** Records that a transfer request to [holder] failed or was not answered in time. */
    fun transferFailed(team: TeamId, holder: VmId, now: Long) = transfers.failed(team, holder, now)

    /** Settles [charge] against the [actual] use: a rest is refunded within the capacity, an excess becomes a debt. */
    fun settle(charge: Charge, actual: Long, now: Long) {
        val bucket = entries[charge.team]?.bucket ?: return
        bucket.advance(now)
        bucket.settle(charge.sequence, actual.coerceAtLeast(0))
    }

    /** Whole tokens of [team] that requests of this VM could use at [now]; for status pages. */
    fun available(team: TeamId, now: Long): Long {
        val bucket = entries[team]?.bucket ?: return 0
        bucket.advance(now)
        return bucket.availableTokens
    }

    private fun newEntry(team: Team, now: Long): Entry {
        val seats = seatsOf(team.id, seatCount)
        val bucket = TokenBucket(team, seats.size, now)
        val isNew = everConfigured.add(team.id)
        held.filterKeys { it in seats }.forEach { (seat, since) -> bucket.addSeat(seat, if (isNew) since else now) }
        if (now < initialTokens.until) addInitialTokens(bucket)
        return Entry(bucket, seats)
    }

    private fun refresh(entry: Entry, now: Long) {
        entry.bucket.advance(now)
        entry.waiters.values.removeAll { now - it.lastPolledAt > WAITING_REQUEST_TIMEOUT_MILLIS }
    }

    private fun queuedAhead(entry: Entry, id: String, waiter: Waiter): QueuedAhead {
        val before = entry.waiters.filter { (other, older) -> other != id && isBefore(older, waiter) }.values
        val (ofOwn, ofOthers) = before.partition { it.requester == null }
        return QueuedAhead(ofOwn.sumOf { it.tokens }, ofOthers.sumOf { it.tokens })
    }

    /** Orders by age, then by VM. Requests of one VM from the same millisecond keep their order of arrival. */
    private fun isBefore(other: Waiter, waiter: Waiter): Boolean = when {
        other.since != waiter.since -> other.since < waiter.since
        else -> (other.requester ?: own) <= (waiter.requester ?: own)
    }

    private fun waitOrRefuse(
        entry: Entry,
        requestId: String,
        waiter: Waiter,
        missing: Long,
        remainingWait: Long,
        now: Long,
    ): AdmissionDecision {
        val team = entry.bucket.team
        val expectedWait = generationMillis(team, missing)
        val next = if (remainingWait > 0) transfers.next(team, missing, waiter.tokens, now) else emptyList()
        val isExhausted = transfers.isExhausted(team.id, now) && expectedWait > remainingWait
        val isRefused = transfers.isRefusedByAll(team.id, now) && entry.bucket.generationMillis(missing) > remainingWait
        val cannotSucceed = next.isEmpty() && (isExhausted || isRefused || isBehindLongWaiters(entry, requestId, now))
        if (remainingWait <= 0 || cannotSucceed) {
            entry.waiters.remove(requestId)
            endTransfers(entry)
            // Holders that refused have no tokens within the maximum wait, so an earlier retry would be refused again.
            val refusalWaitMillis = if (isRefused) maximumWaitMillis else 0
            val advice = expectedWait.coerceAtMost(MAXIMUM_RETRY_ADVICE_MILLIS) + refusalWaitMillis
            return AdmissionDecision.RateLimited(advice.coerceIn(1, MAXIMUM_RETRY_ADVICE_MILLIS))
        }
        waiter.lastPolledAt = now
        entry.waiters[requestId] = waiter
        return AdmissionDecision.NeedTokens(missing, next, now - waiter.since, remainingWait, QUOTA_RETRY_MILLIS)
    }

    /**
     * Whether a new request would queue behind requests of this VM that have waited long, while holders refuse the
     * team. Each holder has one outstanding request at a time, so the limit of its queue does not bound the wait here.
     * Refusals right after a start do not count: holders lost their tokens in the restart and will soon have some.
     */
    private fun isBehindLongWaiters(entry: Entry, requestId: String, now: Long): Boolean =
        requestId !in entry.waiters && now > initialTokens.until &&
            transfers.hasRecentRefusal(entry.bucket.team.id, now) &&
            entry.waiters.values.any { it.requester == null && now - it.since > MAXIMUM_LOCAL_QUEUE_MILLIS }

    private fun generationMillis(team: Team, tokens: Long): Long =
        if (team.tokensPerSecond <= 0) Long.MAX_VALUE else tokens * MILLIS_PER_SECOND / team.tokensPerSecond
}
