/*
 * Draws the timeline of a run as SVG: the p95 of the first token, the refusals and the broken requests of each second.
 * Vertical lines mark events, and a coloured area the time between a failure and its end.
 */
package org.lentilquay.bench

private const val WIDTH = 900
private const val HEIGHT = 150
private const val MARGIN = 60
private const val GAP = 50
private const val TEXT_GAP = 8
private const val LINE_HEIGHT = 16
private const val PLOT_COUNT = 3

/** The timeline of [report] as the text of an SVG file. */
internal fun chartOf(report: RunReport): String {
    val seconds = maxOf(1, report.timeline.lastOrNull()?.second ?: 0)
    val x = { second: Double -> MARGIN + WIDTH * second / seconds }
    val bottom = PLOT_COUNT * (HEIGHT + GAP)
    val totalHeight = bottom + GAP + report.events.size * LINE_HEIGHT
    val title = "${report.run.scenario}, seed ${report.run.seed}"
    val latencies = report.timeline.mapNotNull { point -> point.firstTokenP95?.let { point.second to it } }
    val refusals = report.timeline.map { it.second to it.refused.toDouble() }
    val broken = report.timeline.map { it.second to it.broken.toDouble() }
    return buildString {
        appendLine(
            """<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH + 2 * MARGIN}" height="$totalHeight" """ +
                """font-family="sans-serif" font-size="12">""",
        )
        appendLine("""<rect width="100%" height="100%" fill="white"/>""")
        append(failureSpan(report.events, bottom, x))
        append(plot("first token p95, ms, by second ($title)", latencies, GAP, x))
        append(plot("refusals a second", refusals, GAP + HEIGHT + GAP, x))
        append(plot("broken requests a second", broken, GAP + 2 * (HEIGHT + GAP), x))
        report.events.forEachIndexed { row, event -> append(eventMarker(event, row, bottom, x)) }
        appendLine("</svg>")
    }
}

/** The area between a failure and its end; empty unless the run has exactly these two events. */
private fun failureSpan(events: List<EventEntry>, bottom: Int, x: (Double) -> Double): String {
    if (events.size != 2) return ""
    val (begin, end) = events.map { x(it.seconds) }
    val width = number(end - begin)
    return """
        <rect x="${number(begin)}" y="$GAP" width="$width" height="${bottom - GAP}" fill="mistyrose"/>
    """.trimIndent() + "\n"
}

/** A vertical line through all plots, labelled in a row of its own so that the labels do not overlap. */
private fun eventMarker(event: EventEntry, row: Int, bottom: Int, x: (Double) -> Double): String {
    val lineX = number(x(event.seconds))
    val textY = bottom + LINE_HEIGHT * (row + 1)
    return """
        <line x1="$lineX" x2="$lineX" y1="$GAP" y2="$textY" stroke="red"/>
        <text x="$lineX" y="$textY" dx="4" fill="red">${event.name}, ${number(event.seconds)} s</text>
    """.trimIndent() + "\n"
}

private fun plot(title: String, points: List<Pair<Int, Double>>, top: Int, x: (Double) -> Double): String {
    val maximum = maxOf(1.0, points.maxOfOrNull { it.second } ?: 0.0)
    val line = points.joinToString(" ") { (second, value) ->
        "${number(x(second.toDouble()))},${number(top + HEIGHT * (1 - value / maximum))}"
    }
    return """
        <text x="$MARGIN" y="${top - TEXT_GAP}">$title</text>
        <text x="4" y="${top + TEXT_GAP}">${number(maximum)}</text>
        <text x="4" y="${top + HEIGHT}">0</text>
        <rect x="$MARGIN" y="$top" width="$WIDTH" height="$HEIGHT" fill="none" stroke="gray"/>
        <polyline points="$line" fill="none" stroke="black"/>
    """.trimIndent() + "\n"
}
