/*
 * Decides how many backend servers one service should have in each failure domain. Numbers rise at once and fall
 * slowly: a missing server costs waits of callers for a boot time, one too many its price for a few boot times.
 * An instance lives as long as its VM holds the duty; a new holder starts from the recorded orders and the registered
 * servers. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway.scale

import org.lentilquay.state.DomainId
import kotlin.math.ceil

/** The utilization above which an engine counts as busy. */
private const val BUSY_UTILIZATION = 0.6

/** Inputs older than this change nothing. */
private const val MAXIMUM_AGE_MILLIS = 5_000L

/** A number falls by at most one part in this many for each boot time, but by one server at least. */
private const val FALL_DIVISOR = 4

/** How long a request occupies a batch slot while nothing runs from which this could be computed. */
private const val ASSUMED_SECONDS = 1.0

class ScaleDecision {
    private class DomainState(var number: Int, var orderedAt: Long?, now: Long) {
        /** Since when the need is known without a gap. */
        var coveredSince = now
        var fellAt: Long? = null
        var present = 0

        /** Since when fewer servers are present than ordered, and none has appeared; null if all are. */
        var unmetSince: Long? = null

        /** Whether servers that were ordered cannot be counted on. */
        var isMissing = false
    }

    private val history = NeedHistory()
    private val states = HashMap<DomainId, DomainState>()

    /** The numbers of servers at [now]. Call it about once a second, also when nothing changed. */
    fun decide(inputs: ScaleInputs, now: Long): ScaleNumbers {
        states.keys.retainAll(inputs.domains.keys)
        inputs.domains.forEach { (domain, input) ->
            states.getOrPut(domain) { DomainState(startingNumber(input, inputs.limits), input.order?.orderedAt, now) }
        }
        val age = inputs.times.ageAt(now)
        val need = needOf(inputs)
        if (age > MAXIMUM_AGE_MILLIS) {
            val numbers = states.mapValues { DomainNumber(it.value.number, it.value.number, ScaleReason.STALE) }
            return ScaleNumbers(numbers, need, need, age, inputs)
        }
        observe(inputs, now)
        val boot = inputs.limits.bootMillis
        val sample = NeedSample(now, need, inputs.domains.mapValues { it.value.demand.arrivalsPerSecond })
        history.add(sample, boot)
        val areWaiting = inputs.domains.values.any { it.demand.waiting > 0 || it.demand.refusedPerSecond > 0 }
        val forecast = history.forecast(now, boot, areWaiting)
        sample.targets = targets(forecast, inputs, now)
        return ScaleNumbers(numbers(inputs, now), need, forecast, age, inputs)
    }

    private fun startingNumber(input: DomainInputs, limits: ScaleLimits): Int =
        input.order?.desired ?: input.servers.present.coerceIn(limits.minimum, limits.maximum)

    /** The requests that the service has, and those that it would have if none had been refused. */
    private fun needOf(inputs: ScaleInputs): Double {
        val domains = inputs.domains.values
        val running = domains.sumOf { it.occupancy.running }
        val present = running + domains.sumOf { it.occupancy.queued + it.demand.waiting }
        val refused = domains.sumOf { it.demand.refusedPerSecond }
        val served = domains.sumOf { it.demand.arrivalsPerSecond } - refused
        val seconds = if (running > 0 && served > 0) running / served else ASSUMED_SECONDS
        return present + refused * seconds
    }

    /** Records which servers have come, and since when the need is known. */
    private fun observe(inputs: ScaleInputs, now: Long) {
        val boot = inputs.limits.bootMillis
        val isGap = history.lastAt.let { it != null && now - it > MAXIMUM_AGE_MILLIS }
        inputs.domains.forEach { (domain, input) ->
            val state = states.getValue(domain)
            // A drained failure domain gets no requests, so its lower need means nothing.
            if (isGap || input.isDrained) state.coveredSince = now
            val present = input.servers.present
            state.unmetSince = when {
                present >= state.number -> null
                state.unmetSince == null -> state.orderedAt ?: now
                present > state.present -> now
                else -> state.unmetSince
            }
            state.orderedAt = null
            state.present = present
            state.isMissing = state.unmetSince.let { it != null && now - it > 2 * boot }
        }
    }

    /** The servers that each failure domain should have for [forecast] requests. */
    private fun targets(forecast: Double, inputs: ScaleInputs, now: Long): Map<DomainId, Int> {
        val limits = inputs.limits
        val total = serversFor(forecast, inputs)
        val shares = inputs.domains.filterValues { !it.isDrained }.mapValues { (domain, _) ->
            val weight = history.meanArrivals(domain, now - limits.bootMillis)
            DomainShare(weight, limits.minimum, limits.maximum)
        }
        val divided = divide(total, shares)
        if (shares.keys.none { states.getValue(it).isMissing }) return divided
        // The others take the part of servers that do not come; the order stays, so that they still may.
        val divisible = shares.mapValues { (domain, share) ->
            val state = states.getValue(domain)
            val maximum = if (state.isMissing) minOf(state.present, share.maximum) else share.maximum
            share.copy(minimum = minOf(share.minimum, maximum), maximum = maximum)
        }
        val redivided = divide(total, divisible)
        return divided.mapValues { (domain, number) -> maxOf(number, redivided.getValue(domain)) }
    }

    private fun serversFor(requests: Double, inputs: ScaleInputs): Int =
        ceil(requests / (BUSY_UTILIZATION * inputs.slotsPerServer)).toInt()

    private fun numbers(inputs: ScaleInputs, now: Long): Map<DomainId, DomainNumber> {
        val spare = SpareServers(inputs)
        return inputs.domains.toSortedMap(compareBy { it.text }).mapValues { (domain, input) ->
            val state = states.getValue(domain)
            val former = state.number
            val (wanted, reason) = when {
                input.isDrained -> former to ScaleReason.DRAINED
                else -> numberOf(domain, inputs, spare, now)
            }
            if (wanted < former) state.fellAt = now
            state.number = wanted
            DomainNumber(wanted, former, reason)
        }
    }

    private fun numberOf(
        domain: DomainId,
        inputs: ScaleInputs,
        spare: SpareServers,
        now: Long,
    ): Pair<Int, ScaleReason> {
        val state = states.getValue(domain)
        val number = state.number
        val target = history.highestTarget(domain)
        val boot = inputs.limits.bootMillis
        return when {
            target > number -> target to ScaleReason.RISES
            target == number -> number to ScaleReason.STEADY
            now - state.coveredSince < 2 * boot -> number to ScaleReason.NOT_HELD
            state.fellAt.let { it != null && now - it < boot } -> number to ScaleReason.FELL
            else -> fallen(domain, target, inputs, spare)
        }
    }

    /** The number after a fall towards [target], as far as nothing needs the servers. */
    private fun fallen(
        domain: DomainId,
        target: Int,
        inputs: ScaleInputs,
        spare: SpareServers,
    ): Pair<Int, ScaleReason> {
        val number = states.getValue(domain).number
        val input = inputs.domains.getValue(domain)
        val requests = input.occupancy.running + input.occupancy.queued
        val occupied = ceil(requests.toDouble() / inputs.slotsPerServer).toInt()
        val lowest = maxOf(target, number - maxOf(1, number / FALL_DIVISOR))
        if (maxOf(lowest, occupied) >= number) return number to ScaleReason.OCCUPIED
        // Servers that are ordered and not present hold no adapters.
        val holding = minOf(input.servers.present, number)
        var wanted = maxOf(lowest, occupied)
        while (wanted < number && !spare.tryTake((holding - wanted).coerceAtLeast(0))) wanted++
        return wanted to if (wanted < number) ScaleReason.FALLS else ScaleReason.ADAPTERS
    }

    /** The servers that may go while the adapters in use still have places at the others. */
    private inner class SpareServers(inputs: ScaleInputs) {
        private val places = inputs.places
        private val present = inputs.domains.filterValues { !it.isDrained }
            .map { (domain, input) -> minOf(input.servers.present, states.getValue(domain).number) }.sum()
        private var left =
            if (places.perServer <= 0) {
                Int.MAX_VALUE
            } else {
                present - ceil(places.inUse.toDouble() / places.perServer).toInt()
            }

        fun tryTake(servers: Int): Boolean {
            if (servers > left) return false
            left -= servers
            return true
        }
    }
}
