/*
 * The token buckets of one VM for all teams, given the quota seats it holds. Amounts are whole tokens at the interface;
 * times are monotonic milliseconds. The rules that bound a team across all VMs are in TokenBucket; this file orders the
 * waiting requests and decides how much of a bucket a peer gets. Docs: docs/design.md, section 4.4.
 *
 * The caller must drop a seat here before it sends the release of the seat to the table.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The time that a request may wait for tokens before it is refused. */
const val MAXIMUM_QUOTA_WAIT_MILLIS: Long = 500

/** A waiting request asks again at least this often while tokens are generated. */
const val QUOTA_RETRY_MILLIS: Long = 20

/** A waiting request that was not asked about for this time is taken to be abandoned. */
const val WAITING_REQUEST_EXPIRY_MILLIS: Long = 1_000

/**
 * A holder refuses a pull if older requests will use its tokens for longer than this, in milliseconds; a fifth of the
 * patience. For a team over its rate a longer queue only delays requests: the tokens that it gets are the same.
 */
const val TOKEN_QUEUE_MILLIS: Long = 100

/**
 * A VM refuses a new request behind one of its own that has waited for this long, in milliseconds, while holders refuse
 * the team: together with the queue at a holder it makes up 150 ms.
 */
private const val OWN_QUEUE_MILLIS = 50L

/** A pull that waits for the seats to become active is looked at this often. */
private const val IDLE_SEAT_RETRY_MILLIS = 50L

/** How long the tokens of a new process can be used; its seats generate and its pulls are answered after half of it. */
const val INITIAL_TOKENS_MILLIS: Long = 2_000

/** The tokens of a new process are at most this part of its share of the burst, which its former process lost. */
private const val START_BURST_PART = 0.5

private const val MILLIS_PER_SECOND = 1_000L
private const val MAXIMUM_RETRY_ADVICE_MILLIS = 60_000L

class TeamBuckets(
    private val own: VmId,
    private val seatCount: Int = DEFAULT_SEAT_COUNT,
    private val transfers: TransferPlanner = TransferPlanner(own, seatCount),
    private val maximumWaitMillis: Long = MAXIMUM_QUOTA_WAIT_MILLIS,
    /** When this process started; a former process of this VM had ended by then. */
    private val startedAt: Long = Long.MAX_VALUE,
) {
    /** A request that waits for tokens; [requester] is the VM that pulls for it, or null for a request of this VM. */
    private class Waiter(val tokens: Long, val since: Long, val requester: VmId?, var lastAsked: Long)

    /** The tokens for which older requests wait, of this VM and of others. */
    private class Ahead(val own: Long, val others: Long)

    private class Entry(val bucket: TokenBucket, val seats: Set<Int>) {
        val waiters = LinkedHashMap<String, Waiter>()
    }

    private val entries = HashMap<TeamId, Entry>()
    private val everConfigured = HashSet<TeamId>()

    /** The seats of this VM, each with the time at which its last holder had given its last tokens. */
    private var held: Map<Int, Long> = emptyMap()
    private var lastCharge = 0L
    private var initialTokens = InitialTokens(0, 1, until = Long.MIN_VALUE)

    private class InitialTokens(val maximum: Long, val members: Int, val until: Long)

    /**
     * Takes over the set of [seats] that this VM holds. A new seat starts empty, and idle as long as tokens that its
     * last holder gave may be used: for those that the former process of this VM held, [reclaimed], this process knows
     * an earlier end of that.
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
     * Lends each team its part of [maximum] tokens for the first seconds of this process, one of [members]. The tokens
     * that the buckets of a former process held are lost with it, and a new seat has none for half a second: without a
     * loan, a fleet that starts again at once refuses all of its teams meanwhile. Of the bound on a team over all VMs,
     * [maximum] is what may come on top of rate and burst.
     */
    fun grantInitialTokens(maximum: Long, members: Int, now: Long) {
        initialTokens = InitialTokens(maximum, members.coerceAtLeast(1), now + INITIAL_TOKENS_MILLIS)
        entries.values.forEach { entry ->
            entry.bucket.advance(now)
            lend(entry.bucket)
        }
    }

    private fun lend(bucket: TokenBucket) {
        val most = minOf(initialTokens.maximum, (bucket.team.burstTokens * START_BURST_PART).toLong())
        bucket.lend(most / initialTokens.members, initialTokens.until)
    }

    /**
     * Takes over the configured [teams]. The bucket of a team that this process had before starts like one whose seats
     * were taken now, because tokens that it gave may still be used.
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

    /** Decides on the request [requestId] of [team], which is estimated at [tokens]. Requests are served in order. */
    fun admit(team: TeamId, requestId: String, tokens: Long, now: Long): AdmissionDecision {
        val entry = entries[team] ?: return AdmissionDecision.UnknownTeam
        val burst = entry.bucket.team.burstTokens
        if (tokens > burst) return AdmissionDecision.ExceedsBurst(burst)
        refresh(entry, now)
        val wanted = tokens.coerceAtLeast(0)
        val waiter = entry.waiters[requestId] ?: Waiter(wanted, now, null, now)
        val ahead = ahead(entry, requestId, waiter)
        // Older requests of other VMs wait for tokens of the own seats only.
        val available = entry.bucket.availableTokens - minOf(ahead.others, entry.bucket.givableTokens)
        val missing = ahead.own + wanted - available
        return if (missing <= 0) {
            entry.waiters.remove(requestId)
            entry.bucket.charge(wanted, ++lastCharge)
            AdmissionDecision.Admitted(Charge(team, lastCharge, wanted))
        } else {
            waitOrRefuse(entry, requestId, waiter, missing, now)
        }
    }

    /** Forgets the waiting request [requestId], for example because its caller has left. */
    fun cancelWaiting(team: TeamId, requestId: String) {
        entries[team]?.waiters?.remove(requestId)
    }

    /**
     * Decides on the [pull] of another VM for tokens of [team]. Requests of all VMs are served in the order of their
     * age. Less than the request needs is never given: parts that admit no request are lost where they arrive.
     */
    fun decideTransfer(team: TeamId, pull: PeerTransferRequest, now: Long): TransferDecision {
        val entry = entries[team] ?: return TransferDecision.Transfer(0)
        refresh(entry, now)
        val bucket = entry.bucket
        if (bucket.mostGivableTokens == 0L) return awaitSeats(bucket, pull.remainingWaitMillis)
        val enough = pull.minimum.coerceIn(0, bucket.mostGivableTokens)
        val since = now - pull.waitedMillis.coerceAtLeast(0)
        val waiter = entry.waiters[pull.id] ?: Waiter(enough, since, pull.requester, now)
        val ahead = ahead(entry, pull.id, waiter)
        // Tokens that other holders gave serve the older requests of this VM first.
        val given = (bucket.availableTokens - bucket.givableTokens).coerceAtLeast(0)
        val due = ahead.others + (ahead.own - given).coerceAtLeast(0)
        val free = bucket.givableTokens - due
        if (free >= enough) {
            entry.waiters.remove(pull.id)
            val amount = minOf(pull.amount.coerceAtLeast(0), free)
            bucket.give(amount, now)
            return TransferDecision.Transfer(amount)
        }
        val wait = bucket.generationMillis(enough - free)
        val isQueueLong = bucket.generationMillis((due - bucket.givableTokens).coerceAtLeast(0)) > TOKEN_QUEUE_MILLIS
        if (wait > pull.remainingWaitMillis || (isQueueLong && pull.id !in entry.waiters)) {
            entry.waiters.remove(pull.id)
            return TransferDecision.Transfer(0)
        }
        waiter.lastAsked = now
        entry.waiters[pull.id] = waiter
        return TransferDecision.Wait(wait.coerceAtLeast(1))
    }

    private fun awaitSeats(bucket: TokenBucket, remainingWaitMillis: Long): TransferDecision =
        if (bucket.hasIdleSeats && remainingWaitMillis > 0) {
            TransferDecision.Wait(minOf(remainingWaitMillis, IDLE_SEAT_RETRY_MILLIS))
        } else {
            TransferDecision.Transfer(0)
        }

    /**
     * Takes in the answer of [holder] to a pull of [asked] tokens sent at [requestedAt], or later by as long as the
     * holder kept it waiting. Returns whether it counts.
     */
    fun transferReceived(team: TeamId, holder: VmId, asked: Long, amount: Long, requestedAt: Long, now: Long): Boolean {
        val entry = entries[team] ?: return false
        transfers.answered(entry.bucket.team, holder, asked, amount, now)
        val isLate = now - requestedAt > TOKEN_VALIDITY_MILLIS || requestedAt > now
        if (isLate || amount <= 0) return false
        entry.bucket.advance(now)
        entry.bucket.receive(minOf(amount, asked), requestedAt)
        return true
    }

    /** Notes that a pull from [holder] failed or was not answered in time. */
    fun transferFailed(team: TeamId, holder: VmId, now: Long) = transfers.failed(team, holder, now)

    /** Settles [charge] with the real use: the rest is refunded as far as the cap allows, an excess becomes a debt. */
    fun settle(charge: Charge, actual: Long, now: Long) {
        val bucket = entries[charge.team]?.bucket ?: return
        bucket.advance(now)
        bucket.settle(charge.sequence, actual.coerceAtLeast(0))
    }

    /** Whole tokens of [team] that this VM could spend at [now], for status pages. */
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
        if (now < initialTokens.until) lend(bucket)
        return Entry(bucket, seats)
    }

    private fun refresh(entry: Entry, now: Long) {
        entry.bucket.advance(now)
        entry.waiters.values.removeAll { now - it.lastAsked > WAITING_REQUEST_EXPIRY_MILLIS }
    }

    private fun ahead(entry: Entry, id: String, waiter: Waiter): Ahead {
        val before = entry.waiters.filter { (other, older) -> other != id && isBefore(older, waiter) }.values
        val (ofOwn, ofOthers) = before.partition { it.requester == null }
        return Ahead(ofOwn.sumOf { it.tokens }, ofOthers.sumOf { it.tokens })
    }

    /** Requests of one VM that came in the same millisecond keep the order of their arrival. */
    private fun isBefore(other: Waiter, waiter: Waiter): Boolean = when {
        other.since != waiter.since -> other.since < waiter.since
        else -> (other.requester ?: own) <= (waiter.requester ?: own)
    }

    private fun waitOrRefuse(
        entry: Entry,
        requestId: String,
        waiter: Waiter,
        missing: Long,
        now: Long,
    ): AdmissionDecision {
        val team = entry.bucket.team
        val remainingWait = maximumWaitMillis - (now - waiter.since)
        val expectedWait = generationMillis(team, missing)
        val next = if (remainingWait > 0) transfers.next(team, missing, waiter.tokens, now) else emptyList()
        val isDry = transfers.isDry(team.id, now) && expectedWait > remainingWait
        val isRefused = transfers.isRefused(team.id, now) && entry.bucket.generationMillis(missing) > remainingWait
        val isHopeless = next.isEmpty() && (isDry || isRefused || isBehindOthers(entry, requestId, now))
        if (remainingWait <= 0 || isHopeless) {
            entry.waiters.remove(requestId)
            // Holders that refused have no tokens within the patience, so a caller that returns sooner comes in vain.
            val busyMillis = if (isRefused) maximumWaitMillis else 0
            val advice = expectedWait.coerceAtMost(MAXIMUM_RETRY_ADVICE_MILLIS) + busyMillis
            return AdmissionDecision.RateLimited(advice.coerceIn(1, MAXIMUM_RETRY_ADVICE_MILLIS))
        }
        waiter.lastAsked = now
        entry.waiters[requestId] = waiter
        return AdmissionDecision.NeedTokens(missing, next, now - waiter.since, remainingWait, QUOTA_RETRY_MILLIS)
    }

    /**
     * Whether a new request would wait behind others of this VM that have waited for long, while holders refuse the
     * team: one pull at a time goes to each holder, so their queues do not bound the wait here. After a start, holders
     * refuse for want of tokens that they lost, and will soon have some.
     */
    private fun isBehindOthers(entry: Entry, requestId: String, now: Long): Boolean =
        requestId !in entry.waiters && now > initialTokens.until && transfers.hasRefusal(entry.bucket.team.id, now) &&
            entry.waiters.values.any { it.requester == null && now - it.since > OWN_QUEUE_MILLIS }

    private fun generationMillis(team: Team, tokens: Long): Long =
        if (team.tokensPerSecond <= 0) Long.MAX_VALUE else tokens * MILLIS_PER_SECOND / team.tokensPerSecond
}
