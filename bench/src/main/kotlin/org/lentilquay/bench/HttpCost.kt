/*
 * Measures the CPU time that a VM spends on calls over HTTP: ownership claims to an engine, its load reports, reads
 * and writes of the table service. The stand-ins run as child processes, so that the CPU time of this process is that
 * of the client alone, including JIT compilation and garbage collection.
 */
package org.lentilquay.bench

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.VmId
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.engine.OrderResult
import org.lentilquay.transport.engine.ReportResult
import org.lentilquay.transport.platform.PlatformClient
import org.lentilquay.transport.platform.ReadResult
import org.lentilquay.transport.platform.TransactResult
import java.io.File
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.LongAdder

@Suppress("MagicNumber")
private val concurrencyLevels = listOf(1, 4, 16)
private const val WARM_UP_SECONDS = 4.0
private const val MEASURED_SECONDS = 5.0
private const val NANOS_PER_SECOND = 1e9
private const val MICROS_PER_SECOND = 1e6
private const val STOP_TIMEOUT_SECONDS = 3L
private const val TABLE_KEY = "bench/item"

/** Measures a claim, a load report, a table read and a table write. A failed call aborts the measurement. */
fun measureHttpCost(): List<Measurement> = StandInProcess("engine").use { engine ->
    StandInProcess("platform").use { platform -> measure(engine.address, platform.address) }
}

private fun measure(engine: String, platform: String): List<Measurement> = EngineClient().use { engines ->
    PlatformClient(platform, VmId("vm-bench")).use { table ->
        listOf(
            measureCall("HTTP claim, client side") { engines.claim(engine, fence = 1) is OrderResult.Done },
            measureCall("HTTP load report, client side") { engines.loadReport(engine) is ReportResult.Received },
            measureCall("HTTP table write, client side") {
                table.transact(listOf(TableOperation.Put(TABLE_KEY, "value"))) is TransactResult.Committed
            },
            measureCall("HTTP table read, client side") { table.item(TABLE_KEY) is ReadResult.Read },
        )
    }
}

private fun measureCall(title: String, call: suspend () -> Boolean): Measurement = runBlocking(Dispatchers.Default) {
    repeatCall(concurrencyLevels.last(), WARM_UP_SECONDS, call)
    Measurement(
        title,
        listOf("calls at once", "calls/s", "CPU us/call"),
        concurrencyLevels.map { listOf(it.toDouble()) + repeatCall(it, MEASURED_SECONDS, call) },
    )
}

/** Repeats [call]; returns calls a second, and microseconds of CPU time for each call. */
private suspend fun repeatCall(concurrency: Int, seconds: Double, call: suspend () -> Boolean): List<Double> {
    val calls = LongAdder()
    val pid = ProcessHandle.current().pid()
    val cpuBefore = cpuSeconds(pid)
    val start = System.nanoTime()
    val end = start + (seconds * NANOS_PER_SECOND).toLong()
    coroutineScope {
        repeat(concurrency) {
            launch {
                while (System.nanoTime() < end) {
                    check(call()) { "a measured call failed" }
                    calls.increment()
                }
            }
        }
    }
    val elapsed = (System.nanoTime() - start) / NANOS_PER_SECOND
    return listOf(calls.sum() / elapsed, MICROS_PER_SECOND * (cpuSeconds(pid) - cpuBefore) / calls.sum())
}

/** A stand-in of [kind] as a child process, which prints its address in a line that begins with `ready`. */
private class StandInProcess(kind: String) : AutoCloseable {
    private val process = ProcessBuilder(
        File(System.getProperty("java.home"), "bin/java").path,
        "-cp",
        System.getProperty("java.class.path"),
        "org.lentilquay.standins.MainKt",
        kind,
    ).redirectError(ProcessBuilder.Redirect.DISCARD).start()

    val address: String = process.inputReader().lineSequence().first { it.startsWith("ready ") }.substringAfterLast(' ')

    override fun close() {
        process.destroy()
        if (!process.waitFor(STOP_TIMEOUT_SECONDS, TimeUnit.SECONDS)) process.destroyForcibly().waitFor()
    }
}
