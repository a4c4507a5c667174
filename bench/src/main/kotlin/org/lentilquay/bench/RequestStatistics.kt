/*
 * Classifies the results of requests, and computes percentiles of their times in milliseconds.
 */
package org.lentilquay.bench

import org.HdrHistogram.Histogram

private const val HIGHEST_MICROS = 600_000_000L
private const val SIGNIFICANT_DIGITS = 3
private const val MICROS_PER_MILLI = 1_000.0
private const val MEDIAN = 50.0
private const val P95 = 95.0
private const val P99 = 99.0

private val refusals = setOf(
    "rate_limited",
    "overloaded",
    "no_capacity",
    "configuration_stale",
    "platform_unavailable",
    "shutting_down",
    "load_failed",
    "no_ready_vm",
)

/** Whether the request was refused without being run. */
internal val RequestResult.isRefused: Boolean get() = error in refusals

/** Whether the request ended with neither a complete answer nor a refusal. */
internal val RequestResult.isBroken: Boolean get() = error != null && !isRefused

internal fun firstTokens(results: List<RequestResult>): Percentiles =
    percentiles(results.mapNotNull { it.firstTokenMillis })

/** The expected waits in `overloaded` refusals. */
internal fun refusedWaits(results: List<RequestResult>): Percentiles =
    percentiles(results.filter { it.error == "overloaded" }.mapNotNull { it.retryAfterMillis?.toDouble() })

private fun percentiles(millis: List<Double>): Percentiles {
    val histogram = Histogram(HIGHEST_MICROS, SIGNIFICANT_DIGITS)
    millis.forEach { histogram.recordValue((it * MICROS_PER_MILLI).toLong().coerceAtMost(HIGHEST_MICROS)) }
    return percentiles(histogram)
}

internal fun percentiles(micros: Histogram): Percentiles {
    val at = { percent: Double -> micros.getValueAtPercentile(percent) / MICROS_PER_MILLI }
    return Percentiles(micros.totalCount, at(MEDIAN), at(P95), at(P99), micros.maxValue / MICROS_PER_MILLI)
}
