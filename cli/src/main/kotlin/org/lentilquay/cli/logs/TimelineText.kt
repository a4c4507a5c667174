/*
 * Formats the timeline of a request: its fields, its steps one per line, and the related state changes with their time
 * relative to its arrival.
 */
package org.lentilquay.cli.logs

/** Fields of a request that are printed separately from the others. */
private val SEPARATE_FIELDS = setOf("id", "status", "millis", "steps")

/** Formats [timeline] for a terminal. */
fun timelineText(timeline: RequestTimeline): String = buildString {
    val fields = timeline.request.fields
    appendLine(
        "request ${fields["id"]} at ${timeline.request.origin}: ${fields["status"]} after ${fields["millis"]} ms",
    )
    fields.filterKeys { it !in SEPARATE_FIELDS }.forEach { (name, value) -> appendLine("  $name: $value") }
    appendLine("steps:")
    val steps = fields["steps"].orEmpty().split("; ").filter { it.isNotBlank() }
    if (steps.isEmpty()) appendLine("  none: the request ended before a backend server was selected")
    steps.forEach { appendLine("  $it") }
    appendLine("related state changes, in milliseconds from the arrival:")
    if (timeline.changes.isEmpty()) appendLine("  none in these files")
    timeline.changes.forEach { change ->
        val details = change.fields.entries.joinToString(", ") { "${it.key} ${it.value}" }
        val offset = change.epochMillis - timeline.arrivedAtEpochMillis
        appendLine("  ${offset.toString().padStart(OFFSET_WIDTH)} ${change.origin}: ${change.event} ($details)")
    }
}.trimEnd()

/** The width of the time column, in characters. */
private const val OFFSET_WIDTH = 7
