/*
 * Plans token transfers: from which seat holders a VM requests tokens that it lacks, and how many. A quota seat is one
 * of the equal shares of every team's token bucket; its holder is the VM that generates the tokens of that share.
 *
 * Each holder has at most one request per team outstanding. Holders are tried in descending order of the tokens that
 * they are expected to have: what the last answer left, plus what their seats have generated since. Ties are broken by
 * an order of this VM's own, so that VMs do not all ask the same holder. Amounts are whole tokens, times are monotonic
 * milliseconds. Single-threaded use.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.stableHash
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The number of quota seats unless settings say otherwise. */
const val DEFAULT_SEAT_COUNT: Int = 16

/** The delay before a holder that transferred less than requested is asked again; bounds messages for empty buckets. */
const val PARTIAL_TRANSFER_RETRY_MILLIS: Long = 50

/** The delay before a holder that did not answer is asked again. */
const val FAILED_TRANSFER_RETRY_MILLIS: Long = 1_000

/** How long a refusal counts as a sign that the team is at its rate: twice the maximum wait of a request. */
private const val REFUSAL_VALIDITY_MILLIS = 2 * MAXIMUM_QUOTA_WAIT_MILLIS

/** A transfer request without a result counts as failed after this time, which includes the wait at the holder. */
const val TRANSFER_TIMEOUT_MILLIS: Long = MAXIMUM_QUOTA_WAIT_MILLIS + TOKEN_VALIDITY_MILLIS

private const val MILLIS_PER_SECOND = 1_000L

class TransferPlanner(private val own: VmId, private val seatCount: Int = DEFAULT_SEAT_COUNT) {
    /** The other holders of a team's seats, in this VM's order of preference, with the number of seats of each. */
    private class TeamHolders(val seats: Map<VmId, Int>, val seatCount: Int)

    /** The state of one holder for one team, as this VM sees it. */
    private data class HolderView(
        /** Expected tokens at [updatedAt], or null for a holder that was never asked and counts as full. */
        val expected: Long? = null,
        val updatedAt: Long = 0,
        /** The earliest time of the next request. */
        val notBefore: Long = Long.MIN_VALUE,
        /** The tokens of the outstanding request, sent at [sentAt]; null if none is outstanding. */
        val requested: Long = 0,
        val sentAt: Long? = null,
        /** Whether the outstanding request can be asked again for a part if the holder cannot transfer all of it. */
        val isDivisible: Boolean = false,
        /** Whether the holder has refused a request that can be asked again for a part, which is to be done next. */
        val isAskedForPart: Boolean = false,
        /** Whether the last answer transferred nothing. */
        val hasRefused: Boolean = false,
    )

    private var holders: Map<VmId, Set<Int>> = emptyMap()
    private val holdersByTeam = HashMap<TeamId, TeamHolders>()
    private val viewsByTeam = HashMap<TeamId, HashMap<VmId, HolderView>>()

    /** Replaces the seats that each VM holds. */
    fun holdersChanged(changed: Map<VmId, Set<Int>>) {
        val others = changed - own
        if (others == holders) return
        holders = others
        holdersByTeam.clear()
        viewsByTeam.forEach { (team, known) -> known.keys.retainAll(holdersOf(team).seats.keys) }
    }

    private fun holdersOf(team: TeamId): TeamHolders = holdersByTeam.getOrPut(team) {
        val seats = seatsOf(team, seatCount)
        val counts = holders.mapValues { (_, held) -> held.count { it in seats } }.filterValues { it > 0 }
        val ordered = counts.entries.sortedBy { stableHash("$own ${it.key} $team") }.associate { it.toPair() }
        TeamHolders(ordered, seats.size)
    }

    /**
     * The transfer requests to send now for [missing] tokens of [team]. [wanted] is the need of the waiting inference
     * request: a holder transfers no less than that, or than the whole amount if the amount is smaller. The transfer
     * requests count as outstanding until [answered] or [failed] is called or they time out.
     *
     * A request of more than a holder can have is collected in parts. So is one of more than half of that once a holder
     * has refused it: the holders together have its tokens long before one of them does.
     */
    fun next(team: Team, missing: Long, wanted: Long, now: Long): List<TransferRequest> {
        val known = viewsByTeam.getOrPut(team.id) { HashMap() }
        endTimedOutRequests(known, now)
        var rest = missing - known.values.filter { it.sentAt != null }.sumOf { it.requested }
        if (rest <= 0) return emptyList()
        val largest = holdersOf(team.id).seats.keys.maxOfOrNull { maximumTokens(team, it) } ?: 0
        return buildList {
            for ((vm, view, expected) in candidates(team, known, now)) {
                if (rest <= 0) break
                val amount = minOf(rest, maximumTokens(team, vm))
                val isPart = wanted > largest || (view.isAskedForPart && wanted > largest / 2)
                known[vm] = view.copy(
                    expected = expected,
                    updatedAt = now,
                    requested = amount,
                    sentAt = now,
                    isDivisible = !isPart && wanted > largest / 2,
                )
                rest -= amount
                val minimum = if (isPart) (amount / PARTS_OF_AMOUNT).coerceAtLeast(1) else minOf(amount, wanted)
                add(TransferRequest(vm, amount, minimum))
            }
        }
    }

    /**
     * Whether [holder] is told at once that [amount] tokens of it are used. Until then, or for 510 ms, they count
     * against its capacity. For small amounts this costs it little, and a message each would cost more.
     */
    fun isReported(team: Team, holder: VmId, amount: Long): Boolean =
        amount >= maximumTokens(team, holder) / REPORTED_FRACTION_OF_CAPACITY

    private fun candidates(team: Team, known: Map<VmId, HolderView>, now: Long): List<Triple<VmId, HolderView, Long>> =
        holdersOf(team.id).seats.keys
            .filter { maximumTokens(team, it) > 0 }
            .map { it to (known[it] ?: HolderView()) }
            .filter { (_, view) -> view.sentAt == null && view.notBefore <= now }
            .map { (vm, view) -> Triple(vm, view, expected(team, vm, view, now)) }
            .sortedByDescending { (_, _, expected) -> expected }

    /**
     * Records that [holder] transferred [amount] of [asked] tokens. No tokens are a refusal only if the holder could
     * have waited for the longest time; to a request that waits less, it says nothing about the others.
     */
    fun answered(team: Team, holder: VmId, asked: Long, amount: Long, now: Long, hasFullWait: Boolean = true) {
        if (holder !in holdersOf(team.id).seats) return
        val known = viewsByTeam.getOrPut(team.id) { HashMap() }
        val view = known[holder] ?: HolderView()
        val isShort = amount < asked
        val left = if (isShort) 0 else (expected(team, holder, view, now) - amount).coerceAtLeast(0)
        val isRefused = amount <= 0 && hasFullWait
        if (isRefused && view.isDivisible) {
            known[holder] = HolderView(left, now, now, isAskedForPart = true)
        } else {
            val notBefore = if (isShort) now + PARTIAL_TRANSFER_RETRY_MILLIS else now
            known[holder] = HolderView(left, now, notBefore, hasRefused = isRefused)
        }
    }

    /** Records that [holder] did not answer. */
    fun failed(team: TeamId, holder: VmId, now: Long) {
        if (holder !in holdersOf(team).seats) return
        viewsByTeam.getOrPut(team) { HashMap() }[holder] = failedView(now)
    }

    private fun failedView(now: Long) = HolderView(0, now, now + FAILED_TRANSFER_RETRY_MILLIS)

    /** Whether every holder of [team] is waiting out a retry delay: no request is outstanding and none can be sent. */
    fun isExhausted(team: TeamId, now: Long): Boolean = holdersOf(team).seats.keys.all { isBackingOff(team, it, now) }

    /** Whether the last answer of every holder of [team] was a refusal and none can be asked again yet. */
    fun isRefusedByAll(team: TeamId, now: Long): Boolean {
        val holders = holdersOf(team).seats.keys
        return holders.isNotEmpty() && isExhausted(team, now) &&
            holders.all { viewsByTeam[team]?.get(it)?.hasRefused == true }
    }

    /** Whether a holder of [team] has refused within [REFUSAL_VALIDITY_MILLIS]. */
    fun hasRecentRefusal(team: TeamId, now: Long): Boolean =
        viewsByTeam[team].orEmpty().values.any { it.hasRefused && now - it.updatedAt < REFUSAL_VALIDITY_MILLIS }

    private fun isBackingOff(team: TeamId, holder: VmId, now: Long): Boolean =
        viewsByTeam[team]?.get(holder).let { it != null && it.sentAt == null && it.notBefore > now }

    private fun endTimedOutRequests(known: MutableMap<VmId, HolderView>, now: Long) {
        known.replaceAll { _, view ->
            val isLost = view.sentAt != null && now - view.sentAt > TRANSFER_TIMEOUT_MILLIS
            if (isLost) failedView(now) else view
        }
    }

    /** The capacity of the seats of [holder] in tokens. */
    private fun maximumTokens(team: Team, holder: VmId): Long =
        holdersOf(team.id).let { team.burstTokens * (it.seats[holder] ?: 0) / it.seatCount }

    private fun expected(team: Team, holder: VmId, view: HolderView, now: Long): Long {
        val teamHolders = holdersOf(team.id)
        val seats = teamHolders.seats[holder] ?: 0
        val cap = maximumTokens(team, holder)
        val base = view.expected ?: return cap
        val generated = team.tokensPerSecond * seats * (now - view.updatedAt).coerceIn(0, MAXIMUM_GENERATION_MILLIS) /
            (MILLIS_PER_SECOND * teamHolders.seatCount)
        return minOf(cap, base + generated)
    }

    private companion object {
        /** Keeps the product within 64 bits. Over longer times the order of the holders does not change. */
        const val MAXIMUM_GENERATION_MILLIS = 100_000L

        const val PARTS_OF_AMOUNT = 4
        const val REPORTED_FRACTION_OF_CAPACITY = 8
    }
}
