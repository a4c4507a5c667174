/*
 * Tables of measured figures, as text and as JSON, with the straight line that fits each column best.
 */
package org.lentilquay.bench

import kotlinx.serialization.Serializable
import java.lang.management.ManagementFactory
import kotlin.math.abs
import kotlin.math.roundToLong

private const val WIDTH = 16
private const val THOUSAND = 1_000

/** The line `intercept + slope * x` of least squares. */
@Serializable
data class Line(val slope: Double, val intercept: Double)

/** Figures against one variable: the first column is the variable, the others were measured. */
@Serializable
data class Measurement(
    val title: String,
    val columns: List<String>,
    val rows: List<List<Double>>,
    val lines: Map<String, Line> = linesOf(columns, rows),
)

/** All measurements of one run. The load averages tell how busy the machine was with other work. */
@Serializable
data class CapacityReport(
    val javaVersion: String,
    val processors: Int,
    val loadAverageAtStart: Double,
    val loadAverageAtEnd: Double,
    val measurements: List<Measurement>,
)

/** The load average of the last minute. */
internal fun loadAverage(): Double = ManagementFactory.getOperatingSystemMXBean().systemLoadAverage

/** The processor time, in nanoseconds, that this thread spends in [action]. */
internal inline fun threadNanos(action: () -> Unit): Long {
    val threads = ManagementFactory.getThreadMXBean()
    val start = threads.currentThreadCpuTime
    action()
    return threads.currentThreadCpuTime - start
}

internal fun linesOf(columns: List<String>, rows: List<List<Double>>): Map<String, Line> {
    val x = rows.map { it.first() }
    return columns.withIndex().drop(1).associate { (index, name) -> name to fit(x, rows.map { it[index] }) }
}

private fun fit(x: List<Double>, y: List<Double>): Line {
    val meanX = x.average()
    val meanY = y.average()
    val spread = x.sumOf { (it - meanX) * (it - meanX) }
    val slope = if (spread > 0) x.indices.sumOf { (x[it] - meanX) * (y[it] - meanY) } / spread else 0.0
    return Line(slope, meanY - slope * meanX)
}

/** The measurement as a table of fixed width. */
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
