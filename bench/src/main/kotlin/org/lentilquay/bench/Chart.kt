/*
 * The timeline of a run as an SVG: the first token's p95 and the refusals of each second, with the events marked.
 */
package org.lentilquay.bench

private const val WIDTH = 900
private const val HEIGHT = 150
private const val MARGIN = 60
private const val GAP = 50
private const val TEXT_GAP = 8

/** The timeline of [report] as the text of an SVG file. */
internal fun chartOf(report: RunReport): String {
    val seconds = maxOf(1, report.timeline.lastOrNull()?.second ?: 0)
    val x = { second: Double -> MARGIN + WIDTH * second / seconds }
    val latencies = report.timeline.mapNotNull { point -> point.firstTokenP95?.let { point.second to it } }
    val refusals = report.timeline.map { it.second to it.refused.toDouble() }
    val totalHeight = 2 * (HEIGHT + GAP) + GAP
    return buildString {
        appendLine(
            """<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH + 2 * MARGIN}" height="$totalHeight" """ +
                """font-family="sans-serif" font-size="12">""",
        )
        appendLine("""<rect width="100%" height="100%" fill="white"/>""")
        val title = "first token p95, ms, by second (${report.run.scenario}, seed ${report.run.seed})"
        append(plot(title, latencies, GAP, x))
        append(plot("refusals a second", refusals, GAP + HEIGHT + GAP, x))
        report.events.forEach { event ->
            val place = number(x(event.seconds))
            appendLine("""<line x1="$place" x2="$place" y1="$GAP" y2="${totalHeight - GAP}" stroke="red"/>""")
            appendLine("""<text x="$place" y="${totalHeight - GAP / 2}" fill="red">${event.name}</text>""")
        }
        appendLine("</svg>")
    }
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
