/*
 * Measures the CPU time of the decisions that run for each request: the owner's queue, the team buckets and the ranking
 * of servers. Times are nanoseconds of one thread.
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
private const val SETTLED_AT = 5_000L
private const val ENGINE_AHEAD = 1_000_000L
private const val LONG_MILLIS = 1_000_000L
private const val TOKENS = 100L
private const val SEATS = 16
private const val FULL_AT = 10_000L
private const val RATE = 1_000_000L
private const val TEAMS_IN_QUEUE = 5
private val front = VmId("vm-1")

/** Measures all three. */
fun measureDecisionCost(): List<Measurement> = listOf(
    Measurement(
        "Owner's queue: reserve, progress and release of one request",
        listOf("queued", "ns/request"),
        queueLengths.map { listOf(it.toDouble(), warm { QueueLoad(it).nanosPerRequest() }) },
    ),
    Measurement(
        "Team buckets: admit and settle, all seats held",
        listOf("teams", "ns/request"),
        teamCounts.map { listOf(it.toDouble(), warm { admitNanos(it) }) },
    ),
    Measurement(
        "Rendezvous hash over the servers",
        listOf("servers", "ns/ranking", "ns/first"),
        serverCounts.map { count ->
            val names = (1..count).map { "engine-$it" }
            listOf(
                count.toDouble(),
                warm { nanosEach { rendezvousRanking("stove-adapter-$it@2", names) } },
                warm { nanosEach { rendezvousFirst("stove-adapter-$it@2", names) { name -> name } } },
            )
        },
    ),
)

/** A settled allocator with all places taken and a queue of constant length. */
private class QueueLoad(queued: Int) {
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
    private val now = SETTLED_AT + 1
    private var next = 0

    init {
        allocator.claimSucceeded(SETTLED_AT, SETTLED_AT + ENGINE_AHEAD, SETTLED_AT)
        val loaded = adapters.map { it.engineName }
        val report =
            LoadReport(1, now + ENGINE_AHEAD, EngineState.WARM, SLOTS, loaded, emptyMap(), server.maximumInFlight)
        note(allocator.report(report, now))
        repeat(IN_FLIGHT + queued) { reserve() }
        check(granted.size == IN_FLIGHT) { "granted ${granted.size} of $IN_FLIGHT" }
    }

    fun nanosPerRequest(): Double = nanosEach {
        reserve()
        val id = granted.removeFirst()
        note(allocator.progress(id, 1, now))
        note(allocator.release(id, RunOutcome.COMPLETED, 1, now))
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
            waitMillis = LONG_MILLIS,
            spillMillis = LONG_MILLIS,
            fingerprint = "fingerprint-$index",
        )
        val decision = allocator.reserve(request, front, now)
        if (decision is ReserveDecision.Granted) granted += request.requestId
        check(decision is ReserveDecision.Granted || decision is ReserveDecision.Queued) { "refused: $decision" }
    }

    private fun note(effects: List<AllocatorEffect>) {
        effects.filterIsInstance<AllocatorEffect.Grant>().forEach { granted += it.requestId }
    }
}

private fun admitNanos(teams: Int): Double {
    val buckets = TeamBuckets(front)
    buckets.configure((0 until teams).map { Team(TeamId("team-$it"), RATE, RATE) }, 0)
    buckets.seatsChanged((0 until SEATS).toSet(), 0)
    val ids = (0 until teams).map { TeamId("team-$it") }
    return nanosEach { round ->
        val now = FULL_AT + round / SEATS
        val decision = buckets.admit(ids[round % teams], "request-$round", TOKENS, now)
        check(decision is AdmissionDecision.Admitted) { "not admitted: $decision" }
        buckets.settle(decision.charge, TOKENS / 2, now)
    }
}

/** The last of several passes; the earlier ones let the compiler finish. */
private fun warm(pass: () -> Double): Double {
    repeat(WARM_UP_PASSES) { pass() }
    return pass()
}

private fun nanosEach(action: (Int) -> Unit): Double = threadNanos { repeat(ROUNDS, action) }.toDouble() / ROUNDS
