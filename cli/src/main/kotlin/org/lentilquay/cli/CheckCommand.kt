/*
 * `lentilquay check`: validates a settings file of the daemon in the same way as the daemon does at its start.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import org.lentilquay.daemon.settings.SettingsResult
import org.lentilquay.daemon.settings.readSettings

/** Validates a settings file without starting the daemon. */
class CheckCommand : CliktCommand(name = "check") {
    private val file by argument().path()

    override fun help(context: Context): String = "Validate a settings file; its secret must be readable"

    override fun run() = when (val read = readSettings(file)) {
        is SettingsResult.Read -> echo("$file: no faults")
        is SettingsResult.Invalid -> {
            read.errors.forEach { echo("$file: $it", err = true) }
            throw ProgramResult(ExitCode.USAGE_ERROR.number)
        }
    }
}
