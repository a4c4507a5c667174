/*
 * Reads the counters of the daemons, the engines and the platform. Counters of a process or stand-in are retained
 * before it is stopped, because they restart from 0.
 */
package org.lentilquay.bench

import kotlinx.serialization.json.Json
import org.lentilquay.protocol.LoadReport
import java.io.IOException

/** Counters at one time; [metrics] are summed over the VMs, [engines] over the engines. */
internal class FleetCounters(
    val metrics: Map<String, Double>,
    val engines: Map<String, Long>,
    val platform: Map<String, Long>,
)

/**
 * Running and accepted requests of each engine, [seconds] from the start of the trace. An engine that does not answer
 * counts as running none.
 */
internal class EngineSample(val seconds: Double, val running: List<Int>, val accepted: List<Long>)

internal class FleetMonitor(private val fleet: Fleet, private val operator: FleetOperator) {
    private val json = Json { ignoreUnknownKeys = true }

    @Volatile
    private var retainedVmMetrics: List<Map<String, Double>> = emptyList()

    @Volatile
    private var retainedEngineCounters: List<Pair<Int, Map<String, Long>>> = emptyList()

    fun counters(): FleetCounters = FleetCounters(
        sum(retainedVmMetrics + fleet.vms.mapNotNull { orNullOnFailure { operator.metrics(it) } }) { first, second ->
            first + second
        },
        sum(retainedEngineCounters.map { it.second } + fleet.engines.mapNotNull(::counters)) { first, second ->
            first + second
        },
        fleet.platform.counters(),
    )

    fun sample(seconds: Double): EngineSample = EngineSample(
        seconds,
        fleet.engines.map { engine -> orNullOnFailure { report(engine).running.values.sum() } ?: 0 },
        fleet.engines.map { engine ->
            retainedEngineCounters.filter { it.first == engine.port }.sumOf { accepted(it.second) } +
                accepted(counters(engine))
        },
    )

    /** Retains the counters of [vms] and [engines], which are about to be stopped. */
    fun retainCounters(vms: List<DaemonProcess>, engines: List<RestartableStandIn>) {
        retainedVmMetrics = retainedVmMetrics + vms.map(operator::metrics)
        retainedEngineCounters = retainedEngineCounters + engines.map { it.port to operator.counters(it.port) }
    }

    private fun accepted(counters: Map<String, Long>?): Long = counters?.get("accepted") ?: 0

    private fun counters(engine: RestartableStandIn): Map<String, Long>? =
        orNullOnFailure { operator.counters(engine.port) }

    private fun report(engine: RestartableStandIn): LoadReport =
        json.decodeFromString(operator.get("http://127.0.0.1:${engine.port}/load").body())

    private fun <T : Any> orNullOnFailure(read: () -> T): T? = try {
        read()
    } catch (_: IOException) {
        null
    }
}

private fun <T : Any> sum(maps: List<Map<String, T>>, add: (T, T) -> T): Map<String, T> =
    HashMap<String, T>().apply { maps.forEach { map -> map.forEach { (name, value) -> merge(name, value, add) } } }
