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
const val QUOTA_PATIENCE_MILLIS: Long = 500

/** A waiting request asks again at least this often while tokens are generated. */
const val QUOTA_RETRY_MILLIS: Long = 20

/** A waiting request that was not asked about for this time is taken to be abandoned. */
const val WAITING_REQUEST_EXPIRY_MILLIS: Long = 1_000

/** How long the unmet part of a peer's demand is considered when tokens are divided between peers. */
const val DEMAND_MEMORY_MILLIS: Long = 100

/** How long the tokens of a new process can be used; its seats generate and its pulls are answered after half of it. */
const val START_TOKENS_MILLIS: Long = 2_000

/** The tokens of a new process are at most this part of its share of the burst, which its former process lost. */
private const val START_BURST_PART = 0.5

private const val MILLIS_PER_SECOND = 1_000L
private const val MAXIMUM_RETRY_ADVICE_MILLIS = 60_000L

class TeamBuckets(
    private val own: VmId,
    private val seatCount: Int = DEFAULT_SEAT_COUNT,
    private val pulls: PullPlan = PullPlan(own, seatCount),
    private val patienceMillis: Long = QUOTA_PATIENCE_MILLIS,
) {
    private class Waiter(val tokens: Long, val since: Long, var lastAsked: Long)

    private class Demand(val unmet: Long, val at: Long)

    private class Entry(val bucket: TokenBucket) {
        val waiters = LinkedHashMap<String, Waiter>()
        val demands = HashMap<VmId, Demand>()
    }

    private val entries = HashMap<TeamId, Entry>()
    private var held: Set<Int> = emptySet()
    private var lastCharge = 0L
    private var startTokens = StartTokens(0, 1, until = Long.MIN_VALUE)

    private class StartTokens(val most: Long, val members: Int, val until: Long)

    /** Takes over the set of seats that this VM holds. A new seat starts empty and idle, a lost one takes its part. */
    fun seatsChanged(seats: Set<Int>, now: Long) {
        val lost = held - seats
        val taken = seats - held
        for (entry in entries.values) {
            entry.bucket.advance(now)
            lost.forEach { entry.bucket.removeSeat(it) }
            taken.forEach { entry.bucket.addSeat(it, now) }
        }
        held = seats.toSet()
    }

    /**
     * Lends each team its part of [most] tokens for the first seconds of this process, one of [members]. The tokens
     * that the buckets of a former process held are lost with it, and a new seat has none for half a second: without a
     * loan, a fleet that starts again at once refuses all of its teams meanwhile. Of the bound on a team over all VMs,
     * [most] is what may come on top of rate and burst.
     */
    fun started(most: Long, members: Int, now: Long) {
        startTokens = StartTokens(most, members.coerceAtLeast(1), now + START_TOKENS_MILLIS)
        entries.values.forEach { entry ->
            entry.bucket.advance(now)
            lend(entry.bucket)
        }
    }

    private fun lend(bucket: TokenBucket) {
        val most = minOf(startTokens.most, (bucket.team.burstTokens * START_BURST_PART).toLong())
        bucket.lend(most / startTokens.members, startTokens.until)
    }

    /** Takes over the configured [teams]. The bucket of a new team starts like one whose seats were taken now. */
    fun configure(teams: Collection<Team>, now: Long) {
        entries.keys.retainAll(teams.mapTo(HashSet()) { it.id })
        for (team in teams) {
            val entry = entries[team.id]
            if (entry == null) {
                entries[team.id] = Entry(newBucket(team, now))
            } else if (entry.bucket.team != team) {
                entry.bucket.advance(now)
                entry.bucket.configure(team)
            }
        }
    }

    /** Decides on the request [requestId] of [team], which is estimated at [tokens]. Requests are served in order. */
    fun admit(team: TeamId, requestId: String, tokens: Long, now: Long): AdmitDecision {
        val entry = entries[team] ?: return AdmitDecision.UnknownTeam
        val burst = entry.bucket.team.burstTokens
        if (tokens > burst) return AdmitDecision.ExceedsBurst(burst)
        refresh(entry, now)
        val wanted = tokens.coerceAtLeast(0)
        val missing = tokensAhead(entry, requestId) + wanted - entry.bucket.availableTokens
        return if (missing <= 0) {
            entry.waiters.remove(requestId)
            entry.bucket.charge(wanted, ++lastCharge)
            AdmitDecision.Admitted(Charge(team, lastCharge, wanted))
        } else {
            waitOrRefuse(entry, requestId, Waiter(wanted, now, now), missing, now)
        }
    }

    /** Forgets the waiting request [requestId], for example because its caller has left. */
    fun withdraw(team: TeamId, requestId: String) {
        entries[team]?.waiters?.remove(requestId)
    }

    /**
     * Answers a `TakeTokens` of [asker] for [amount] tokens of [team]; [waitedMillis] is the age of the asker's oldest
     * waiting request. Tokens that own waiting requests need are kept unless the asker's request is older: without this
     * order, two VMs that each hold half of what either needs would both keep their half and refuse.
     */
    fun give(team: TeamId, asker: VmId, amount: Long, waitedMillis: Long, now: Long): Long {
        val entry = entries[team] ?: return 0
        refresh(entry, now)
        val wanted = amount.coerceIn(0, entry.bucket.team.burstTokens.coerceAtLeast(0))
        val oldest = entry.waiters.values.minOfOrNull { it.since }?.let { now - it }
        val isAskerFirst = oldest == null || isBefore(asker, waitedMillis, oldest)
        val reserved = if (isAskerFirst) 0 else entry.waiters.values.sumOf { it.tokens }
        val surplus = (entry.bucket.givableTokens - reserved).coerceAtLeast(0)
        entry.demands.values.removeAll { now - it.at > DEMAND_MEMORY_MILLIS }
        val others = entry.demands.entries.sumOf { (vm, demand) -> if (vm == asker) 0 else demand.unmet }
        val given = if (surplus >= wanted + others) wanted else proportion(surplus, wanted, wanted + others)
        if (given < wanted) entry.demands[asker] = Demand(wanted - given, now) else entry.demands.remove(asker)
        entry.bucket.give(given, now)
        return given
    }

    /** Takes in the answer of [holder] to a pull of [asked] tokens sent at [requestedAt]. Returns whether it counts. */
    fun received(team: TeamId, holder: VmId, asked: Long, amount: Long, requestedAt: Long, now: Long): Boolean {
        val entry = entries[team] ?: return false
        pulls.answered(entry.bucket.team, holder, asked, amount, now)
        val isLate = now - requestedAt > TOKEN_VALIDITY_MILLIS || requestedAt > now
        if (isLate || amount <= 0) return false
        entry.bucket.advance(now)
        entry.bucket.receive(minOf(amount, asked), requestedAt)
        return true
    }

    /** Notes that a pull from [holder] failed or was not answered in time. */
    fun pullFailed(team: TeamId, holder: VmId, now: Long) = pulls.failed(team, holder, now)

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

    private fun newBucket(team: Team, now: Long): TokenBucket = TokenBucket(team, seatCount, now).also { bucket ->
        held.forEach { bucket.addSeat(it, now) }
        if (now < startTokens.until) lend(bucket)
    }

    private fun isBefore(asker: VmId, waitedMillis: Long, ownWaitedMillis: Long): Boolean =
        waitedMillis > ownWaitedMillis || (waitedMillis == ownWaitedMillis && asker < own)

    private fun refresh(entry: Entry, now: Long) {
        entry.bucket.advance(now)
        entry.waiters.values.removeAll { now - it.lastAsked > WAITING_REQUEST_EXPIRY_MILLIS }
    }

    private fun tokensAhead(entry: Entry, requestId: String): Long =
        entry.waiters.entries.takeWhile { it.key != requestId }.sumOf { it.value.tokens }

    private fun waitOrRefuse(
        entry: Entry,
        requestId: String,
        candidate: Waiter,
        missing: Long,
        now: Long,
    ): AdmitDecision {
        val team = entry.bucket.team
        val waiter = entry.waiters[requestId] ?: candidate
        val patienceLeft = patienceMillis - (now - waiter.since)
        val expectedWait = generationMillis(team, missing)
        val next = if (patienceLeft > 0) pulls.next(team, missing, now) else emptyList()
        val isHopeless = next.isEmpty() && pulls.isDry(team.id, now) && expectedWait > patienceLeft
        if (patienceLeft <= 0 || isHopeless) {
            entry.waiters.remove(requestId)
            return AdmitDecision.RateLimited(expectedWait.coerceIn(1, MAXIMUM_RETRY_ADVICE_MILLIS))
        }
        waiter.lastAsked = now
        entry.waiters[requestId] = waiter
        val waited = now - entry.waiters.values.minOf { it.since }
        return AdmitDecision.NeedTokens(missing, next, waited, QUOTA_RETRY_MILLIS)
    }

    private fun generationMillis(team: Team, tokens: Long): Long =
        if (team.tokensPerSecond <= 0) Long.MAX_VALUE else tokens * MILLIS_PER_SECOND / team.tokensPerSecond

    /** Rounds down by way of a double, because the product of two large amounts exceeds 64 bits. */
    private fun proportion(surplus: Long, wanted: Long, total: Long): Long =
        (surplus.toDouble() * wanted / total).toLong().coerceIn(0, minOf(surplus, wanted))
}
