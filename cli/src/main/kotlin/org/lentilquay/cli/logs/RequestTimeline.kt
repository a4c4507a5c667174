/*
 * What the logs of several VMs tell of one request: its own line, and the changes of belief before its end that concern
 * what it met: its VM, its team, and the backend servers and VMs that its steps name.
 */
package org.lentilquay.cli.logs

/** Changes from this long before a request may explain it, in milliseconds: a member is taken to be gone after it. */
private const val BEFORE_MILLIS = 15_000L

/** Lines of other VMs count until this long after the end of a request, in milliseconds: VMs' clocks differ. */
private const val AFTER_MILLIS = 1_000L

private const val REQUEST_EVENT = "request"

/** Facts whose values name something that a request can have met. */
private val SUBJECTS = setOf("server", "vm", "team", "former", "joined", "servers")

/** Changes that concern all requests of the VM that logged them. */
private val WHOLE_VM_EVENTS = setOf(
    "start",
    "stop begins",
    "stopped",
    "settings read again",
    "configuration changed",
    "drained failure domains changed",
    "members changed",
    "member record",
    "lease lapsed",
    "table is not readable",
    "table is readable again",
    "history of a table is lost, reading it again",
    "quota seats changed",
)

/** The line of a [request] and the [changes] that may explain it, oldest first. */
data class RequestStory(val request: LogEntry, val changes: List<LogEntry>) {
    /** When the request arrived, on the clock of its VM. */
    val arrivedAtEpochMillis: Long get() = arrival(request)
}

/** The line of the request [id]; a request is logged once, when it ends. */
fun requestLine(id: String, entries: Sequence<LogEntry>): LogEntry? =
    entries.firstOrNull { it.event == REQUEST_EVENT && it.facts["id"] == id }

/** Joins the lines that concern [request]. */
fun requestStory(request: LogEntry, entries: Sequence<LogEntry>): RequestStory {
    val span = arrival(request) - BEFORE_MILLIS..request.epochMillis + AFTER_MILLIS
    val named = namesIn(request.facts["steps"].orEmpty()) + listOfNotNull(request.facts["team"])
    val changes = entries
        .filter { it.epochMillis in span && it.event != REQUEST_EVENT }
        .filter { entry -> concerns(entry, request, named) }
    return RequestStory(request, changes.sortedBy { it.epochMillis }.toList())
}

private fun concerns(entry: LogEntry, request: LogEntry, named: Set<String>): Boolean {
    val isAboutVm = entry.origin == request.origin || entry.origin in named
    if (isAboutVm && entry.event in WHOLE_VM_EVENTS) return true
    val subjects = entry.facts.filterKeys { it in SUBJECTS }.values.flatMap { namesIn(it) }
    return subjects.any { it in named }
}

private fun arrival(request: LogEntry) = request.epochMillis - (request.facts["millis"]?.toLongOrNull() ?: 0)

private fun namesIn(text: String): Set<String> = NAME.findAll(text).map { it.value }.toSet()

/** Ids of servers and VMs hold a hyphen; names of teams are taken as a whole. */
private val NAME = Regex("[A-Za-z0-9_.-]+")
