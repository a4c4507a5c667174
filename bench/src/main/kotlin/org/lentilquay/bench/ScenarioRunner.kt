/*
 * Runs one scenario: starts the fleet, configures it by plans, waits until every engine is owned and serves requests,
 * sends the trace while the scenario's disturbance takes place, and samples the engines throughout.
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

private const val ADAPTERS_PER_PLAN = 500
private const val SAMPLE_INTERVAL_MILLIS = 250L

/** High enough for the baseline placement orders, which make one adapter load on several engines. */
private const val MAXIMUM_PROBES = 80
private const val PROBE_TOKENS = 4
private const val PROBE_PROMPT_BYTES = 30
private const val PROBE_INTERVAL_MILLIS = 400L

/** Probe requests use this many of the least popular adapters, which the trace rarely requests. */
private const val REQUIRED_SUCCESSES = 8

/** The warm-up sends half the rate of the trace, so that adapter slots are filled when the trace begins. */
private const val WARM_UP_SECONDS = 25

/** The measurements of a run. */
internal class RunRecord(
    val trace: List<TraceRequest>,
    val results: List<RequestResult>,
    val tokenGaps: org.HdrHistogram.Histogram,
    /** The warm-up requests, which fill the empty adapter slots; only the number of loads includes them. */
    val warmUp: List<RequestResult>,
    val beforeWarmUp: FleetCounters,
    val before: FleetCounters,
    val after: FleetCounters,
    val samples: List<EngineSample>,
    val events: List<RunEvent>,
    val seconds: Double,
    /** The indexes of the engines in the drained or lost domain. */
    val affectedEngines: List<Int>,
)

internal class ScenarioRunner(private val parameters: RunParameters, private val directory: File) {
    private val scenario = parameters.scenario
    private val workload = parameters.workload
    private val samples = CopyOnWriteArrayList<EngineSample>()

    @Volatile
    private var readyPorts: List<Int> = emptyList()

    fun run(reportProgress: (String) -> Unit): RunRecord = openFleet().use { fleet ->
        val operator = FleetOperator(fleet)
        operator.awaitReady()
        reportProgress("daemons ready")
        configure(fleet, operator)
        operator.awaitEnginesOwned()
        reportProgress("configuration applied, engines owned")
        readyPorts = fleet.vms.map { it.callersPort }
        LoadGenerator({ readyPorts }).use { generator ->
            runBlocking {
                awaitServing(generator)
                reportProgress("engines serve requests; filling adapter slots and token buckets, which start empty")
                measure(fleet, operator, generator)
            }
        }
    }

    private fun openFleet() = Fleet(scenario.fleet, directory, placement = parameters.placement)

    private fun configure(fleet: Fleet, operator: FleetOperator) {
        val limits = TeamLimits(workload)
        val teams = workload.teamFractions.indices.flatMap { team ->
            val id = TeamId("team-$team")
            listOf(
                ConfigurationChange.PutTeam(Team(id, limits.rates[team].toLong(), limits.bursts[team].toLong())),
                ConfigurationChange.GrantKey(CallerKey(KeyId("key-$team"), id, sha256Of(apiKeyOf(team)))),
            )
        }
        operator.applyChange(ConfigurationChange.Batch(fleet.serverChanges() + teams))
        val revision = (1..workload.adapters).chunked(ADAPTERS_PER_PLAN).map { chunk ->
            val changes = chunk.flatMap { adapter ->
                val name = adapterName(adapter)
                val route = Route(RouteId(routeName(adapter)), RouteTarget.AdapterTarget(name))
                listOf(
                    ConfigurationChange.PutAdapter(Adapter(name, "base", setOf(1), 1)),
                    ConfigurationChange.PutRoute(route),
                )
            }
            operator.applyChange(ConfigurationChange.Batch(changes))
        }.last()
        operator.awaitRevision(revision)
    }

    private suspend fun awaitServing(generator: LoadGenerator) {
        var consecutiveSuccesses = 0
        val errors = ArrayList<String>()
        repeat(MAXIMUM_PROBES) { number ->
            val adapter = workload.adapters - number % REQUIRED_SUCCESSES
            val probe = TraceRequest(-1 - number, 0, adapter, 0, false, PROBE_TOKENS, PROBE_PROMPT_BYTES, number)
            val error = generator.send(probe, System.nanoTime()).error
            consecutiveSuccesses = if (error == null) consecutiveSuccesses + 1 else 0
            error?.let(errors::add)
            if (consecutiveSuccesses == REQUIRED_SUCCESSES) return
            delay(PROBE_INTERVAL_MILLIS)
        }
        error("the fleet does not serve; errors of $MAXIMUM_PROBES probes: ${errors.groupingBy { it }.eachCount()}")
    }

    private suspend fun measure(fleet: Fleet, operator: FleetOperator, generator: LoadGenerator): RunRecord {
        val reader = FleetMonitor(fleet, operator)
        val beforeWarmUp = reader.counters()
        val warmUpTrace = generateTrace(workload.steady(rateFraction = 0.5), WARM_UP_SECONDS, parameters.seed + 1)
        val warmUp = generator.run(warmUpTrace, System.nanoTime())
        generator.tokenGaps.reset()
        val trace = generateTrace(workload, parameters.seconds, parameters.seed)
        val disturbances = DisturbanceRunner(scenario, parameters.seconds, fleet, operator, reader)
        val before = reader.counters()
        val start = System.nanoTime()
        val results = coroutineScope {
            val samplers = listOf(sampleEngines(reader, start), watchReadiness(fleet, operator))
            val disturbanceJob = launch(Dispatchers.IO) { disturbances.run(start) }
            generator.run(trace, start).also {
                disturbanceJob.join()
                samplers.forEach(Job::cancel)
            }
        }
        return RunRecord(
            trace = trace,
            results = results,
            tokenGaps = generator.tokenGaps,
            warmUp = warmUp,
            beforeWarmUp = beforeWarmUp,
            before = before,
            after = reader.counters(),
            samples = samples,
            events = disturbances.events,
            seconds = secondsSince(start),
            affectedEngines = disturbances.affectedEngines,
        )
    }

    private fun CoroutineScope.sampleEngines(reader: FleetMonitor, start: Long): Job = launch(Dispatchers.IO) {
        while (isActive) {
            samples += reader.sample(secondsSince(start))
            delay(SAMPLE_INTERVAL_MILLIS)
        }
    }

    /** Acts as the platform's load balancer, which sends requests only to VMs that report readiness. */
    private fun CoroutineScope.watchReadiness(fleet: Fleet, operator: FleetOperator): Job = launch(Dispatchers.IO) {
        while (isActive) {
            readyPorts = fleet.vms.filter(operator::isReady).map { it.callersPort }
            delay(SAMPLE_INTERVAL_MILLIS)
        }
    }
}
