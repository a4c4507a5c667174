/*
 * Builds the timeline of one request from the logs of several VMs: the log line of the request, and the earlier state
 * changes that concern its VM, its team, or the backend servers and VMs that its steps name.
 */
package org.lentilquay.cli.logs

/**
 * State changes from this long before the arrival of a request are shown: the time without a renewal after which a
 * member counts as departed.
 */
private const val LOOK_BACK_MILLIS = 15_000L

/** Lines until this long after the end of a request are shown, because the clocks of VMs differ. */
private const val CLOCK_SKEW_MILLIS = 1_000L

private const val REQUEST_EVENT = "request"

/** Keys of fields whose values identify servers, VMs or teams that can affect a request. */
private val SUBJECT_FIELDS = setOf("server", "vm", "team", "former", "joined", "servers")

/** Messages of state changes that affect every request of the VM that logged them; the VMs log exactly these texts. */
private val VM_WIDE_EVENTS = setOf(
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

/** The log line of a [request], and the state changes that may explain its outcome, oldest first. */
data class RequestTimeline(val request: LogLine, val changes: List<LogLine>) {
    /** The arrival time of the request, by the clock of its VM. */
    val arrivedAtEpochMillis: Long get() = arrival(request)
}

/** Finds the log line of the request [id]. A request is logged once, when it ends. */
fun findRequestLine(id: String, lines: Sequence<LogLine>): LogLine? =
    lines.firstOrNull { it.event == REQUEST_EVENT && it.fields["id"] == id }

/** Collects the state changes in [lines] that are related to [request]. */
fun requestTimeline(request: LogLine, lines: Sequence<LogLine>): RequestTimeline {
    val span = arrival(request) - LOOK_BACK_MILLIS..request.epochMillis + CLOCK_SKEW_MILLIS
    val identifiers = identifiersIn(request.fields["steps"].orEmpty()) + listOfNotNull(request.fields["team"])
    val changes = lines
        .filter { it.epochMillis in span && it.event != REQUEST_EVENT }
        .filter { line -> isRelated(line, request, identifiers) }
    return RequestTimeline(request, changes.sortedBy { it.epochMillis }.toList())
}

private fun isRelated(line: LogLine, request: LogLine, identifiers: Set<String>): Boolean {
    val isAboutVm = line.origin == request.origin || line.origin in identifiers
    if (isAboutVm && line.event in VM_WIDE_EVENTS) return true
    val subjects = line.fields.filterKeys { it in SUBJECT_FIELDS }.values.flatMap { identifiersIn(it) }
    return subjects.any { it in identifiers }
}

private fun arrival(request: LogLine) = request.epochMillis - (request.fields["millis"]?.toLongOrNull() ?: 0)

private fun identifiersIn(text: String): Set<String> = IDENTIFIER.findAll(text).map { it.value }.toSet()

/** A word of a log value. Identifiers must match whole words, so that `i-7` does not match `i-77`. */
private val IDENTIFIER = Regex("[A-Za-z0-9_.-]+")
