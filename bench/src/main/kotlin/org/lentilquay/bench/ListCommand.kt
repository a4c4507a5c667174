/*
 * The command `list`, which lists the scenarios.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context

private const val TITLE_WIDTH = 24

internal class ListCommand : CliktCommand(name = "list") {
    override fun help(context: Context): String = "Lists the scenarios of `run`."

    override fun run() = Scenario.entries.forEach {
        val rate = number(it.deployment.workload.requestsPerSecond)
        echo("${it.title.padEnd(TITLE_WIDTH)}${it.summary} (${it.deployment.title}, $rate requests a second)")
    }
}
