/*
 * The `lentilquay` command-line tool: plans and confirms configuration changes, and shows status and the audit trail,
 * through the administration API of any VM.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.core.subcommands

fun main(arguments: Array<String>) = lentilquayCommand().main(arguments)

/** Creates the command tree. */
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
