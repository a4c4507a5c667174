/*
 * The command `capacity`, which measures how costs grow with the size of the fleet and prints tables.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.Json
import java.io.File

private val json = Json { prettyPrint = true }
private const val DEFAULT_SETTLE_SECONDS = 10L
private const val MAXIMUM_SETTLE_SECONDS = 600L
private const val MILLIS_PER_SECOND = 1_000L
private val parts = listOf("membership", "configuration", "messages", "decisions", "fleet")

internal class CapacityCommand : CliktCommand(name = "capacity") {
    private val jsonFile by option("--json", help = "File for the figures as JSON").file()
    private val only by option("--only", help = "Only this group of measurements").choice(parts.associateWith { it })
    private val settleSeconds by option("--settle", help = "Seconds to wait before an idle fleet is measured").long()
        .restrictTo(0L..MAXIMUM_SETTLE_SECONDS).default(DEFAULT_SETTLE_SECONDS)
    private val directory by option("--directory", help = "Directory for settings and logs of the daemons").file()
        .default(File("out/bench"))

    override fun help(context: Context): String = "Measures the slopes from which docs/CAPACITY.md is derived."

    override fun run() {
        val loadAtStart = loadAverage()
        val measurements = parts.filter { only == null || only == it }.flatMap { part ->
            measure(part).onEach { echo(it.text()) }
        }
        val processors = Runtime.getRuntime().availableProcessors()
        val report =
            CapacityReport(System.getProperty("java.version"), processors, loadAtStart, loadAverage(), measurements)
        echo("load average ${number(loadAtStart)} at the start, ${number(report.loadAverageAtEnd)} at the end")
        jsonFile?.let { file ->
            file.absoluteFile.parentFile.mkdirs()
            file.writeText(json.encodeToString(CapacityReport.serializer(), report))
        }
    }

    private fun measure(part: String): List<Measurement> = when (part) {
        "membership" -> listOf(membership())
        "configuration" -> measureHeapCost()
        "messages" -> measureMessageCost()
        "decisions" -> measureDecisionCost()
        else -> measureFleetCost(directory, settleSeconds * MILLIS_PER_SECOND)
    }

    private fun membership() = Measurement(
        "Membership, simulated, for each VM, 72 changes a day",
        listOf("members", "bytes/s sent", "messages/s", "us/tick", "CPU % of core"),
        measureMembershipCost().map {
            listOf(it.members.toDouble(), it.bytesPerSecond, it.messagesPerSecond, it.microsPerTick, it.corePercent)
        },
    )
}
