/*
 * Read-only commands: status, audit trail, configuration, and the explanation of a server selection or of a request.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.path
import org.lentilquay.cli.logs.LogFiles
import org.lentilquay.cli.logs.findRequestLine
import org.lentilquay.cli.logs.requestTimeline
import org.lentilquay.cli.logs.timelineText
import org.lentilquay.protocol.StatusReport

class StatusCommand : AdministrationCommand("status", "Show the status of one VM, its members and servers") {
    override fun run() {
        val status = session.administration.status().orExit()
        if (session.json) echo(prettyJson.encodeToString(status)) else printStatus(status)
    }

    private fun printStatus(status: StatusReport) {
        echo("VM ${status.vm} in ${status.domain}: revision ${status.revision}, ${status.freshness}")
        echo("ready ${status.ready}, table service reachable ${status.tableReachable}, seats ${status.seats}")
        echo("requests in progress: ${status.activeRequests}")
        status.members.forEach { echo("  member ${it.vm} in ${it.domain} at ${it.address}: ${it.state}") }
        status.ownedServers.forEach {
            echo(
                "  owns ${it.server} (fence ${it.fence}): ${it.state}, in flight ${it.inFlight}, " +
                    "queued ${it.queued}, loaded ${it.loaded.size}",
            )
        }
    }
}

class AuditCommand : AdministrationCommand("audit", "Show the audit trail of confirmed changes") {
    private val after by option("--after", help = "Only revisions after this one").long().default(0)
    private val limit by option("--limit").int().default(DEFAULT_AUDIT_ENTRIES)

    override fun run() {
        val entries = session.administration.audit(after, limit).orExit()
        if (session.json) return echo(prettyJson.encodeToString(entries))
        entries.forEach {
            val time = java.time.Instant.ofEpochMilli(it.confirmedAtEpochMillis)
            echo("${it.revision} $time ${it.operator} at ${it.confirmedBy}, plan ${it.planId}: ${it.change}")
        }
    }
}

class ConfigurationCommand : AdministrationCommand("configuration", "Show the configuration of one VM as JSON") {
    override fun run() = echo(prettyJson.encodeToString(session.administration.configuration().orExit()))
}

class ExplainCommand : AdministrationCommand(
    "explain",
    "Show the server selection for a route; with log files, the timeline of a request",
) {
    private val name by argument(help = "A route, or with log files the id of a request")
    private val files by argument("logfile").path().multiple()

    override fun run() = if (files.isEmpty()) explainRoute(name) else explainRequest(name)

    private fun explainRequest(id: String) {
        val logs = LogFiles(files)
        logs.errors.forEach { echo("lentilquay: $it", err = true) }
        val request = logs.read { findRequestLine(id, it) } ?: exit(ExitCode.REFUSED, "no log line of request $id")
        echo(timelineText(logs.read { requestTimeline(request, it) }))
    }

    private fun explainRoute(route: String) {
        val explanation = session.administration.explain(route).orExit()
        if (session.json) return echo(prettyJson.encodeToString(explanation))
        echo("route ${explanation.route} has the target ${explanation.target} at revision ${explanation.revision}")
        explanation.candidates.forEachIndexed { rank, candidate ->
            val owner = candidate.owner ?: "none"
            echo("  rank $rank: ${candidate.server} in ${candidate.domain}, owner $owner: ${candidate.reason}")
        }
        explanation.excluded.forEach { echo("  excluded: ${it.server} in ${it.domain}: ${it.reason}") }
    }
}

private const val DEFAULT_AUDIT_ENTRIES = 100
