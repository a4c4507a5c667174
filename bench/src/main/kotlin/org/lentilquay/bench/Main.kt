/*
 * The command line of the benchmark tool.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.NoOpCliktCommand
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

fun main(arguments: Array<String>) =
    BenchCommand()
        .subcommands(ListCommand(), RunCommand(), CompareCommand(), OverheadCommand(), CapacityCommand())
        .main(arguments)

private class BenchCommand : NoOpCliktCommand(name = "bench") {
    override fun help(context: Context): String = "Measures lentilquay on this machine, over the loopback address only."
}
