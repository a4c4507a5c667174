/*
 * Runs one scenario: starts the fleet, configures it by plans, waits until every engine is owned and warm, sends the
 * trace, disturbs the fleet as the scenario says, and takes readings all the time.
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
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.state.Adapter
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.KeyId
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import java.io.File
import java.util.concurrent.CopyOnWriteArrayList

private const val ADAPTERS_IN_PLAN = 500
private const val SAMPLE_MILLIS = 250L

/** Enough for baselines of placement, with which probes for one adapter need a load on several engines. */
private const val PROBES = 80
private const val PROBE_TOKENS = 4
private const val PROBE_BYTES = 30
private const val PROBE_PAUSE_MILLIS = 400L

/** Probing requests use the least popular adapters, of which the trace needs few. */
private const val PROBES_IN_A_ROW = 8

/** Fills the slots at half the rate of the trace, so that the trace does not begin with a load for every request. */
private const val WARM_UP_SECONDS = 25

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
    /** The places, among the engines, of those in the domain that left. */
    val leavingEngines: List<Int>,
)

internal class ScenarioRun(private val setting: RunSetting, private val directory: File) {
    private val scenario = setting.scenario
    private val workload = setting.workload
    private val samples = CopyOnWriteArrayList<Sample>()

    @Volatile
    private var readyPorts: List<Int> = emptyList()

    fun run(say: (String) -> Unit): RunRecord = openFleet().use { fleet ->
        val operator = FleetOperator(fleet)
        operator.awaitReady()
        say("daemons ready")
        configure(fleet, operator)
        operator.awaitOwned()
        say("configuration in force, engines owned")
        readyPorts = fleet.vms.map { it.callersPort }
        LoadGenerator({ readyPorts }).use { generator ->
            runBlocking {
                awaitService(generator)
                say("engines warm; filling their slots and the teams' buckets, which start empty")
                measure(fleet, operator, generator)
            }
        }
    }

    private fun openFleet() = Fleet(scenario.fleet, directory, placement = setting.placement)

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
                val name = adapterName(adapter)
                val route = Route(RouteId(routeName(adapter)), RouteTarget.AdapterTarget(name))
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
        val errors = ArrayList<String>()
        repeat(PROBES) { number ->
            val adapter = workload.adapters - number % PROBES_IN_A_ROW
            val probe = TraceRequest(-1 - number, 0, adapter, 0, false, PROBE_TOKENS, PROBE_BYTES, number)
            val error = generator.send(probe, System.nanoTime()).error
            inARow = if (error == null) inARow + 1 else 0
            error?.let(errors::add)
            if (inARow == PROBES_IN_A_ROW) return
            delay(PROBE_PAUSE_MILLIS)
        }
        error("the fleet does not serve: of $PROBES probing requests failed ${errors.groupingBy { it }.eachCount()}")
    }

    private suspend fun measure(fleet: Fleet, operator: FleetOperator, generator: LoadGenerator): RunRecord {
        val reader = FleetReader(fleet, operator)
        val beforeWarmUp = reader.counters()
        val warmUpTrace = traceOf(workload.usual(part = 0.5), WARM_UP_SECONDS, setting.seed + 1)
        val warmUp = generator.run(warmUpTrace, System.nanoTime())
        generator.gaps.reset()
        val trace = traceOf(workload, setting.seconds, setting.seed)
        val disturbances = Disturbances(scenario, setting.seconds, fleet, operator, reader)
        val before = reader.counters()
        val start = System.nanoTime()
        val results = coroutineScope {
            val watching = listOf(watchEngines(reader, start), watchReadiness(fleet, operator))
            val acts = launch(Dispatchers.IO) { disturbances.run(start) }
            generator.run(trace, start).also {
                acts.join()
                watching.forEach(Job::cancel)
            }
        }
        return RunRecord(
            trace = trace,
            results = results,
            gaps = generator.gaps,
            warmUp = warmUp,
            beforeWarmUp = beforeWarmUp,
            before = before,
            after = reader.counters(),
            samples = samples,
            events = disturbances.events,
            seconds = secondsSince(start),
            leavingEngines = disturbances.leavingEngines,
        )
    }

    private fun CoroutineScope.watchEngines(reader: FleetReader, start: Long): Job = launch(Dispatchers.IO) {
        while (isActive) {
            samples += reader.sample(secondsSince(start))
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
}
