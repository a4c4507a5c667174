/*
 * The root command: the options that all subcommands share, and the client of the administration API. Exit codes: 0
 * success, 1 wrong usage or settings, 2 refused by the system, 3 conflict with another operator, 4 system not
 * reachable.
 */
package org.lentilquay.cli

import com.github.ajalt.clikt.completion.CompletionCommand
import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.obj
import com.github.ajalt.clikt.core.requireObject
import com.github.ajalt.clikt.core.subcommands
import com.github.ajalt.clikt.parameters.options.default
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import kotlinx.serialization.json.Json

/** Exit codes of the tool other than 0. */
enum class ExitCode(val number: Int) { USAGE_ERROR(1), REFUSED(2), CONFLICT(3), UNREACHABLE(4) }

/** The context that the root command passes to its subcommands. [json] is whether to print JSON. */
class Session(val administration: AdministrationClient, val json: Boolean)

/** Indented JSON for the terminal and for files. */
val prettyJson: Json = Json {
    prettyPrint = true
    encodeDefaults = true
}

/** The root command. */
class LentilquayCommand : CliktCommand(name = "lentilquay") {
    private val address by option(
        "--address",
        envvar = "LENTILQUAY_ADDRESS",
        help = "Administration address of any VM, as ip:port",
    ).default("127.0.0.1:7080")
    private val token by option(
        "--token",
        envvar = "LENTILQUAY_TOKEN",
        help = "Operator token; prefer the environment variable to keep it out of the process list",
    )
    private val json by option("--json", help = "Print answers as JSON").flag()

    init {
        subcommands(CompletionCommand())
    }

    override fun help(context: Context): String = "Operates lentilquay, a serving layer for LoRA adapters."

    override fun run() {
        currentContext.obj = Session(AdministrationClient(address, token), json)
    }
}

/** The base of subcommands that call the administration API. */
abstract class AdministrationCommand(name: String, private val description: String) : CliktCommand(name = name) {
    protected val session: Session by requireObject<Session>()

    override fun help(context: Context): String = description

    /** Returns the value of a success; otherwise prints the error and exits with the matching code. */
    protected fun <T> AdministrationAnswer<T>.orExit(): T = when (this) {
        is AdministrationAnswer.Success -> value
        is AdministrationAnswer.Refused -> exit(
            if (code == "plan_conflict") ExitCode.CONFLICT else ExitCode.REFUSED,
            "$message ($code)",
        )
        is AdministrationAnswer.Unreachable -> exit(
            ExitCode.UNREACHABLE,
            "no answer from ${session.administration.address}: $reason; check --address or try another VM",
        )
    }

    /** Prints [message] to standard error and exits with [code]. */
    protected fun exit(code: ExitCode, message: String): Nothing {
        echo("lentilquay: $message", err = true)
        throw ProgramResult(code.number)
    }
}

/** A command without an action of its own that groups subcommands. */
class GroupCommand(name: String, private val description: String) : CliktCommand(name = name) {
    override fun help(context: Context): String = description
    override fun run() = Unit
}
