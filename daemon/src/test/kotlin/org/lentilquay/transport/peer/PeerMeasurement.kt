/*
 * Benchmark of calls between a peer client and a peer server and of orders to an engine, in one process over loopback.
 * Reports calls per second and the CPU time of the process per call, which includes both sides. Run the main function
 * with the test class path of the module.
 */
package org.lentilquay.transport.peer

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.lentilquay.daemon.metrics.processCpuNanos
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.engine.EngineOptions
import org.lentilquay.transport.engine.OrderResult
import org.lentilquay.transport.http.answering
import java.util.concurrent.atomic.LongAccumulator
import java.util.concurrent.atomic.LongAdder

private const val WARM_UP_SECONDS = 5.0
private const val MEASURED_SECONDS = 8.0
private val server = PeerIdentity(VmId("vm-2"), Incarnation(7))
private val adapter = AdapterVersion("stove-4711", 3)
private val reserve = PeerRequest.Reserve(
    requestId = "request-1234567890",
    server = ServerId("engine-3"),
    adapter = adapter,
    team = TeamId("stoves"),
    estimatedTokens = 700,
    priority = Priority.SHORT,
    waitMillis = 3_000,
    spillMillis = 250,
    fingerprint = "f".repeat(64),
)
private val granted = PeerAnswer.Granted(reserve.requestId, reserve.server, "10.20.3.4:8000", 17, adapter, false)

private class Figures(val callsPerSecond: Double, val cpuMicrosPerCall: Double, val longestMillis: Double)

private suspend fun measure(concurrency: Int, seconds: Double, call: suspend () -> Any): Figures {
    val calls = LongAdder()
    val longest = LongAccumulator(::maxOf, 0)
    val cpuBefore = processCpuNanos() ?: 0
    val started = System.nanoTime()
    val deadline = started + (seconds * 1e9).toLong()
    coroutineScope {
        repeat(concurrency) {
            launch {
                while (System.nanoTime() < deadline) {
                    val before = System.nanoTime()
                    val result = call()
                    check(result is PeerCallResult.Answered || result is OrderResult.Done) { "$result" }
                    longest.accumulate(System.nanoTime() - before)
                    calls.increment()
                }
            }
        }
    }
    val elapsed = (System.nanoTime() - started) / 1e9
    val cpuMicros = ((processCpuNanos() ?: 0) - cpuBefore) / 1e3
    return Figures(calls.sum() / elapsed, cpuMicros / calls.sum(), longest.get() / 1e6)
}

private suspend fun report(name: String, call: suspend () -> Any) {
    measure(16, WARM_UP_SECONDS, call)
    listOf(1, 16, 64).forEach { concurrency ->
        val figures = measure(concurrency, MEASURED_SECONDS, call)
        val line = "%s, %2d at once: %6.0f calls/s, %5.1f µs CPU per call, longest %.1f ms"
        println(line.format(name, concurrency, figures.callsPerSecond, figures.cpuMicrosPerCall, figures.longestMillis))
    }
}

fun main(): Unit = runBlocking(Dispatchers.Default) {
    val secret = secretOf("a fleet secret for tests")
    startPeerServer("127.0.0.1:0", server, secret, { _, _ -> granted }).use { running ->
        PeerClient(PeerIdentity(VmId("vm-1"), Incarnation(1)), secret).use { client ->
            report("peer") { client.call(server.vm, running.address, reserve, 5_000) }
        }
    }
    // The engine uses one thread per connection; its CPU time is included in the figures.
    answering(200, "{}", "X-Engine-Time-Ms: 5\n").use { engine ->
        EngineClient(EngineOptions(orderMillis = 10_000)).use { client ->
            report("claim") { client.claim(engine.address, 7) }
        }
    }
}
