/*
 * The text of a request's story: its facts, its steps one a line, and the changes around it with their time before or
 * after its arrival.
 */
package org.lentilquay.cli.logs

/** Facts of a request that have lines of their own. */
private val OWN_LINES = setOf("id", "status", "millis", "steps")

/** Writes [story] for a terminal. */
fun storyText(story: RequestStory): String = buildString {
    val facts = story.request.facts
    appendLine("request ${facts["id"]} at ${story.request.origin}: ${facts["status"]} after ${facts["millis"]} ms")
    facts.filterKeys { it !in OWN_LINES }.forEach { (name, value) -> appendLine("  $name: $value") }
    appendLine("steps:")
    val steps = facts["steps"].orEmpty().split("; ").filter { it.isNotBlank() }
    if (steps.isEmpty()) appendLine("  none: it ended before a backend server was chosen")
    steps.forEach { appendLine("  $it") }
    appendLine("changes around it, by milliseconds from its arrival:")
    if (story.changes.isEmpty()) appendLine("  none in these files")
    story.changes.forEach { entry ->
        val details = entry.facts.entries.joinToString(", ") { "${it.key} ${it.value}" }
        val offset = entry.epochMillis - story.arrivedAtEpochMillis
        appendLine("  ${offset.toString().padStart(OFFSET_WIDTH)} ${entry.origin}: ${entry.event} ($details)")
    }
}.trimEnd()

private const val OFFSET_WIDTH = 7
