package org.lentilquay.coordination.quota

import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** VMs with buckets, a network that delays and loses, and a record of what was admitted when. Steps of 1 ms. */
class QuotaSimulation(val random: Random, vmCount: Int, val team: Team, private val seatCount: Int = 16) {
    class Admission(val at: Long, var tokens: Long)

    private class Event(val at: Long, val vm: Int, val run: () -> Unit)

    private class Pending(val vm: Int, val id: String, val tokens: Long, val since: Long) {
        var isDone = false
        var isTimed = false
    }

    val names = List(vmCount) { VmId("vm-$it") }
    val admissions = ArrayList<Admission>()
    var refused = 0

    /** How long the admitted requests waited, in milliseconds. */
    val waits = ArrayList<Long>()

    /** How long the refused requests waited, in milliseconds. */
    val refusedAfter = ArrayList<Long>()

    /** Messages that ask for tokens. */
    var pulls = 0
    var lossPercent = 0
    var delayMillis: () -> Long = { 1 }
    var settle: (Long) -> Pair<Long, Long>? = { null }
    var now = 0L
    private val clocks = List(vmCount) { random.nextLong(1_000_000) }
    private val plans = names.map { TransferPlanner(it, seatCount) }
    private val buckets = names.indices.map { TeamBuckets(names[it], seatCount, plans[it]) }
    private val seats = names.indices.map { vm -> (0 until seatCount).filterTo(HashSet()) { it % vmCount == vm } }
    private val pausedUntil = LongArray(vmCount)
    private val events = PriorityQueue<Event>(compareBy { it.at })
    private var requests = 0

    init {
        names.indices.forEach { buckets[it].configure(listOf(team), clock(it)) }
        names.indices.forEach { seatsChanged(it) }
    }

    private fun clock(vm: Int) = now + clocks[vm]

    private fun seatsChanged(vm: Int) {
        buckets[vm].seatsChanged(seats[vm].toSet(), clock(vm))
        plans.forEach { plan -> plan.holdersChanged(names.indices.associate { names[it] to seats[it].toSet() }) }
    }

    fun moveSeats(from: Int, to: Int, count: Int) {
        if (from == to || now < pausedUntil[from] || now < pausedUntil[to]) return
        val moved = seats[from].shuffled(random).take(count).toSet()
        seats[from].removeAll(moved)
        seatsChanged(from)
        seats[to].addAll(moved)
        seatsChanged(to)
    }

    fun pause(vm: Int, millis: Long) {
        pausedUntil[vm] = now + millis
    }

    fun request(vm: Int, tokens: Long) = attempt(Pending(vm, "r${requests++}", tokens, now))

    fun run(until: Long) {
        while (now < until) {
            now++
            while (events.isNotEmpty() && events.peek().at <= now) {
                val event = events.poll()
                val resumesAt = pausedUntil[event.vm]
                if (now < resumesAt) events.add(Event(resumesAt, event.vm, event.run)) else event.run()
            }
        }
    }

    private fun attempt(pending: Pending) {
        val vm = pending.vm
        if (pending.isDone || now < pausedUntil[vm]) return
        when (val decision = buckets[vm].admit(team.id, pending.id, pending.tokens, clock(vm))) {
            is AdmissionDecision.Admitted -> {
                pending.isDone = true
                waits += now - pending.since
                admitted(vm, decision.charge)
            }
            is AdmissionDecision.NeedTokens -> {
                decision.requests.forEach { pull(pending, it, decision) }
                if (!pending.isTimed) {
                    pending.isTimed = true
                    after(vm, decision.retryAfterMillis) {
                        pending.isTimed = false
                        attempt(pending)
                    }
                }
            }
            else -> {
                pending.isDone = true
                refusedAfter += now - pending.since
                refused++
            }
        }
    }

    private fun admitted(vm: Int, charge: Charge) {
        val admission = Admission(now, charge.tokens).also { admissions.add(it) }
        val (actual, duration) = settle(charge.tokens) ?: return
        after(vm, duration) {
            buckets[vm].settle(charge, actual, clock(vm))
            admission.tokens = actual
        }
    }

    private fun pull(pending: Pending, pull: TransferRequest, needed: AdmissionDecision.NeedTokens) {
        val holder = names.indexOf(pull.holder)
        val sentAt = clock(pending.vm)
        val id = "${names[pending.vm]}/${pulls++}"
        send(holder) { answer(pending, pull, needed, Arrival(holder, id, sentAt, clock(holder))) }
    }

    /** A pull as the holder has it: when it was sent by the requester's clock, and when it came by the holder's. */
    private class Arrival(val holder: Int, val id: String, val sentAt: Long, val at: Long)

    private fun answer(
        pending: Pending,
        pull: TransferRequest,
        needed: AdmissionDecision.NeedTokens,
        arrival: Arrival,
    ) {
        val (holder, now) = arrival.holder to clock(arrival.holder)
        val vm = pending.vm
        val held = now - arrival.at
        val patience = needed.remainingWaitMillis - held
        val waited = needed.waitedMillis + held
        val peerPull = PeerTransferRequest(arrival.id, names[vm], pull.amount, pull.minimum, waited, patience)
        when (val decision = buckets[holder].decideTransfer(team.id, peerPull, now)) {
            is TransferDecision.Wait -> after(holder, decision.millis) { answer(pending, pull, needed, arrival) }
            is TransferDecision.Transfer -> send(vm) {
                val given = decision.amount
                buckets[vm].transferReceived(team.id, pull.holder, pull.amount, given, arrival.sentAt + held, clock(vm))
                attempt(pending)
            }
        }
    }

    private fun send(to: Int, run: () -> Unit) {
        if (random.nextInt(100) >= lossPercent) after(to, delayMillis(), run)
    }

    private fun after(vm: Int, millis: Long, run: () -> Unit) {
        events.add(Event(now + millis, vm, run))
    }

    /** The largest excess over rate x time + burst in any window, in tokens; not positive if the bound holds. */
    fun worstExcess(): Double {
        var sum = 0.0
        var least = Double.MAX_VALUE
        var worst = Double.NEGATIVE_INFINITY
        for (admission in admissions) {
            val generated = team.tokensPerSecond * admission.at / 1000.0
            least = minOf(least, sum - generated)
            sum += admission.tokens
            worst = maxOf(worst, sum - generated - least - team.burstTokens)
        }
        return worst
    }
}

val testTeam = Team(TeamId("night-light"), tokensPerSecond = 1_000, burstTokens = 2_000)

/** The time for which [playTeam] sends requests, in seconds. */
internal const val PLAYED_SECONDS = 20

/** Requests of [team] at [part] of its rate, through all of [vms] alike, after a time in which the buckets filled. */
internal fun playTeam(team: Team, vms: Int, part: Double, seed: Int): QuotaSimulation {
    val random = Random(seed)
    val simulation = QuotaSimulation(random, vms, team)
    simulation.delayMillis = { random.nextLong(1, 6) }
    simulation.run(6_000)
    var due = 0.0
    while (due < PLAYED_SECONDS * 1_000) {
        val tokens = 276 + minOf(random.nextLong(50, 1_000), random.nextLong(50, 3_000))
        simulation.request(random.nextInt(vms), tokens)
        due += tokens * 1_000 / (team.tokensPerSecond * part) * random.nextDouble(0.1, 1.9)
        simulation.run(6_000 + due.toLong())
    }
    simulation.run(simulation.now + 1_000)
    return simulation
}

internal fun QuotaSimulation.figures(): String =
    "waits ${waits.percentile(50)} and ${waits.percentile(90)} ms, refused $refused of ${waits.size + refused} after " +
        "${refusedAfter.percentile(50)} ms, $pulls pulls"

internal fun List<Long>.percentile(percent: Int): Long = if (isEmpty()) 0 else sorted()[size * percent / 100]
