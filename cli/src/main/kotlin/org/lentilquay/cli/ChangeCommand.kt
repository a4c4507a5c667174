/*
 * The base of all commands that change the configuration. Such a command requests a plan and prints it. The plan is
 * confirmed only after a `y` at the prompt or with `--yes`; with `--save` it is written to a file for
 * `lentilquay plan confirm`.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.types.path
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Plan
import org.lentilquay.state.ConfigurationChange
import kotlin.io.path.writeText

/** A command that requests a plan for one change and, if the operator agrees, confirms it. */
abstract class ChangeCommand(name: String, description: String) : AdministrationCommand(name, description) {
    private val yes by option("--yes", "-y", help = "Confirm the plan without asking").flag()
    private val save by option("--save", help = "Write the plan to this file and do not confirm it").path()

    /** The change to plan, from the command's arguments. */
    protected abstract fun change(): ConfigurationChange

    /** Called after the change was confirmed. */
    protected open fun afterConfirmation() = Unit

    override fun run() {
        val plan = session.administration.plan(change()).orExit()
        val target = save
        if (target != null) {
            target.writeText(prettyJson.encodeToString(plan))
            printPlan(plan)
            echo("saved; confirm it with: lentilquay plan confirm $target")
            return
        }
        if (!(session.json && yes)) printPlan(plan)
        if (yes || askForConfirmation()) confirm(plan)
    }

    private fun askForConfirmation(): Boolean {
        echo("Confirm this plan? [y/N] ", trailingNewline = false)
        val confirmed = readlnOrNull()?.trim()?.lowercase() in setOf("y", "yes")
        if (!confirmed) echo("not confirmed; nothing was changed")
        return confirmed
    }

    private fun confirm(plan: Plan) {
        printConfirmation(session.administration.confirm(plan).orExit())
        afterConfirmation()
    }
}

/** Prints [plan] as text, or as JSON if [json] is set. */
fun AdministrationCommand.printPlan(plan: Plan, json: Boolean = false) {
    if (json) return echo(prettyJson.encodeToString(plan))
    echo("plan ${plan.id} on revision ${plan.baseRevision} by ${plan.operator}")
    plan.effects.forEach { echo("  effect: $it") }
    plan.warnings.forEach { echo("  warning: $it") }
}

/** Prints [confirmation] as text, or as JSON if [json] is set. */
fun AdministrationCommand.printConfirmation(confirmation: Confirmation, json: Boolean = false) {
    if (json) return echo(prettyJson.encodeToString(confirmation))
    val note = if (confirmation.alreadyConfirmed) " (it was confirmed before)" else ""
    echo("confirmed as revision ${confirmation.revision}$note")
}
