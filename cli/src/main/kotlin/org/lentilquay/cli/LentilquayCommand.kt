/*
 * The root command: options that every subcommand shares, and the connection to the administration API. Exit codes: 0
 * done, 1 wrong use or settings, 2 refused by the system, 3 conflict with another operator, 4 system not reachable.
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

/** Exit codes of the tool. */
enum class ExitCode(val number: Int) { WRONG_USE(1), REFUSED(2), CONFLICT(3), UNREACHABLE(4) }

/** What subcommands need from the root command. */
class Session(val administration: AdministrationClient, val json: Boolean)

/** Pretty JSON for people and files. */
val prettyJson: Json = Json {
    prettyPrint = true
    encodeDefaults = true
}

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

/** A subcommand that talks to the administration API. */
abstract class AdministrationCommand(name: String, private val description: String) : CliktCommand(name = name) {
    protected val session: Session by requireObject<Session>()

    override fun help(context: Context): String = description

    /** Unwraps an answer, or prints what went wrong and ends with the matching exit code. */
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

    protected fun exit(code: ExitCode, message: String): Nothing {
        echo("lentilquay: $message", err = true)
        throw ProgramResult(code.number)
    }
}

/** A command that only groups others. */
class GroupCommand(name: String, private val description: String) : CliktCommand(name = name) {
    override fun help(context: Context): String = description
    override fun run() = Unit
}
