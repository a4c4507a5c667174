/*
 * The `lentilquay` command-line tool: states intents, shows and confirms plans, and reads status and the audit trail
 * over the administration API of any VM.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

fun main(arguments: Array<String>) = lentilquayCommand().main(arguments)

/** Builds the whole command tree. */
fun lentilquayCommand(): LentilquayCommand = LentilquayCommand().subcommands(
    teamCommand(),
    keyCommand(),
    adapterCommand(),
    routeCommand(),
    serverCommand(),
    domainCommand(),
    ApplyCommand(),
    PlanCommand().subcommands(ShowPlanCommand(), ConfirmPlanCommand()),
    StatusCommand(),
    AuditCommand(),
    ConfigurationCommand(),
    ExplainCommand(),
    CheckCommand(),
)
