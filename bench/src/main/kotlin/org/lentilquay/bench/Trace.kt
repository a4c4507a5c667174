/*
 * The requests of a scenario, drawn from a seed before the run, so that two runs with one seed send the same requests:
 * Poisson arrivals, adapters by Zipf's law, teams by their shares. Times are milliseconds from the start.
 */
package org.lentilquay.bench

import kotlin.math.ln
import kotlin.math.pow
import kotlin.random.Random

private const val BYTES_PER_TOKEN = 3
private const val MILLIS_PER_SECOND = 1_000.0

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
)

/** One request. */
data class TraceRequest(
    val number: Int,
    val atMillis: Long,
    /** From 1, the most popular. */
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
    val popularity = cumulative((1..workload.adapters).map { it.toDouble().pow(-workload.zipfExponent) })
    val teams = cumulative(workload.teamShares)
    val requests = ArrayList<TraceRequest>()
    var at = 0.0
    while (true) {
        at += -ln(1.0 - random.nextDouble()) / workload.requestsPerSecond * MILLIS_PER_SECOND
        if (at >= seconds * MILLIS_PER_SECOND) return requests
        val isLong = random.nextDouble() < workload.longShare
        requests += TraceRequest(
            number = requests.size,
            atMillis = at.toLong(),
            adapter = draw(popularity, random) + 1,
            team = draw(teams, random),
            isLong = isLong,
            maximumTokens = if (isLong) workload.longTokens else workload.shortTokens,
            promptBytes = if (isLong) workload.longPromptBytes else workload.shortPromptBytes,
            vmDraw = random.nextInt(Int.MAX_VALUE),
        )
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
