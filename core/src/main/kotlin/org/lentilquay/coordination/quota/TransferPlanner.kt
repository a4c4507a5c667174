/*
 * Which seat holders a VM asks for tokens, and for how much. One pull at a time goes to each holder; the holders that
 * are expected to have most come first, and each VM has its own order of those that are alike, so that not all ask the
 * same one. The expectation is what the last answer showed, plus what the holder's seats have generated since. Amounts
 * are whole tokens, times are milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.coordination.stableHash
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The number of quota seats unless settings say otherwise. */
const val DEFAULT_SEAT_COUNT: Int = 16

/** A holder that gave less than asked is asked again after this time, so that an empty team causes few messages. */
const val SHORT_TRANSFER_RETRY_MILLIS: Long = 50

/** A holder that did not answer is asked again after this time. */
const val FAILED_TRANSFER_RETRY_MILLIS: Long = 1_000

/** For this long a holder that refused shows that its team is at its rate; twice the time for which requests wait. */
private const val REFUSAL_MILLIS = 2 * MAXIMUM_QUOTA_WAIT_MILLIS

/** A pull that has no result after this time is taken to be lost: a holder may keep it waiting for part of it. */
const val LOST_TRANSFER_MILLIS: Long = MAXIMUM_QUOTA_WAIT_MILLIS + TOKEN_VALIDITY_MILLIS

private const val MILLIS_PER_SECOND = 1_000L

class TransferPlanner(private val own: VmId, private val seatCount: Int = DEFAULT_SEAT_COUNT) {
    /**
     * The other VMs that hold seats of a team, with the number of these seats and in this VM's own order, and how many
     * seats the team has.
     */
    private class TeamHolders(val seats: Map<VmId, Int>, val seatCount: Int)

    private data class View(
        /** Expected tokens at [at], or null for a holder that was never asked and is taken to be full. */
        val expected: Long? = null,
        val at: Long = 0,
        val notBefore: Long = Long.MIN_VALUE,
        val underWay: Long = 0,
        val sentAt: Long? = null,
        /** The last answer was that there are no tokens in time. */
        val hasRefused: Boolean = false,
    )

    private var holders: Map<VmId, Set<Int>> = emptyMap()
    private val seatsByTeam = HashMap<TeamId, TeamHolders>()
    private val views = HashMap<TeamId, HashMap<VmId, View>>()

    /** Takes over which seats each VM holds. */
    fun holdersChanged(changed: Map<VmId, Set<Int>>) {
        val others = changed - own
        if (others == holders) return
        holders = others
        seatsByTeam.clear()
        views.forEach { (team, known) -> known.keys.retainAll(holdersOf(team).seats.keys) }
    }

    private fun holdersOf(team: TeamId): TeamHolders = seatsByTeam.getOrPut(team) {
        val seats = seatsOf(team, seatCount)
        val counts = holders.mapValues { (_, held) -> held.count { it in seats } }.filterValues { it > 0 }
        val ordered = counts.entries.sortedBy { stableHash("$own ${it.key} $team") }.associate { it.toPair() }
        TeamHolders(ordered, seats.size)
    }

    /**
     * The pulls to send now for [missing] tokens of [team], of which the request that asks needs [wanted]; they count
     * as under way until answered or failed.
     */
    fun next(team: Team, missing: Long, wanted: Long, now: Long): List<TransferRequest> {
        val known = views.getOrPut(team.id) { HashMap() }
        endOldPulls(known, now)
        var rest = missing - known.values.filter { it.sentAt != null }.sumOf { it.underWay }
        if (rest <= 0) return emptyList()
        return buildList {
            for ((vm, view, expected) in candidates(team, known, now)) {
                if (rest <= 0) break
                val amount = minOf(rest, most(team, vm))
                known[vm] = view.copy(expected = expected, at = now, underWay = amount, sentAt = now)
                rest -= amount
                add(TransferRequest(vm, amount, minOf(amount, wanted)))
            }
        }
    }

    private fun candidates(team: Team, known: Map<VmId, View>, now: Long): List<Triple<VmId, View, Long>> =
        holdersOf(team.id).seats.keys
            .filter { most(team, it) > 0 }
            .map { it to (known[it] ?: View()) }
            .filter { (_, view) -> view.sentAt == null && view.notBefore <= now }
            .map { (vm, view) -> Triple(vm, view, expected(team, vm, view, now)) }
            .sortedByDescending { (_, _, expected) -> expected }

    /** Notes that [holder] gave [amount] of [asked] tokens. */
    fun answered(team: Team, holder: VmId, asked: Long, amount: Long, now: Long) {
        if (holder !in holdersOf(team.id).seats) return
        val known = views.getOrPut(team.id) { HashMap() }
        val view = known[holder] ?: View()
        val isShort = amount < asked
        val left = if (isShort) 0 else (expected(team, holder, view, now) - amount).coerceAtLeast(0)
        val notBefore = if (isShort) now + SHORT_TRANSFER_RETRY_MILLIS else now
        known[holder] = View(left, now, notBefore, hasRefused = amount <= 0)
    }

    /** Notes that [holder] did not answer. */
    fun failed(team: TeamId, holder: VmId, now: Long) {
        if (holder !in holdersOf(team).seats) return
        views.getOrPut(team) { HashMap() }[holder] = failedView(now)
    }

    private fun failedView(now: Long) = View(0, now, now + FAILED_TRANSFER_RETRY_MILLIS)

    /** Whether no pull of [team] is under way and no holder is worth asking yet. */
    fun isDry(team: TeamId, now: Long): Boolean = holdersOf(team).seats.keys.all { isResting(team, it, now) }

    /** Whether all holders of [team] have just answered that they cannot give any tokens in time. */
    fun isRefused(team: TeamId, now: Long): Boolean {
        val holders = holdersOf(team).seats.keys
        return holders.isNotEmpty() && isDry(team, now) && holders.all { views[team]?.get(it)?.hasRefused == true }
    }

    /** Whether a holder of [team] has lately answered that it cannot give any tokens in time. */
    fun hasRefusal(team: TeamId, now: Long): Boolean =
        views[team].orEmpty().values.any { it.hasRefused && now - it.at < REFUSAL_MILLIS }

    private fun isResting(team: TeamId, holder: VmId, now: Long): Boolean =
        views[team]?.get(holder).let { it != null && it.sentAt == null && it.notBefore > now }

    private fun endOldPulls(known: MutableMap<VmId, View>, now: Long) {
        known.replaceAll { _, view ->
            val isLost = view.sentAt != null && now - view.sentAt > LOST_TRANSFER_MILLIS
            if (isLost) failedView(now) else view
        }
    }

    /** The most tokens that [holder] can have. */
    private fun most(team: Team, holder: VmId): Long =
        holdersOf(team.id).let { team.burstTokens * (it.seats[holder] ?: 0) / it.seatCount }

    private fun expected(team: Team, holder: VmId, view: View, now: Long): Long {
        val teamHolders = holdersOf(team.id)
        val seats = teamHolders.seats[holder] ?: 0
        val cap = most(team, holder)
        val base = view.expected ?: return cap
        val generated = team.tokensPerSecond * seats * (now - view.at).coerceIn(0, MAXIMUM_GROWTH_MILLIS) /
            (MILLIS_PER_SECOND * teamHolders.seatCount)
        return minOf(cap, base + generated)
    }

    private companion object {
        /** Longer gaps do not change the order of holders; the bound keeps the product within 64 bits. */
        const val MAXIMUM_GROWTH_MILLIS = 100_000L
    }
}
