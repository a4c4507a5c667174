/*
 * Measures the CPU time of the decisions for each request: the engine owner's queue, the teams' token buckets and the
 * rendezvous ranking of servers. Times are nanoseconds of one thread.
 */
package org.lentilquay.bench

import org.lentilquay.coordination.allocation.AllocatorEffect
import org.lentilquay.coordination.allocation.ReserveDecision
import org.lentilquay.coordination.allocation.serverAllocator
import org.lentilquay.coordination.quota.AdmissionDecision
import org.lentilquay.coordination.quota.TeamBuckets
import org.lentilquay.coordination.rendezvousFirst
import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.BackendServer
import org.lentilquay.state.DomainId
import org.lentilquay.state.ServerId
import org.lentilquay.state.ServerKind
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

@Suppress("MagicNumber")
private val queueLengths = listOf(10, 100, 250, 500)

@Suppress("MagicNumber")
private val teamCounts = listOf(5, 50, 200, 500)

@Suppress("MagicNumber")
private val serverCounts = listOf(8, 64, 213, 640)
private const val ROUNDS = 2_000
private const val WARM_UP_PASSES = 40
private const val SLOTS = 16
private const val IN_FLIGHT = 32
private const val COLD_IN_FLIGHT = 32
private const val CLAIMED_AT_MILLIS = 5_000L
private const val CLOCK_AHEAD_MILLIS = 1_000_000L
private const val MAXIMUM_WAIT_MILLIS = 1_000_000L
private const val TOKENS = 100L
private const val SEATS = 16
private const val BUCKETS_FULL_AT_MILLIS = 10_000L
private const val RATE = 1_000_000L
private const val TEAMS_IN_QUEUE = 5
private val gatewayVm = VmId("vm-1")

/** Measures the queue, the token buckets and the ranking. */
fun measureDecisionCost(): List<Measurement> = listOf(
    Measurement(
        "Owner's queue: reserve, progress and release of one request",
        listOf("queued", "ns/request"),
        queueLengths.map { listOf(it.toDouble(), afterWarmUp { QueueBenchmark(it).nanosPerRequest() }) },
    ),
    Measurement(
        "Team buckets: admit and settle, all seats held",
        listOf("teams", "ns/request"),
        teamCounts.map { listOf(it.toDouble(), afterWarmUp { admitNanos(it) }) },
    ),
    Measurement(
        "Rendezvous hash over the servers",
        listOf("servers", "ns/ranking", "ns/first"),
        serverCounts.map { count ->
            val names = (1..count).map { "engine-$it" }
            listOf(
                count.toDouble(),
                afterWarmUp { meanNanos { rendezvousRanking("stove-adapter-$it@2", names) } },
                afterWarmUp { meanNanos { rendezvousFirst("stove-adapter-$it@2", names) { name -> name } } },
            )
        },
    ),
)

/** An allocator whose claim succeeded, with all batch slots taken and [queued] reservations in its queue. */
private class QueueBenchmark(queued: Int) {
    private val server = BackendServer(
        id = ServerId("engine"),
        kind = ServerKind.ENGINE,
        address = "127.0.0.1:1",
        domain = DomainId("domain"),
        serves = "base",
        checksFencing = true,
        adapterSlots = SLOTS,
        maximumInFlight = IN_FLIGHT,
        coldInFlight = COLD_IN_FLIGHT,
    )
    private val adapters = (1..SLOTS).map { AdapterVersion("adapter-$it", 1) }
    private val allocator = serverAllocator(server, fence = 1, acquiredAt = 0)
    private val granted = ArrayDeque<String>()
    private val now = CLAIMED_AT_MILLIS + 1
    private var next = 0

    init {
        allocator.claimSucceeded(CLAIMED_AT_MILLIS, CLAIMED_AT_MILLIS + CLOCK_AHEAD_MILLIS, CLAIMED_AT_MILLIS)
        val loaded = adapters.map { it.engineName }
        val report =
            LoadReport(1, now + CLOCK_AHEAD_MILLIS, EngineState.WARM, SLOTS, loaded, emptyMap(), server.maximumInFlight)
        collectGrants(allocator.report(report, now))
        repeat(IN_FLIGHT + queued) { reserve() }
        check(granted.size == IN_FLIGHT) { "granted ${granted.size} of $IN_FLIGHT" }
    }

    fun nanosPerRequest(): Double = meanNanos {
        reserve()
        val id = granted.removeFirst()
        collectGrants(allocator.progress(id, 1, now))
        collectGrants(allocator.release(id, RunOutcome.COMPLETED, 1, now))
    }

    private fun reserve() {
        val index = next++
        val request = PeerRequest.Reserve(
            requestId = "request-$index",
            server = server.id,
            adapter = adapters[index % SLOTS],
            team = TeamId("team-${index % TEAMS_IN_QUEUE}"),
            estimatedTokens = TOKENS,
            priority = Priority.SHORT,
            waitMillis = MAXIMUM_WAIT_MILLIS,
            spillMillis = MAXIMUM_WAIT_MILLIS,
            fingerprint = "fingerprint-$index",
        )
        val decision = allocator.reserve(request, gatewayVm, now)
        if (decision is ReserveDecision.Granted) granted += request.requestId
        check(decision is ReserveDecision.Granted || decision is ReserveDecision.Queued) { "refused: $decision" }
    }

    private fun collectGrants(effects: List<AllocatorEffect>) {
        effects.filterIsInstance<AllocatorEffect.Grant>().forEach { granted += it.requestId }
    }
}

private fun admitNanos(teams: Int): Double {
    val buckets = TeamBuckets(gatewayVm)
    buckets.configure((0 until teams).map { Team(TeamId("team-$it"), RATE, RATE) }, 0)
    buckets.seatsChanged((0 until SEATS).toSet(), 0)
    val ids = (0 until teams).map { TeamId("team-$it") }
    return meanNanos { round ->
        val now = BUCKETS_FULL_AT_MILLIS + round / SEATS
        val decision = buckets.admit(ids[round % teams], "request-$round", TOKENS, now)
        check(decision is AdmissionDecision.Admitted) { "not admitted: $decision" }
        buckets.settle(decision.charge, TOKENS / 2, now)
    }
}

/** The result of the last of several passes; the earlier ones are for the JIT compiler. */
private fun afterWarmUp(pass: () -> Double): Double {
    repeat(WARM_UP_PASSES) { pass() }
    return pass()
}

private fun meanNanos(action: (Int) -> Unit): Double = threadNanos { repeat(ROUNDS, action) }.toDouble() / ROUNDS
