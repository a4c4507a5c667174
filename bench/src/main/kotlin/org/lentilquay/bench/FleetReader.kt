/*
 * Reads the counters of all parts of a fleet. What a process or a stand-in counted before it vanished is kept, because
 * its successor counts from 0.
 */
package org.lentilquay.bench

import kotlinx.serialization.json.Json
import org.lentilquay.protocol.LoadReport
import java.io.IOException

/** Counters of all parts at one time. */
internal class Counters(
    val metrics: Map<String, Double>,
    val engines: Map<String, Long>,
    val platform: Map<String, Long>,
)

/** One look at the engines, [seconds] from the start of the trace; an engine that does not answer runs nothing. */
internal class Sample(val seconds: Double, val running: List<Int>, val accepted: List<Long>)

internal class FleetReader(private val fleet: Fleet, private val operator: FleetOperator) {
    private val json = Json { ignoreUnknownKeys = true }

    @Volatile
    private var lostVms: List<Map<String, Double>> = emptyList()

    @Volatile
    private var lostEngines: List<Pair<Int, Map<String, Long>>> = emptyList()

    fun counters(): Counters = Counters(
        sum(lostVms + fleet.vms.mapNotNull { attempt { operator.metrics(it) } }) { first, second -> first + second },
        sum(lostEngines.map { it.second } + fleet.engines.mapNotNull(::counters)) { first, second -> first + second },
        fleet.platform.counters(),
    )

    fun sample(seconds: Double): Sample = Sample(
        seconds,
        fleet.engines.map { engine -> attempt { report(engine).running.values.sum() } ?: 0 },
        fleet.engines.map { engine ->
            lostEngines.filter { it.first == engine.port }.sumOf { accepted(it.second) } + accepted(counters(engine))
        },
    )

    /** Keeps what [vms] and [engines] have counted; they are about to vanish. */
    fun keep(vms: List<RunningVm>, engines: List<RunningStandIn>) {
        lostVms = lostVms + vms.map(operator::metrics)
        lostEngines = lostEngines + engines.map { it.port to operator.counters(it.port) }
    }

    private fun accepted(counters: Map<String, Long>?): Long = counters?.get("accepted") ?: 0

    private fun counters(engine: RunningStandIn): Map<String, Long>? = attempt { operator.counters(engine.port) }

    private fun report(engine: RunningStandIn): LoadReport =
        json.decodeFromString(operator.get("http://127.0.0.1:${engine.port}/load").body())

    private fun <T : Any> attempt(read: () -> T): T? = try {
        read()
    } catch (_: IOException) {
        null
    }
}

private fun <T : Any> sum(maps: List<Map<String, T>>, add: (T, T) -> T): Map<String, T> =
    HashMap<String, T>().apply { maps.forEach { map -> map.forEach { (name, value) -> merge(name, value, add) } } }
