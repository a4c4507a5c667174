package org.lentilquay.coordination.quota

import org.lentilquay.state.Team
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import java.util.PriorityQueue
import kotlin.random.Random

/** The token buckets of several VMs on a network with delay and loss, in steps of 1 ms; records each admission. */
class QuotaSimulation(val random: Random, vmCount: Int, team: Team, private val seatCount: Int = 16) {
    class Admission(val at: Long, var tokens: Long)

    /** A request and its outcome; both times are null while it waits. */
    class Request(val vm: Int, val id: String, val tokens: Long, val since: Long) {
        var admittedAt: Long? = null
        var refusedAt: Long? = null

        /** What its VM asked of which holder and got, and when; and what the holders had at its refusal. */
        val asked = ArrayList<String>()
        var balances: Map<Int, Long> = emptyMap()
    }

    var team = team
        private set

    private class Event(val at: Long, val vm: Int, val run: () -> Unit)

    private class Pending(val request: Request) {
        val vm = request.vm
        val id = request.id
        val tokens = request.tokens
        val since = request.since
        var isDone = false
        var isTimed = false
    }

    val names = List(vmCount) { VmId("vm-$it") }
    val admissions = ArrayList<Admission>()
    var refused = 0

    /** How long each admitted request waited, in milliseconds. */
    val waits = ArrayList<Long>()

    /** How long each refused request waited, in milliseconds. */
    val refusedAfter = ArrayList<Long>()

    /** The number of transfer requests sent. */
    var transferRequests = 0

    /** The number of reports sent to seat holders on transfers that ended. */
    var transferEnds = 0
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
    private var requestCount = 0

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

    fun request(vm: Int, tokens: Long): Request =
        Request(vm, "r${requestCount++}", tokens, now).also { attempt(Pending(it)) }

    /** Applies the rate and burst of [changed] on all VMs. */
    fun configure(changed: Team) {
        team = changed
        names.indices.forEach { buckets[it].configure(listOf(changed), clock(it)) }
    }

    /** What the VMs that hold seats of the team have now, by VM. */
    fun balances(): Map<Int, Long> = names.indices.filter { vm -> seats[vm].any { it in seatsOf(team.id, seatCount) } }
        .associateWith { buckets[it].available(team.id, clock(it)) }

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
        decide(pending, vm)
        sendTransferEnds(vm)
    }

    private fun sendTransferEnds(vm: Int) = buckets[vm].takeTransferEnds().forEach { end ->
        val holder = names.indexOf(end.holder)
        transferEnds++
        send(holder) { buckets[holder].transferEnded(end.team, names[vm], end.transfer, end.returned, clock(holder)) }
    }

    private fun decide(pending: Pending, vm: Int) {
        when (val decision = buckets[vm].admit(team.id, pending.id, pending.tokens, clock(vm))) {
            is AdmissionDecision.Admitted -> {
                pending.isDone = true
                pending.request.admittedAt = now
                waits += now - pending.since
                admitted(vm, decision.charge)
            }
            is AdmissionDecision.NeedTokens -> {
                decision.requests.forEach { sendTransferRequest(pending, it, decision) }
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
                pending.request.refusedAt = now
                pending.request.balances = balances()
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

    private fun sendTransferRequest(pending: Pending, transfer: TransferRequest, needed: AdmissionDecision.NeedTokens) {
        val holder = names.indexOf(transfer.holder)
        val sentAt = clock(pending.vm)
        val id = "${names[pending.vm]}/${transferRequests++}"
        send(holder) { answer(pending, transfer, needed, Arrival(holder, id, sentAt, clock(holder))) }
    }

    /** A transfer request at its holder: sent at [sentAt] by the requester's clock, arrived at [at] by the holder's. */
    private class Arrival(val holder: Int, val id: String, val sentAt: Long, val at: Long)

    private fun answer(
        pending: Pending,
        transfer: TransferRequest,
        needed: AdmissionDecision.NeedTokens,
        arrival: Arrival,
    ) {
        val (holder, now) = arrival.holder to clock(arrival.holder)
        val vm = pending.vm
        val held = now - arrival.at
        val remaining = needed.remainingWaitMillis - held
        val waited = needed.waitedMillis + held
        val peerRequest =
            PeerTransferRequest(arrival.id, names[vm], transfer.amount, transfer.minimum, waited, remaining)
        when (val decision = buckets[holder].decideTransfer(team.id, peerRequest, now)) {
            is TransferDecision.Wait -> after(holder, decision.millis) { answer(pending, transfer, needed, arrival) }
            is TransferDecision.Transfer -> send(vm) {
                val given = decision.amount
                val asked = "${transfer.minimum}..${transfer.amount} of $holder"
                pending.request.asked += "$asked: $given after $held ms at ${this.now - pending.since}"
                buckets[vm].transferReceived(
                    team.id,
                    transfer.holder,
                    transfer.amount,
                    given,
                    arrival.sentAt + held,
                    clock(vm),
                    transfer = arrival.id,
                )
                sendTransferEnds(vm)
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
        var lowest = Double.MAX_VALUE
        var worst = Double.NEGATIVE_INFINITY
        for (admission in admissions) {
            val generated = team.tokensPerSecond * admission.at / 1000.0
            lowest = minOf(lowest, sum - generated)
            sum += admission.tokens
            worst = maxOf(worst, sum - generated - lowest - team.burstTokens)
        }
        return worst
    }
}

val testTeam = Team(TeamId("night-light"), tokensPerSecond = 1_000, burstTokens = 2_000)

/** How long [simulateLoad] sends requests. */
internal const val SIMULATED_SECONDS = 20

/** Load of [team] at [loadRatio] of its rate, spread over all [vms]; the buckets are full at the start. */
internal fun simulateLoad(team: Team, vms: Int, loadRatio: Double, seed: Int): QuotaSimulation {
    val random = Random(seed)
    val simulation = QuotaSimulation(random, vms, team)
    simulation.delayMillis = { random.nextLong(1, 6) }
    simulation.run(6_000)
    var due = 0.0
    while (due < SIMULATED_SECONDS * 1_000) {
        val tokens = 276 + minOf(random.nextLong(50, 1_000), random.nextLong(50, 3_000))
        simulation.request(random.nextInt(vms), tokens)
        due += tokens * 1_000 / (team.tokensPerSecond * loadRatio) * random.nextDouble(0.1, 1.9)
        simulation.run(6_000 + due.toLong())
    }
    simulation.run(simulation.now + 1_000)
    return simulation
}

internal fun QuotaSimulation.figures(): String =
    "waits ${waits.percentile(50)} and ${waits.percentile(90)} ms, refused $refused of ${waits.size + refused} after " +
        "${refusedAfter.percentile(50)} ms, $transferRequests transfer requests"

internal fun List<Long>.percentile(percent: Int): Long = if (isEmpty()) 0 else sorted()[size * percent / 100]
