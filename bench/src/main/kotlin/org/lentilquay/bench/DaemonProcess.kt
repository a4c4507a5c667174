/*
 * One daemon of a fleet as a child process, which can be killed and restarted under the same VM id.
 */
package org.lentilquay.bench

import org.lentilquay.protocol.ListedVm
import java.io.File
import java.util.concurrent.TimeUnit

private const val FLEET_SECRET = "bench-fleet-secret-0123456789"
private const val STOP_TIMEOUT_SECONDS = 3L

/** The environment variable from which the daemons read the fleet secret. */
internal const val SECRET_VARIABLE = "LENTILQUAY_FLEET_SECRET"

/** A daemon process; its log is in the directory of [settings]. */
class DaemonProcess internal constructor(
    /** The entry of this VM in the platform's VM list. */
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

    /** Kills the process without a graceful shutdown. */
    internal fun kill() {
        process.destroyForcibly().waitFor()
    }

    internal fun restart() {
        process = start()
    }

    internal fun stop() {
        process.destroy()
    }

    /** Waits for the end after [stop]; kills the process after [STOP_TIMEOUT_SECONDS]. */
    internal fun awaitEnd() {
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) kill()
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
