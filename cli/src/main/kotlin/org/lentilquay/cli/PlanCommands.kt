/*
 * Commands on saved plans, and `apply`, which requests one plan for all changes in a file.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.parameters.arguments.argument
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.Plan
import org.lentilquay.state.ConfigurationChange
import java.nio.file.Path
import kotlin.io.path.readText

/** JSON for files that people edit: comments and trailing commas are allowed. */
private val fileJson = Json {
    allowComments = true
    allowTrailingComma = true
}

class ApplyCommand : ChangeCommand("apply", "Request one plan for the changes that a JSON file lists") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun change(): ConfigurationChange = try {
        ConfigurationChange.Batch(fileJson.decodeFromString<List<ConfigurationChange>>(file.readText()))
    } catch (error: SerializationException) {
        exit(ExitCode.USAGE_ERROR, "$file is not a list of changes: ${error.message}")
    }
}

class PlanCommand : CliktCommand(name = "plan") {
    override fun help(context: Context): String = "Show and confirm saved plans"
    override fun run() = Unit
}

class ShowPlanCommand : AdministrationCommand("show", "Show a saved plan") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun run() = printPlan(readPlan(file), session.json)
}

class ConfirmPlanCommand : AdministrationCommand("confirm", "Confirm a saved plan") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun run() =
        printConfirmation(session.administration.confirm(readPlan(file)).orExit(), session.json)
}

private fun AdministrationCommand.readPlan(file: Path): Plan = try {
    fileJson.decodeFromString(file.readText())
} catch (error: SerializationException) {
    echo("lentilquay: $file is not a saved plan: ${error.message}", err = true)
    throw com.github.ajalt.clikt.core.ProgramResult(ExitCode.USAGE_ERROR.number)
}
