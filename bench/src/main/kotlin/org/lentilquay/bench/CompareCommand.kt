/*
 * The command `compare`, which prints reports of several runs side by side.
 */
package org.lentilquay.bench

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.CliktError
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.arguments.multiple
import com.github.ajalt.clikt.parameters.types.file
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import java.io.File

internal class CompareCommand : CliktCommand(name = "compare") {
    private val files by argument("FILE", help = "Reports that `run --json` wrote")
        .file(mustExist = true, canBeDir = false).multiple(required = true)

    override fun help(context: Context): String =
        "Prints reports side by side. Runs of a scenario that differ only in the seed share a column."

    override fun run() = echo(comparisonTable(groupReports(files.map(::read))))

    private fun read(file: File): NamedReport = try {
        NamedReport(file.name, Json.decodeFromString(file.readText()))
    } catch (failure: SerializationException) {
        throw CliktError("$file is no run report of this version: ${failure.message?.lineSequence()?.first()}", failure)
    }
}
