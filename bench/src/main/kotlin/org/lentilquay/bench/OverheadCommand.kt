/*
 * The command `overhead`, which measures the latency and CPU time that a daemon adds to calls to an engine.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.choice
import com.github.ajalt.clikt.parameters.types.file
import com.github.ajalt.clikt.parameters.types.int
import com.github.ajalt.clikt.parameters.types.long
import com.github.ajalt.clikt.parameters.types.restrictTo
import kotlinx.serialization.json.Json
import java.io.File

private const val DEFAULT_SECONDS = 10
private const val MAXIMUM_SECONDS = 120
private val json = Json { prettyPrint = true }
private val loads = mapOf("short" to OverheadLoad.SHORT_ANSWERS, "long" to OverheadLoad.LONG_ANSWERS)

internal class OverheadCommand : CliktCommand(name = "overhead") {
    private val seconds by option("--seconds", help = "Time at each rate, for each path to the engine").int()
        .restrictTo(1..MAXIMUM_SECONDS).default(DEFAULT_SECONDS)
    private val seed by option("--seed", help = "Seed of the requests").long().default(1)
    private val only by option("--only", help = "Only short or only long answers").choice(loads)
    private val jsonFile by option("--json", help = "File for the figures as JSON").file()
    private val directory by option("--directory", help = "Directory for settings and logs of the daemon").file()
        .default(File("out/bench"))

    override fun help(context: Context): String =
        "Measures the latency and CPU time that a daemon adds to calls to an engine, at rising rates."

    override fun run() {
        val loadAtStart = loadAverage()
        val measurements = loads.values.filter { only == null || only == it }
            .map { load -> measureOverhead(load, seconds, seed, directory).also { echo(it.text()) } }
        val processors = Runtime.getRuntime().availableProcessors()
        val report =
            CapacityReport(System.getProperty("java.version"), processors, loadAtStart, loadAverage(), measurements)
        echo("seed $seed, load average ${number(loadAtStart)} to ${number(report.loadAverageAtEnd)}")
        jsonFile?.let { file ->
            file.absoluteFile.parentFile.mkdirs()
            file.writeText(json.encodeToString(CapacityReport.serializer(), report))
        }
    }
}
