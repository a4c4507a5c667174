/*
 * The command `run`, which runs a scenario and writes its report as text, as JSON and as a chart.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.double
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.Json
import org.lentilquay.daemon.settings.PlacementOrder
import java.io.File

private const val DEFAULT_SECONDS = 60
private const val MAXIMUM_SECONDS = 1_800
private const val MINIMUM_RATE = 0.1
private const val MAXIMUM_RATE = 200.0
private val json = Json { prettyPrint = true }

internal class RunCommand : CliktCommand(name = "run") {
    private val scenario by argument("NAME").choice(Scenario.entries.associateBy { it.title })
    private val seconds by option("--seconds", help = "Length of the trace").int().restrictTo(1..MAXIMUM_SECONDS)
        .default(DEFAULT_SECONDS)
    private val seed by option("--seed", help = "Seed of the trace").long().default(1)
    private val rate by option("--rate", help = "Base rate in requests a second; the deployment's by default").double()
        .restrictTo(MINIMUM_RATE..MAXIMUM_RATE)
    private val placement by option("--placement", help = "How the daemons distribute requests over engines")
        .choice(PlacementOrder.entries.associateBy { it.label }).default(PlacementOrder.HOME_FIRST)
    private val label by option("--label", help = "Label of the version under test; `compare` groups by it").default("")
    private val jsonFile by option("--json", help = "File for the report as JSON; the chart goes beside it").file()
    private val directory by option("--directory", help = "Directory for settings and logs of the daemons").file()
        .default(File("out/bench"))

    override fun help(context: Context): String = "Runs a scenario against a fleet on this machine."

    override fun run() {
        val workload = scenario.workload(rate)
        val parameters = RunParameters(scenario, workload, seconds, seed, placement, label, loadAverage())
        val record = ScenarioRunner(parameters, File(directory, scenario.title))
            .run { echo(it, err = true) }
        val report = buildReport(parameters, record)
        echo(report.text())
        jsonFile?.let { file ->
            file.absoluteFile.parentFile.mkdirs()
            file.writeText(json.encodeToString(RunReport.serializer(), report))
            File("${file.path.removeSuffix(".json")}.svg").writeText(chartOf(report))
        }
    }
}
