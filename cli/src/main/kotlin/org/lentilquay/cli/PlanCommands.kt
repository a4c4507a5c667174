/*
 * Commands on saved plans, and `apply`, which makes one plan from a file of changes.
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

/** JSON as people write it: comments and trailing commas are allowed. */
private val fileJson = Json {
    allowComments = true
    allowTrailingComma = true
}

class ApplyCommand : IntentCommand("apply", "Make one plan from a JSON file with a list of changes") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun change(): ConfigurationChange = try {
        ConfigurationChange.Batch(fileJson.decodeFromString<List<ConfigurationChange>>(file.readText()))
    } catch (fault: SerializationException) {
        exit(ExitCode.WRONG_USE, "$file is not a list of changes: ${fault.message}")
    }
}

class PlanCommand : CliktCommand(name = "plan") {
    override fun help(context: Context): String = "Saved plans"
    override fun run() = Unit
}

class ShowPlanCommand : AdministrationCommand("show", "Show a saved plan") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun run() = printPlan(readPlan(file), session.json)
}

class ConfirmPlanCommand : AdministrationCommand("confirm", "Put a saved plan in force") {
    private val file by argument().path(mustExist = true, canBeDir = false)

    override fun run() =
        printConfirmation(session.administration.confirm(readPlan(file)).orExit(), session.json)
}

private fun AdministrationCommand.readPlan(file: Path): Plan = try {
    fileJson.decodeFromString(file.readText())
} catch (fault: SerializationException) {
    echo("lentilquay: $file is not a saved plan: ${fault.message}", err = true)
    throw com.github.ajalt.clikt.core.ProgramResult(ExitCode.WRONG_USE.number)
}
