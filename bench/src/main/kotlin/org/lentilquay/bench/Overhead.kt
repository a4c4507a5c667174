/*
 * Measures what one daemon adds to a call to an engine: the time to the first token over that of a direct call, and
 * its CPU time for each request and each relayed token. Direct calls and calls through the daemon take turns, so that
 * other work on the machine meets both. Added times are differences of percentiles, not percentiles of differences.
 * Times are milliseconds unless a name says otherwise.
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
private const val TURNS = 2
private const val WARM_UP_RATE = 200.0
private const val WARM_UP_SECONDS = 10
private const val ATTEMPTS = 50
private const val ATTEMPT_PAUSE_MILLIS = 400L
private const val PAUSE_MILLIS = 500L
private const val MICROS_PER_SECOND = 1e6
private const val PERCENT = 100.0

/**
 * A rate is held if at least this share of the requests gets a whole answer, and if half of the first tokens come at
 * most [HELD_MILLIS] later than by direct calls: a queue that grows with the length of the run makes them later.
 */
private const val HELD_SHARE = 0.99
private const val HELD_MILLIS = 100.0

/** What is sent at each rate: answers of [tokens] tokens that the engine generates every [tokenMillis] ms. */
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

/** What was seen of requests by one way, direct or through the daemon. */
private class Way(private val generator: LoadGenerator) {
    private val results = ArrayList<RequestResult>()
    var cpuSeconds = 0.0
        private set
    var elapsedSeconds = 0.0
        private set
    val gaps: Histogram get() = generator.gaps

    val firstToken: Percentiles get() = firstTokens(results)
    val requests: Int get() = results.size
    val tokens: Int get() = results.sumOf { it.tokens }
    val answeredShare: Double get() = results.count { it.error == null }.toDouble() / requests.coerceAtLeast(1)

    suspend fun send(trace: List<TraceRequest>, daemon: Long) {
        val cpuBefore = cpuSeconds(daemon)
        val start = System.nanoTime()
        results += generator.run(trace, start)
        elapsedSeconds += secondsSince(start)
        cpuSeconds += cpuSeconds(daemon) - cpuBefore
        delay(PAUSE_MILLIS)
    }
}

/** Measures [load] for [seconds] by each way at each rate, until the daemon does not hold one. */
internal fun measureOverhead(load: OverheadLoad, seconds: Int, seed: Long, directory: File): Measurement {
    // Far more places than are used, so that the engine never makes a request wait.
    val size = FleetSize(vms = 1, domains = 1, engines = 1, inFlight = 1_800, services = 0)
    val engine = EngineOptions(firstTokenMillis = 2, tokenMillis = load.tokenMillis, slowdownPerRequest = 0.0)
    val rows = Fleet(size, File(directory, "overhead"), engine).use { fleet ->
        configure(fleet)
        runBlocking {
            warmUp(fleet, load, seed)
            val rows = ArrayList<List<Double>>()
            for (rate in load.rates) {
                val (row, isHeld) = row(fleet, load, rate, seconds, seed)
                rows += row
                if (!isHeld) break
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
        val byDirect = Way(direct)
        val byDaemon = Way(through)
        repeat(TURNS) { turn ->
            val trace = traceOf(workload(load, rate), maxOf(1, seconds / TURNS), seed + turn)
            byDirect.send(trace, fleet.vms.single().pid)
            byDaemon.send(trace, fleet.vms.single().pid)
        }
        val addedMillis = byDaemon.firstToken.p50 - byDirect.firstToken.p50
        val isHeld = byDaemon.answeredShare >= HELD_SHARE && addedMillis <= HELD_MILLIS
        rowOf(rate, byDirect, byDaemon) to isHeld
    }
}

private fun rowOf(rate: Double, direct: Way, daemon: Way): List<Double> = listOf(
    rate,
    direct.firstToken.p50,
    direct.firstToken.p99,
    daemon.firstToken.p50 - direct.firstToken.p50,
    daemon.firstToken.p99 - direct.firstToken.p99,
    daemon.answeredShare * PERCENT,
    direct.answeredShare * PERCENT,
    percentiles(daemon.gaps).p99,
    percentiles(direct.gaps).p99,
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
    teamShares = listOf(1.0),
    longShare = 0.0,
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
        ConfigurationChange.GrantKey(CallerKey(KeyId("key-0"), team, sha256Of(keyText(0)))),
    )
    operator.change(ConfigurationChange.Batch(fleet.serverChanges() + access + adapters))
    operator.awaitOwned()
}

/** Has all adapters loaded, without which direct calls fail, and the daemon's code compiled. */
private suspend fun warmUp(fleet: Fleet, load: OverheadLoad, seed: Long) {
    callsThroughDaemon(fleet).use { generator ->
        for (adapter in 1..ADAPTERS) {
            var attempts = 0
            val request = TraceRequest(-adapter, 0, adapter, 0, false, 1, 1, 0)
            while (generator.send(request, System.nanoTime()).error != null) {
                check(++attempts < ATTEMPTS) { "the daemon does not serve ${adapterName(adapter)}" }
                delay(ATTEMPT_PAUSE_MILLIS)
            }
        }
        val rate = minOf(WARM_UP_RATE, load.rates[1])
        generator.run(traceOf(workload(load, rate), WARM_UP_SECONDS, seed), System.nanoTime())
    }
}
