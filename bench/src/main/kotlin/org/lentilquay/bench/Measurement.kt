/*
 * Tables of measured values, as text and as JSON, with the least-squares line of each column.
 */
package org.lentilquay.bench

import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory
import kotlin.math.abs
import kotlin.math.roundToLong

private const val WIDTH = 16
private const val THOUSAND = 1_000

/** The least-squares line `intercept + slope * x`. */
@Serializable
data class Line(val slope: Double, val intercept: Double)

/** Values measured against one variable: the first column is the variable, [lines] are the fits of the others. */
@Serializable
data class Measurement(
    val title: String,
    val columns: List<String>,
    val rows: List<List<Double>>,
    val lines: Map<String, Line> = fitLines(columns, rows),
)

/** All measurements of one run. The load averages show whether the machine was busy with other work. */
@Serializable
data class CapacityReport(
    val javaVersion: String,
    val processors: Int,
    val loadAverageAtStart: Double,
    val loadAverageAtEnd: Double,
    val measurements: List<Measurement>,
)

/** The machine's load average over the last minute. */
internal fun loadAverage(): Double = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

/** The CPU time in nanoseconds that this thread spends in [action]. */
internal inline fun threadNanos(action: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    val start = threads.currentThreadCpuTime
    action()
    return threads.currentThreadCpuTime - start
}

internal fun fitLines(columns: List<String>, rows: List<List<Double>>): Map<String, Line> {
    val x = rows.map { it.first() }
    return columns.withIndex().drop(1)
        .associate { (index, name) -> name to leastSquaresLine(x, rows.map { it[index] }) }
}

private fun leastSquaresLine(x: List<Double>, y: List<Double>): Line {
    val meanX = x.average()
    val meanY = y.average()
    val variation = x.sumOf { (it - meanX) * (it - meanX) }
    val slope = if (variation > 0) x.indices.sumOf { (x[it] - meanX) * (y[it] - meanY) } / variation else 0.0
    return Line(slope, meanY - slope * meanX)
}

/** The measurement as a fixed-width table. */
internal fun Measurement.text(): String = buildString {
    appendLine(title)
    appendLine(columns.joinToString("") { it.padStart(maxOf(WIDTH, it.length + 2)) })
    val widths = columns.map { maxOf(WIDTH, it.length + 2) }
    rows.forEach { row ->
        appendLine(row.zip(widths) { value, width -> number(value).padStart(width) }.joinToString(""))
    }
    if (lines.isEmpty()) return@buildString
    val slopes = listOf("slope") + columns.drop(1).map { number(lines.getValue(it).slope) }
    appendLine(slopes.zip(widths) { text, width -> text.padStart(width) }.joinToString(""))
}

/** [value] with four significant digits, or all digits of a whole number. */
internal fun number(value: Double): String = when {
    value == value.roundToLong().toDouble() -> "%.0f".format(value)
    abs(value) >= THOUSAND -> "%.0f".format(value)
    abs(value) >= 1 -> "%.2f".format(value)
    else -> "%.5f".format(value)
}
