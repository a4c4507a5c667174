/*
 * Commands that only read: status, audit trail, configuration, and the explanation of a routing decision.
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
import org.lentilquay.cli.logs.requestLine
import org.lentilquay.cli.logs.requestStory
import org.lentilquay.cli.logs.storyText
import org.lentilquay.protocol.StatusReport

class StatusCommand : AdministrationCommand("status", "What one VM knows of itself, its members and its servers") {
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

class AuditCommand : AdministrationCommand("audit", "The audit trail of confirmed changes") {
    private val after by option("--after", help = "Only revisions after this one").long().default(0)
    private val limit by option("--limit").int().default(DEFAULT_AUDIT_LINES)

    override fun run() {
        val entries = session.administration.audit(after, limit).orExit()
        if (session.json) return echo(prettyJson.encodeToString(entries))
        entries.forEach {
            val time = java.time.Instant.ofEpochMilli(it.confirmedAtEpochMillis)
            echo("${it.revision} $time ${it.operator} at ${it.confirmedBy}, plan ${it.planId}: ${it.change}")
        }
    }
}

class ConfigurationCommand : AdministrationCommand("configuration", "The configuration in force at one VM, as JSON") {
    override fun run() = echo(prettyJson.encodeToString(session.administration.configuration().orExit()))
}

class ExplainCommand : AdministrationCommand(
    "explain",
    "How a request for a route would be placed now; with log files, why a request ended as it did",
) {
    private val name by argument(help = "A route, or with log files the id of a request")
    private val files by argument("logfile").path().multiple()

    override fun run() = if (files.isEmpty()) explainRoute(name) else explainRequest(name)

    private fun explainRequest(id: String) {
        val logs = LogFiles(files)
        logs.faults.forEach { echo("lentilquay: $it", err = true) }
        val request = logs.read { requestLine(id, it) } ?: exit(ExitCode.REFUSED, "no log line of request $id")
        echo(storyText(logs.read { requestStory(request, it) }))
    }

    private fun explainRoute(route: String) {
        val explanation = session.administration.explain(route).orExit()
        if (session.json) return echo(prettyJson.encodeToString(explanation))
        echo("route ${explanation.route} leads to ${explanation.target} at revision ${explanation.revision}")
        explanation.candidates.forEachIndexed { rank, candidate ->
            val owner = candidate.owner ?: "none"
            echo("  rank $rank: ${candidate.server} in ${candidate.domain}, owner $owner: ${candidate.reason}")
        }
        explanation.excluded.forEach { echo("  not tried: ${it.server} in ${it.domain}: ${it.reason}") }
    }
}

private const val DEFAULT_AUDIT_LINES = 100
