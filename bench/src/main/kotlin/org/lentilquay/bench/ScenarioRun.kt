/*
 * Runs one scenario: starts the fleet, configures it by plans, waits until every engine is owned and warm, sends the
 * trace, drains and returns a failure domain if the scenario says so, and takes readings all the time.
 */
package org.lentilquay.bench

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.protocol.LoadReport
import org.lentilquay.state.Adapter
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.DomainId
import org.lentilquay.state.DomainState
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.Target
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.io.File
import java.util.concurrent.CopyOnWriteArrayList

private const val ADAPTERS_IN_PLAN = 500
private const val SAMPLE_MILLIS = 250L
private const val NANOS_PER_SECOND = 1e9
private const val MILLIS_PER_SECOND = 1_000L
private const val PROBES = 30
private const val PROBE_TOKENS = 4
private const val PROBE_BYTES = 30
private const val PROBE_PAUSE_MILLIS = 400L

/** Probing requests use the least popular adapters, of which the trace needs few. */
private const val PROBES_IN_A_ROW = 8

/** Fills the slots at half the rate of the trace, so that the trace does not begin with a load for every request. */
private const val WARM_UP_SECONDS = 25

/** An operator's act at [seconds] from the start of the trace. */
internal class Event(val name: String, val seconds: Double)

/** Counters of all parts at one time. */
internal class Counters(
    val metrics: Map<String, Double>,
    val engines: Map<String, Long>,
    val platform: Map<String, Long>,
)

/** One look at the engines, [seconds] from the start of the trace. */
internal class Sample(val seconds: Double, val running: List<Int>, val accepted: List<Long>)

/** Everything that a run measured. */
internal class RunRecord(
    val trace: List<TraceRequest>,
    val results: List<RequestResult>,
    val gaps: org.HdrHistogram.Histogram,
    /** The requests that filled the empty slots before the trace; only the count of loads includes them. */
    val warmUp: List<RequestResult>,
    val beforeWarmUp: Counters,
    val before: Counters,
    val after: Counters,
    val samples: List<Sample>,
    val events: List<Event>,
    val seconds: Double,
    /** The places, among the engines, of those in the drained domain. */
    val drainedEngines: List<Int>,
)

internal class ScenarioRun(
    private val scenario: Scenario,
    private val workload: Workload,
    private val seconds: Int,
    private val seed: Long,
    private val directory: File,
) {
    private val json = Json { ignoreUnknownKeys = true }
    private val samples = CopyOnWriteArrayList<Sample>()
    private val events = CopyOnWriteArrayList<Event>()

    @Volatile
    private var readyPorts: List<Int> = emptyList()

    fun run(say: (String) -> Unit): RunRecord = Fleet(scenario.fleet, directory).use { fleet ->
        val operator = FleetOperator(fleet)
        operator.awaitReady()
        say("daemons ready")
        configure(fleet, operator)
        operator.awaitOwned()
        say("configuration in force, engines owned")
        readyPorts = fleet.vms.map { it.callersPort }
        LoadGenerator { readyPorts }.use { generator ->
            runBlocking {
                awaitService(generator)
                say("engines warm; filling their slots and the teams' buckets, which start empty")
                measure(fleet, operator, generator)
            }
        }
    }

    private fun configure(fleet: Fleet, operator: FleetOperator) {
        val limits = TeamLimits(workload)
        val teams = workload.teamShares.indices.flatMap { team ->
            val id = TeamId("team-$team")
            listOf(
                ConfigurationChange.PutTeam(Team(id, limits.rates[team].toLong(), limits.bursts[team].toLong())),
                ConfigurationChange.GrantKey(CallerKey(KeyId("key-$team"), id, sha256Of(keyText(team)))),
            )
        }
        operator.change(ConfigurationChange.Batch(fleet.serverChanges() + teams))
        val revision = (1..workload.adapters).chunked(ADAPTERS_IN_PLAN).map { part ->
            val changes = part.flatMap { adapter ->
                val name = "adapter-$adapter"
                val route = Route(RouteId(routeName(adapter)), Target.AdapterTarget(name))
                listOf(
                    ConfigurationChange.PutAdapter(Adapter(name, "base", setOf(1), 1)),
                    ConfigurationChange.PutRoute(route),
                )
            }
            operator.change(ConfigurationChange.Batch(changes))
        }.last()
        operator.awaitRevision(revision)
    }

    private suspend fun awaitService(generator: LoadGenerator) {
        var inARow = 0
        var last: RequestResult? = null
        repeat(PROBES) { number ->
            val adapter = workload.adapters - number % PROBES_IN_A_ROW
            val probe = TraceRequest(-1 - number, 0, adapter, 0, false, PROBE_TOKENS, PROBE_BYTES, number)
            last = generator.send(probe, System.nanoTime())
            if (last?.error == null) inARow++ else inARow = 0
            if (inARow == PROBES_IN_A_ROW) return
            delay(PROBE_PAUSE_MILLIS)
        }
        error("the fleet does not serve: the last of $PROBES probing requests ended with ${last?.error}")
    }

    private suspend fun measure(fleet: Fleet, operator: FleetOperator, generator: LoadGenerator): RunRecord {
        val beforeWarmUp = read(fleet, operator)
        val slower = workload.copy(requestsPerSecond = workload.requestsPerSecond / 2)
        val warmUp = generator.run(traceOf(slower, WARM_UP_SECONDS, seed + 1), System.nanoTime())
        generator.gaps.reset()
        val trace = traceOf(workload, seconds, seed)
        val before = read(fleet, operator)
        val start = System.nanoTime()
        val results = coroutineScope {
            val watching = listOf(watchEngines(fleet, operator, start), watchReadiness(fleet, operator))
            val acts = launch(Dispatchers.IO) { if (scenario.drainsDomain) drainAndReturn(operator, start) }
            generator.run(trace, start).also {
                acts.join()
                watching.forEach(Job::cancel)
            }
        }
        val elapsed = secondsSince(start)
        val drained = fleet.engines.indices.filter { scenario.drainsDomain && fleet.domainOf(it) == DRAINED_DOMAIN }
        return RunRecord(
            trace = trace,
            results = results,
            gaps = generator.gaps,
            warmUp = warmUp,
            beforeWarmUp = beforeWarmUp,
            before = before,
            after = read(fleet, operator),
            samples = samples,
            events = events,
            seconds = elapsed,
            drainedEngines = drained,
        )
    }

    private suspend fun drainAndReturn(operator: FleetOperator, start: Long) {
        val domain = DomainId(DRAINED_DOMAIN)
        delay(seconds * MILLIS_PER_SECOND / EVENT_PARTS)
        operator.change(ConfigurationChange.SetDomainState(domain, DomainState.DRAINED))
        events += Event("drain confirmed", secondsSince(start))
        delay(seconds * MILLIS_PER_SECOND / EVENT_PARTS)
        events += Event("return requested", secondsSince(start))
        operator.change(ConfigurationChange.SetDomainState(domain, DomainState.SERVING))
    }

    private fun CoroutineScope.watchEngines(fleet: Fleet, operator: FleetOperator, start: Long): Job =
        launch(Dispatchers.IO) {
            while (isActive) {
                val running = fleet.engines.map { engine ->
                    val report = json.decodeFromString<LoadReport>(
                        operator.get("http://127.0.0.1:${engine.port}/load").body(),
                    )
                    report.running.values.sum()
                }
                val accepted = fleet.engines.map { operator.counters(it.port)["accepted"] ?: 0 }
                samples += Sample(secondsSince(start), running, accepted)
                delay(SAMPLE_MILLIS)
            }
        }

    /** Acts as the platform's balancer, which sends callers only to VMs that say that they are ready. */
    private fun CoroutineScope.watchReadiness(fleet: Fleet, operator: FleetOperator): Job = launch(Dispatchers.IO) {
        while (isActive) {
            readyPorts = fleet.vms.filter(operator::isReady).map { it.callersPort }
            delay(SAMPLE_MILLIS)
        }
    }

    private fun read(fleet: Fleet, operator: FleetOperator): Counters = Counters(
        sum(fleet.vms.map(operator::metrics)) { first, second -> first + second },
        sum(fleet.engines.map { operator.counters(it.port) }) { first, second -> first + second },
        fleet.platform.counters(),
    )

    private companion object {
        const val EVENT_PARTS = 3
    }
}

private fun secondsSince(start: Long): Double = (System.nanoTime() - start) / NANOS_PER_SECOND

private fun <T : Any> sum(maps: List<Map<String, T>>, add: (T, T) -> T): Map<String, T> =
    HashMap<String, T>().apply { maps.forEach { map -> map.forEach { (name, value) -> merge(name, value, add) } } }
