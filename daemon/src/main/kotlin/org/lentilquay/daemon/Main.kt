/*
 * Entry point of the daemon: validates the settings, starts the daemon, and performs a planned stop on SIGTERM.
 */
package org.lentilquay.daemon

import com.github.ajalt.clikt.core.CliktCommand
import com.github.ajalt.clikt.core.Context
import com.github.ajalt.clikt.core.ProgramResult
import com.github.ajalt.clikt.core.main
import com.github.ajalt.clikt.parameters.options.flag
import com.github.ajalt.clikt.parameters.options.option
import com.github.ajalt.clikt.parameters.options.required
import com.github.ajalt.clikt.parameters.types.path
import kotlinx.coroutines.runBlocking
import org.lentilquay.daemon.logs.useLogFormat
import org.lentilquay.daemon.settings.SettingsResult
import org.lentilquay.daemon.settings.readSettings
import java.net.BindException

fun main(arguments: Array<String>) = DaemonCommand().main(arguments)

class DaemonCommand : CliktCommand(name = "lentilquayd") {
    private val settings by option("--settings", help = "Settings file, JSON with comments").path().required()
    private val check by option("--check", help = "Check the settings and exit").flag()

    override fun help(context: Context): String = "Runs one VM of lentilquay."

    override fun run() = when (val read = readSettings(settings)) {
        is SettingsResult.Invalid -> {
            read.errors.forEach { echo("$settings: $it", err = true) }
            throw ProgramResult(1)
        }
        is SettingsResult.Read -> if (check) echo("$settings: no faults") else serve(read)
    }

    private fun serve(read: SettingsResult.Read) {
        useLogFormat(read.settings.log.format)
        val daemon = Daemon(read.settings, read.fleetSecret)
        // Ktor's own shutdown hook would close the listeners while the planned stop still serves requests.
        System.setProperty("io.ktor.server.engine.ShutdownHook", "false")
        try {
            runBlocking { daemon.start() }
        } catch (fault: BindException) {
            echo("lentilquayd: ${fault.message}", err = true)
            throw ProgramResult(1)
        }
        Runtime.getRuntime().addShutdownHook(Thread { runBlocking { daemon.stop() } })
        Thread.currentThread().join()
    }
}
