/*
 * One daemon of a fleet as a process of its own. It can be killed without notice and started again under its name.
 */
package org.lentilquay.bench

import org.lentilquay.protocol.ListedVm
import java.io.File
import java.util.concurrent.TimeUnit

private const val FLEET_SECRET = "bench-fleet-secret-0123456789"
private const val STOP_SECONDS = 3L

/** The environment variable from which the daemons take the secret of the fleet. */
internal const val SECRET_VARIABLE = "LENTILQUAY_FLEET_SECRET"

/** One running daemon, whose log is beside its [settings]. */
class RunningVm internal constructor(
    /** The entry on the platform's list. */
    internal val entry: ListedVm,
    val callersPort: Int,
    val administrationPort: Int,
    private val settings: File,
) {
    val name: String get() = entry.id
    private val log = File(settings.parentFile, "${entry.id}.log").also { it.delete() }

    @Volatile
    private var process: Process = start()

    val pid: Long get() = process.pid()
    val isAlive: Boolean get() = process.isAlive

    /** Ends the process without notice. */
    internal fun kill() {
        process.destroyForcibly().waitFor()
    }

    internal fun restart() {
        process = start()
    }

    internal fun stop() {
        process.destroy()
    }

    internal fun awaitEnd() {
        if (!process.waitFor(STOP_SECONDS, TimeUnit.SECONDS)) kill()
    }

    private fun start(): Process {
        val java = File(System.getProperty("java.home"), "bin/java").path
        val builder = ProcessBuilder(
            java,
            "-cp",
            System.getProperty("java.class.path"),
            "-Xmx192m",
            "-XX:+UseSerialGC",
            "org.lentilquay.daemon.MainKt",
            "--settings",
            settings.path,
        )
        builder.environment()[SECRET_VARIABLE] = FLEET_SECRET
        return builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log)).start()
    }
}
