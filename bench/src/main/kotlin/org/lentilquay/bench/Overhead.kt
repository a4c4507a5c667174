/*
 * Measures the overhead of a daemon on calls to an engine: the time to the first token in addition to that of a direct
 * call, and the daemon's CPU time for each request and each relayed token. Direct calls and calls through the daemon
 * alternate, so that other work on the machine affects both. Added times are differences
 * of percentiles, not percentiles of differences. Times are milliseconds unless a name says otherwise.
 */
package org.lentilquay.bench

import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import org.HdrHistogram.Histogram
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.standins.EngineOptions
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

private const val ADAPTERS = 4
private const val TEAM_TOKENS = 1_000_000_000L
private const val ALTERNATIONS = 2
private const val WARM_UP_RATE = 200.0
private const val WARM_UP_SECONDS = 10
private const val ATTEMPTS = 50
private const val ATTEMPT_INTERVAL_MILLIS = 400L
private const val PAUSE_MILLIS = 500L
private const val MICROS_PER_SECOND = 1e6
private const val PERCENT = 100.0

/**
 * A rate is sustained if at least this ratio of the requests gets a complete answer and the median first token is at
 * most [MAXIMUM_ADDED_MILLIS] later than with direct calls. Above that a queue grows for as long as the run lasts.
 */
private const val MINIMUM_ANSWERED_RATIO = 0.99
private const val MAXIMUM_ADDED_MILLIS = 100.0

/** The requests at each of [rates] a second: answers of [tokens] tokens, one every [tokenMillis] ms. */
internal enum class OverheadLoad(val title: String, val tokens: Int, val tokenMillis: Double, val rates: List<Double>) {
    SHORT_ANSWERS(
        "Added time to the first token, answers of 4 tokens",
        4,
        1.0,
        listOf(100.0, 500.0, 1_000.0, 1_500.0, 2_000.0, 3_000.0, 4_000.0, 6_000.0),
    ),
    LONG_ANSWERS(
        "Relayed tokens, answers of 200 tokens every 20 ms",
        200,
        20.0,
        listOf(25.0, 50.0, 100.0, 200.0, 300.0, 400.0),
    ),
}

/** Results of the requests on one path to the engine, direct or through the daemon. */
private class CallPath(private val generator: LoadGenerator) {
    private val results = ArrayList<RequestResult>()
    var cpuSeconds = 0.0
        private set
    var elapsedSeconds = 0.0
        private set
    val tokenGaps: Histogram get() = generator.tokenGaps

    val firstToken: Percentiles get() = firstTokens(results)
    val requests: Int get() = results.size
    val tokens: Int get() = results.sumOf { it.tokens }
    val answeredRatio: Double get() = results.count { it.error == null }.toDouble() / requests.coerceAtLeast(1)

    suspend fun send(trace: List<TraceRequest>, daemonPid: Long) {
        val cpuBefore = cpuSeconds(daemonPid)
        val start = System.nanoTime()
        results += generator.run(trace, start)
        elapsedSeconds += secondsSince(start)
        cpuSeconds += cpuSeconds(daemonPid) - cpuBefore
        delay(PAUSE_MILLIS)
    }
}

/** Measures [load] for [seconds] on each path at each rate, up to the first rate that the daemon does not sustain. */
internal fun measureOverhead(load: OverheadLoad, seconds: Int, seed: Long, directory: File): Measurement {
    // Far more batch slots than are used, so that no request waits for the engine.
    val size = FleetSize(vms = 1, domains = 1, engines = 1, inFlight = 1_800, services = 0)
    val engine = EngineOptions(firstTokenMillis = 2, tokenMillis = load.tokenMillis, slowdownPerRequest = 0.0)
    val rows = Fleet(size, File(directory, "overhead"), engine).use { fleet ->
        configure(fleet)
        runBlocking {
            warmUp(fleet, load, seed)
            val rows = ArrayList<List<Double>>()
            for (rate in load.rates) {
                val (row, isSustained) = row(fleet, load, rate, seconds, seed)
                rows += row
                if (!isSustained) break
            }
            rows
        }
    }
    val columns = listOf(
        "requests/s", "direct p50", "direct p99", "added p50", "added p99", "answered %", "direct answ. %",
        "gap p99", "gap p99 direct", "us/request", "tokens/s", "us/token", "CPU % of core", "load average",
    )
    return Measurement(load.title, columns, rows, emptyMap())
}

private suspend fun row(
    fleet: Fleet,
    load: OverheadLoad,
    rate: Double,
    seconds: Int,
    seed: Long,
): Pair<List<Double>, Boolean> = directCalls(fleet).use { direct ->
    callsThroughDaemon(fleet).use { through ->
        val directPath = CallPath(direct)
        val daemonPath = CallPath(through)
        repeat(ALTERNATIONS) { turn ->
            val trace = generateTrace(workload(load, rate), maxOf(1, seconds / ALTERNATIONS), seed + turn)
            directPath.send(trace, fleet.vms.single().pid)
            daemonPath.send(trace, fleet.vms.single().pid)
        }
        val addedMillis = daemonPath.firstToken.p50 - directPath.firstToken.p50
        val isSustained = daemonPath.answeredRatio >= MINIMUM_ANSWERED_RATIO && addedMillis <= MAXIMUM_ADDED_MILLIS
        rowOf(rate, directPath, daemonPath) to isSustained
    }
}

private fun rowOf(rate: Double, direct: CallPath, daemon: CallPath): List<Double> = listOf(
    rate,
    direct.firstToken.p50,
    direct.firstToken.p99,
    daemon.firstToken.p50 - direct.firstToken.p50,
    daemon.firstToken.p99 - direct.firstToken.p99,
    daemon.answeredRatio * PERCENT,
    direct.answeredRatio * PERCENT,
    percentiles(daemon.tokenGaps).p99,
    percentiles(direct.tokenGaps).p99,
    daemon.cpuSeconds * MICROS_PER_SECOND / daemon.requests,
    daemon.tokens / daemon.elapsedSeconds,
    daemon.cpuSeconds * MICROS_PER_SECOND / daemon.tokens.coerceAtLeast(1),
    daemon.cpuSeconds / daemon.elapsedSeconds * PERCENT,
    loadAverage(),
)

private fun directCalls(fleet: Fleet) =
    LoadGenerator({ fleet.engines.map { it.port } }) { "${adapterName(it.adapter)}@1" }

private fun callsThroughDaemon(fleet: Fleet) = LoadGenerator({ fleet.vms.map { it.callersPort } })

private fun workload(load: OverheadLoad, rate: Double) = Workload(
    requestsPerSecond = rate,
    adapters = ADAPTERS,
    teamFractions = listOf(1.0),
    longFraction = 0.0,
    shortTokens = load.tokens,
)

private fun configure(fleet: Fleet) {
    val operator = FleetOperator(fleet)
    operator.awaitReady()
    val team = TeamId("team-0")
    val adapters = (1..ADAPTERS).flatMap {
        listOf(
            ConfigurationChange.PutAdapter(Adapter(adapterName(it), "base", setOf(1), 1)),
            ConfigurationChange.PutRoute(Route(RouteId(routeName(it)), RouteTarget.AdapterTarget(adapterName(it)))),
        )
    }
    val access = listOf(
        ConfigurationChange.PutTeam(Team(team, TEAM_TOKENS, TEAM_TOKENS)),
        ConfigurationChange.GrantKey(CallerKey(KeyId("key-0"), team, sha256Of(apiKeyOf(0)))),
    )
    operator.applyChange(ConfigurationChange.Batch(fleet.serverChanges() + access + adapters))
    operator.awaitEnginesOwned()
}

/** Loads all adapters, without which direct calls fail, and lets the JIT compile the daemon's code. */
private suspend fun warmUp(fleet: Fleet, load: OverheadLoad, seed: Long) {
    callsThroughDaemon(fleet).use { generator ->
        for (adapter in 1..ADAPTERS) {
            var attempts = 0
            val request = TraceRequest(-adapter, 0, adapter, 0, false, 1, 1, 0)
            while (generator.send(request, System.nanoTime()).error != null) {
                check(++attempts < ATTEMPTS) { "the daemon does not serve requests for ${adapterName(adapter)}" }
                delay(ATTEMPT_INTERVAL_MILLIS)
            }
        }
        val rate = minOf(WARM_UP_RATE, load.rates[1])
        generator.run(generateTrace(workload(load, rate), WARM_UP_SECONDS, seed), System.nanoTime())
    }
}
