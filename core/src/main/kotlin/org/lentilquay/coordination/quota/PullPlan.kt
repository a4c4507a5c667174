/*
 * Which seat holders a VM asks for tokens, and for how much. At most three pulls of a team are under way at a time; the
 * holders that are expected to have most come first. The expectation is what the last answer showed, plus what the
 * holder's seats have generated since. Amounts are whole tokens, times are milliseconds.
 */
package org.lentilquay.coordination.quota

import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

/** The number of seats into which rates and bursts are divided unless settings say otherwise. */
const val DEFAULT_SEAT_COUNT: Int = 16

/** Pulls of one team that are under way at the same time. */
const val MAXIMUM_PARALLEL_PULLS: Int = 3

/** A holder that gave less than asked is asked again after this time, so that an empty team causes few messages. */
const val PULL_AGAIN_MILLIS: Long = 50

/** A holder that did not answer is asked again after this time. */
const val PULL_FAILED_MILLIS: Long = 1_000

private const val MILLIS_PER_SECOND = 1_000L

class PullPlan(private val own: VmId, private val seatCount: Int = DEFAULT_SEAT_COUNT) {
    private data class View(
        /** Expected tokens at [at], or null for a holder that was never asked and is taken to be full. */
        val expected: Long? = null,
        val at: Long = 0,
        val notBefore: Long = Long.MIN_VALUE,
        val underWay: Long = 0,
        val sentAt: Long? = null,
    )

    private var seatsOf: Map<VmId, Int> = emptyMap()
    private val views = HashMap<TeamId, HashMap<VmId, View>>()

    /** Takes over how many seats each VM holds. */
    fun holdersChanged(holders: Map<VmId, Int>) {
        seatsOf = holders.filter { (vm, seats) -> vm != own && seats > 0 }
        views.values.forEach { it.keys.retainAll(seatsOf.keys) }
    }

    /** The pulls to send now for [missing] tokens of [team]; they count as under way until answered or failed. */
    fun next(team: Team, missing: Long, now: Long): List<Pull> {
        val known = views.getOrPut(team.id) { HashMap() }
        endOldPulls(known, now)
        val underWay = known.values.filter { it.sentAt != null }
        var rest = missing - underWay.sumOf { it.underWay }
        val free = MAXIMUM_PARALLEL_PULLS - underWay.size
        if (rest <= 0 || free <= 0) return emptyList()
        val candidates = seatsOf.keys
            .map { it to (known[it] ?: View()) }
            .filter { (_, view) -> view.sentAt == null && view.notBefore <= now }
            .map { (vm, view) -> Triple(vm, view, expected(team, vm, view, now)) }
            .sortedWith(compareByDescending<Triple<VmId, View, Long>> { it.third }.thenBy { it.first })
            .take(free)
        val share = (missing + free - 1) / free
        return buildList {
            for ((vm, view, expected) in candidates) {
                if (rest <= 0) break
                val amount = minOf(rest, maxOf(expected, share))
                known[vm] = view.copy(expected = expected, at = now, underWay = amount, sentAt = now)
                rest -= amount
                add(Pull(vm, amount))
            }
        }
    }

    /** Notes that [holder] gave [amount] of [asked] tokens. */
    fun answered(team: Team, holder: VmId, asked: Long, amount: Long, now: Long) {
        if (holder !in seatsOf) return
        val known = views.getOrPut(team.id) { HashMap() }
        val view = known[holder] ?: View()
        val isShort = amount < asked
        val left = if (isShort) 0 else (expected(team, holder, view, now) - amount).coerceAtLeast(0)
        known[holder] = View(left, now, if (isShort) now + PULL_AGAIN_MILLIS else now)
    }

    /** Notes that [holder] did not answer. */
    fun failed(team: TeamId, holder: VmId, now: Long) {
        if (holder !in seatsOf) return
        views.getOrPut(team) { HashMap() }[holder] = View(0, now, now + PULL_FAILED_MILLIS)
    }

    /** Whether no pull of [team] is under way and no holder is worth asking yet. */
    fun isDry(team: TeamId, now: Long): Boolean {
        val known = views[team].orEmpty()
        return seatsOf.keys.all { vm -> known[vm].let { it != null && it.sentAt == null && it.notBefore > now } }
    }

    private fun endOldPulls(known: MutableMap<VmId, View>, now: Long) {
        known.replaceAll { _, view ->
            val isLost = view.sentAt != null && now - view.sentAt > TOKEN_VALIDITY_MILLIS
            if (isLost) View(0, now, now + PULL_FAILED_MILLIS) else view
        }
    }

    private fun expected(team: Team, holder: VmId, view: View, now: Long): Long {
        val seats = seatsOf[holder] ?: 0
        val cap = team.burstTokens * seats / seatCount
        val base = view.expected ?: return cap
        val generated = team.tokensPerSecond * seats * (now - view.at).coerceIn(0, MAXIMUM_GROWTH_MILLIS) /
            (MILLIS_PER_SECOND * seatCount)
        return minOf(cap, base + generated)
    }

    private companion object {
        /** Longer gaps do not change the order of holders; the bound keeps the product within 64 bits. */
        const val MAXIMUM_GROWTH_MILLIS = 100_000L
    }
}
