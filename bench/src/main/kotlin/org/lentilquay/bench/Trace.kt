/*
 * The requests of a scenario, drawn from a seed before the run, so that two runs with one seed send the same requests:
 * Poisson arrivals, adapters by Zipf's law, teams by their shares. Times are milliseconds from the start. The times do
 * not depend on the answers: arrivals are open-loop.
 */
package org.lentilquay.bench

import kotlin.math.PI
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sin
import kotlin.random.Random

private const val BYTES_PER_TOKEN = 3
private const val MILLIS_PER_SECOND = 1_000.0

/** A peak of arrivals lies between these parts of the time, and the popularity shifts at [SHIFT_PART]. */
internal const val PEAK_BEGIN_PART = 0.25
internal const val PEAK_END_PART = 0.75
internal const val SHIFT_PART = 0.5

@Suppress("MagicNumber")
private val twoLargeTeams = listOf(0.35, 0.35, 0.1, 0.1, 0.1)

/** What a scenario sends. */
data class Workload(
    val requestsPerSecond: Double = 8.0,
    val adapters: Int = 3_000,
    val zipfExponent: Double = 1.0,
    /** The share of each team in the requests; the first two teams are the large ones. */
    val teamShares: List<Double> = twoLargeTeams,
    val longShare: Double = 0.1,
    val shortTokens: Int = 32,
    val longTokens: Int = 400,
    val shortPromptBytes: Int = 45,
    val longPromptBytes: Int = 600,
    /** The rate of each team is this many times its mean use, so that only chance brings a usual team over it. */
    val rateMargin: Double = 3.0,
    /** The team that sends [loudFactor] times its rate, if there is one. */
    val loudTeam: Int? = null,
    val loudFactor: Double = 1.0,
    /** Arrivals rise to this many times the usual in the middle of the time. */
    val peakFactor: Double = 1.0,
    /** Whether other adapters become popular at half of the time. */
    val popularityShifts: Boolean = false,
) {
    /** The weight of each team in the arrivals; 1 in all if no team is loud. */
    val arrivalShares: List<Double> get() = teamShares.mapIndexed { team, share ->
        if (team == loudTeam) share * rateMargin * loudFactor else share
    }

    /** The usual requests of the same teams, at [part] of the rate. */
    fun usual(part: Double): Workload = copy(
        requestsPerSecond = requestsPerSecond * part,
        loudTeam = null,
        peakFactor = 1.0,
        popularityShifts = false,
    )
}

/** One request. */
data class TraceRequest(
    val number: Int,
    val atMillis: Long,
    /** From 1, the most popular before any shift. */
    val adapter: Int,
    val team: Int,
    val isLong: Boolean,
    val maximumTokens: Int,
    val promptBytes: Int,
    /** Chooses the VM among those that are ready when the request is sent. */
    val vmDraw: Int,
) {
    /** Tokens that the quota counts before the run (docs/design.md, section 4.4). */
    val estimatedTokens: Int get() = (promptBytes + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN + maximumTokens
}

/** Draws the requests of [seconds] seconds. */
fun traceOf(workload: Workload, seconds: Int, seed: Long): List<TraceRequest> {
    val random = Random(seed)
    val end = seconds * MILLIS_PER_SECOND
    val draws = RequestDraws(workload, random)
    val highestRate = workload.requestsPerSecond * workload.arrivalShares.sum() * workload.peakFactor
    val requests = ArrayList<TraceRequest>()
    var at = 0.0
    while (true) {
        at += -ln(1.0 - random.nextDouble()) / highestRate * MILLIS_PER_SECOND
        if (at >= end) return requests
        // Thinning: arrivals at the highest rate, of which the part stays that the rate of the moment asks for.
        val kept = workload.peakFactor == 1.0 || random.nextDouble() * workload.peakFactor < workload.riseAt(at / end)
        if (kept) requests += draws.request(requests.size, at.toLong(), at / end)
    }
}

/** Arrivals at [part] of the time, as a multiple of the usual. */
private fun Workload.riseAt(part: Double): Double {
    if (part !in PEAK_BEGIN_PART..PEAK_END_PART) return 1.0
    val height = sin(PI * (part - PEAK_BEGIN_PART) / (PEAK_END_PART - PEAK_BEGIN_PART))
    return 1 + (peakFactor - 1) * height * height
}

private class RequestDraws(private val workload: Workload, private val random: Random) {
    private val popularity = cumulative((1..workload.adapters).map { it.toDouble().pow(-workload.zipfExponent) })
    private val teams = cumulative(workload.arrivalShares)

    fun request(number: Int, atMillis: Long, part: Double): TraceRequest {
        val isLong = random.nextDouble() < workload.longShare
        return TraceRequest(
            number = number,
            atMillis = atMillis,
            adapter = adapterAt(draw(popularity, random), part),
            team = draw(teams, random),
            isLong = isLong,
            maximumTokens = if (isLong) workload.longTokens else workload.shortTokens,
            promptBytes = if (isLong) workload.longPromptBytes else workload.shortPromptBytes,
            vmDraw = random.nextInt(Int.MAX_VALUE),
        )
    }

    /** The adapter with the popularity [rank]. A shift exchanges the popular half of the adapters for the other. */
    private fun adapterAt(rank: Int, part: Double): Int {
        val isShifted = workload.popularityShifts && part >= SHIFT_PART
        return (rank + if (isShifted) workload.adapters / 2 else 0) % workload.adapters + 1
    }
}

private fun cumulative(weights: List<Double>): DoubleArray {
    val sum = weights.sum()
    var total = 0.0
    return DoubleArray(weights.size) { index ->
        total += weights[index] / sum
        total
    }
}

private fun draw(cumulative: DoubleArray, random: Random): Int {
    val place = cumulative.binarySearch(random.nextDouble())
    return (if (place >= 0) place else -place - 1).coerceAtMost(cumulative.lastIndex)
}

/**
 * The requests of [trace] that are inside their team's rate, judged by one bucket for each team that is full at the
 * start: a request outside takes nothing. Rates are tokens a second, by team.
 */
fun insideRate(trace: List<TraceRequest>, rates: List<Double>, bursts: List<Double>): Set<Int> {
    val balance = bursts.toDoubleArray()
    val last = LongArray(rates.size)
    return trace.filter { request ->
        val team = request.team
        val generated = (request.atMillis - last[team]) * rates[team] / MILLIS_PER_SECOND
        balance[team] = minOf(bursts[team], balance[team] + generated)
        last[team] = request.atMillis
        val isInside = balance[team] >= request.estimatedTokens
        if (isInside) balance[team] -= request.estimatedTokens
        isInside
    }.mapTo(HashSet()) { it.number }
}
