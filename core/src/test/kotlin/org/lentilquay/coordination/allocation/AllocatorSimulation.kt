/*
 * Simulates an engine, three VMs and a weight store around one ServerAllocator, with random events from a seed. It
 * keeps its own state of them and records every violation of an invariant. Times are milliseconds.
 */
package org.lentilquay.coordination.allocation

import org.lentilquay.protocol.ActiveRun
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import java.util.PriorityQueue
import kotlin.random.Random

internal class AllocatorSimulation(seed: Int) {
    private class Event(val at: Long, val order: Int, val action: () -> Unit)

    /** One request in the view of the VM that received it. */
    private inner class Client(val id: String, val adapter: AdapterVersion?, val vm: VmId, val fingerprint: String) {
        val isSuspect = random.nextInt(20) == 0
        val team = TeamId("team-${id.length % 2}")
        val deadline = now + 3_000
        var pollSentAt = 0L
        var isHeld = false
        var isGranted = false
        var isConfirmed = false
        var isStarted = false
        var isOver = false
    }

    private class EngineRun(val adapter: AdapterVersion?, val client: Client?, var isAnswered: Boolean = false)

    private val random = Random(seed)
    private val events = PriorityQueue<Event>(compareBy({ it.at }, { it.order }))
    private var eventCount = 0
    private var now = 0L
    private val server = engineServer()
    private val policy = AllocatorPolicy(runTimeoutMillis = 10_000)
    private val allocator = serverAllocator(server, fence = 7, acquiredAt = 0, policy)
    private val adapters = (0 until 12).map { AdapterVersion("adapter-$it", 1) }
    private val vms = listOf(VmId("vm-0"), VmId("vm-1"), VmId("vm-2"))
    private val deadVms = HashSet<VmId>()
    private val clients = LinkedHashMap<String, Client>()
    private var incarnation = 1L
    private val engineClockOffset = random.nextLong(1_000_000)
    private var engineState = EngineState.WARM
    private val loaded = LinkedHashSet(adapters.take(4))
    private val running = LinkedHashMap<String, EngineRun>()

    /** The incarnation that the owner has seen in answers and reports. */
    private var ownerIncarnation = 1L

    private var pausedUntil = -1L
    private var claimOutageUntil = -1L
    private var lastClaimSentAt = Long.MIN_VALUE / 2
    private var takeoverEndsAt = policy.takeoverWaitMillis
    private val reportedIdle = HashSet<AdapterVersion>()

    /** Adapters whose last order failed or has an unknown result; they may be unloaded while requests wait. */
    private val uncertain = HashSet<AdapterVersion>()

    val violations = ArrayList<String>()
    val counts = HashMap<String, Int>()

    fun run(busyMillis: Long = 30_000, quietMillis: Long = 25_000) {
        startOldRuns()
        every(10, until = busyMillis + quietMillis) { toOwner(0) { handle(allocator.tick(now)) } }
        every(500, until = busyMillis + quietMillis) { claim() }
        every(300, until = busyMillis + quietMillis) { report() }
        every(60, until = busyMillis) { newClient() }
        every(1_000, until = busyMillis) { injectFault() }
        while (events.isNotEmpty()) {
            val event = events.poll()
            now = event.at
            event.action()
        }
        val end = allocator.snapshot(now)
        if (end.queuedByTeam.isNotEmpty()) violate("queue not empty at the end: ${end.queuedByTeam}")
        if (end.inFlight > 0 || end.slots.any { it.pins > 0 }) violate("runs left at the end: $end")
        clients.values.filter { !it.isOver && it.vm !in deadVms }.forEach { violate("${it.id} never ended") }
    }

    private fun startOldRuns() {
        running["old-0"] = EngineRun(adapters[0], null, isAnswered = true)
        running["old-1"] = EngineRun(adapters[1], null, isAnswered = true)
        at(6_000) { running.remove("old-0") }
        at(6_500) { running.remove("old-1") }
        at(4_400) { if (adapters[2] in loaded) running["old-2"] = EngineRun(adapters[2], null, isAnswered = true) }
        at(8_000) { running.remove("old-2") }
        toOwner(100) { handle(allocator.activeRuns(vms[0], listOf(ActiveRun("old-0", adapters[0], "old")), now)) }
        toOwner(6_050) { handle(allocator.release("old-0", RunOutcome.COMPLETED, 1, now)) }
    }

    private fun newClient() {
        val vm = vms.random(random)
        if (vm in deadVms) return
        val popular = minOf(random.nextInt(adapters.size + 1), random.nextInt(adapters.size + 1))
        val id = "request-${clients.size}"
        val client = Client(id, adapters.getOrNull(popular), vm, "content-${random.nextInt(200)}")
        clients[id] = client
        poll(client)
    }

    private fun poll(client: Client) {
        if (client.isOver || client.vm in deadVms) return
        client.pollSentAt = now
        if (now > client.deadline + 1_000) {
            client.isOver = true
            toOwner(delay()) { handle(allocator.release(client.id, RunOutcome.NOT_STARTED, null, now)) }
            return
        }
        val priority = if (random.nextBoolean()) Priority.SHORT else Priority.LONG
        val (tokens, wait) = 50L + random.nextInt(400) to maxOf(0, client.deadline - now)
        val content = client.fingerprint
        val request = PeerRequest.Reserve(
            client.id, server.id, client.adapter, client.team, tokens, priority, wait, 5_000,
            content.takeIf { client.isSuspect }, content,
        )
        toOwner(delay()) {
            when (val decision = allocator.reserve(request, client.vm, now)) {
                is ReserveDecision.Granted -> granted(client)
                is ReserveDecision.Queued -> hold(client)
                is ReserveDecision.Busy, is ReserveDecision.Refused -> client.isOver = true
                ReserveDecision.NotOwner -> violate("owner answered $decision without a later owner")
            }
            handle(allocator.tick(now))
        }
    }

    private fun hold(client: Client) {
        client.isHeld = true
        // After "queued", a VM cannot use an earlier grant whose answer was lost.
        client.isGranted = false
        val pollSentAt = client.pollSentAt
        if (random.nextInt(150) == 0) client.isOver = true
        at(now + 400) {
            if (client.isHeld && client.pollSentAt == pollSentAt) {
                client.isHeld = false
                at(now + delay()) { poll(client) }
            }
        }
    }

    private fun granted(client: Client) {
        if (!client.isGranted) count("grants")
        client.isGranted = true
        client.isHeld = false
        val adapter = client.adapter
        if (adapter != null && adapter !in loaded && ownerIncarnation == incarnation) {
            violate("grant without $adapter loaded")
        }
        checkClaim("grant")
        checkUnconfirmed()
        checkSuspects(client)
        val pollSentAt = client.pollSentAt
        if (client.isOver) return
        if (random.nextInt(30) == 0) at(now + 600) { poll(client) } else at(now + delay()) { start(client, pollSentAt) }
    }

    private fun start(client: Client, pollSentAt: Long) {
        if (client.vm in deadVms || client.isStarted) return
        if (now >= pollSentAt + 1_500) return end(client, RunOutcome.NOT_STARTED)
        client.isStarted = true
        at(now + delay()) {
            when {
                client.adapter != null && client.adapter !in loaded -> end(client, RunOutcome.ADAPTER_MISSING)
                running.size >= server.maximumInFlight * 2 -> end(client, RunOutcome.SERVER_OVERLOADED)
                else -> runOnEngine(client)
            }
        }
    }

    private fun runOnEngine(client: Client) {
        val started = EngineRun(client.adapter, client)
        running[client.id] = started
        val served = incarnation
        checkCold()
        at(now + 5 + delay()) {
            if (running[client.id] !== started) return@at
            started.isAnswered = true
            toOwner(delay()) {
                if (served >= ownerIncarnation) client.isConfirmed = true
                ownerIncarnation = maxOf(ownerIncarnation, served)
                handle(allocator.progress(client.id, served, now))
            }
        }
        if (random.nextInt(20) == 0) at(now + 100) { end(client, RunOutcome.CANCELLED) }
        at(now + 60 + random.nextLong(1_200) + if (random.nextInt(20) == 0) 4_000 else 0) {
            if (running[client.id] === started) {
                running.remove(client.id)
                end(client, RunOutcome.COMPLETED)
            }
        }
    }

    private fun end(client: Client, outcome: RunOutcome) {
        if (client.isOver || client.vm in deadVms) return
        client.isOver = true
        if (random.nextInt(80) == 0) return
        toOwner(delay()) { handle(allocator.release(client.id, outcome, null, now)) }
    }

    private fun handle(effects: List<AllocatorEffect>) {
        effects.forEach { effect ->
            when (effect) {
                is AllocatorEffect.Grant -> granted(clients.getValue(effect.requestId))
                is AllocatorEffect.Refuse -> clients.getValue(effect.requestId).let {
                    it.isHeld = false
                    it.isOver = true
                }
                is AllocatorEffect.NotOwner -> violate("owner gave up $effect")
                is AllocatorEffect.RequestLoadPermit ->
                    toOwner(20 + random.nextLong(300)) { handle(allocator.loadPermitted(effect.adapter, now)) }
                is AllocatorEffect.CancelLoadPermit -> Unit
                is AllocatorEffect.Load -> load(effect.adapter)
                is AllocatorEffect.Unload -> unload(effect.adapter)
            }
        }
    }

    private fun load(adapter: AdapterVersion) {
        checkClaim("load")
        count("loads")
        if (now >= takeoverEndsAt) reportedIdle += adapter
        val orderedFor = ownerIncarnation
        at(now + 50 + random.nextLong(250)) {
            val chance = random.nextInt(100)
            val fits = adapter in loaded || loaded.size < server.adapterSlots
            if (fits && chance >= 10) loaded += adapter
            val result = when {
                !fits -> LoadResult.NO_FREE_SLOT
                chance < 8 -> LoadResult.FAILED
                chance < 13 -> LoadResult.UNKNOWN
                else -> LoadResult.LOADED
            }
            toOwner(delay()) {
                val isCertain = result == LoadResult.LOADED && ownerIncarnation == orderedFor
                if (isCertain) uncertain -= adapter else uncertain += adapter
                handle(allocator.loadFinished(adapter, result, now))
            }
        }
    }

    private fun unload(adapter: AdapterVersion) {
        checkClaim("unload")
        count("unloads")
        if (now < takeoverEndsAt) violate("unload of $adapter inside the waiting time")
        val waiting = allocator.snapshot(now).slots.single { it.adapter == adapter }.waiting
        if (waiting > 0 && adapter !in uncertain) violate("unload of $adapter with $waiting waiting requests")
        if (adapter !in reportedIdle) violate("unload of $adapter before a report showed it idle")
        at(now + delay()) {
            checkUnused(adapter)
            val chance = random.nextInt(100)
            if (chance >= 3) loaded -= adapter
            val result = if (chance < 6) UnloadResult.UNKNOWN else UnloadResult.UNLOADED
            if (chance < 6) uncertain += adapter else uncertain -= adapter
            toOwner(delay()) { handle(allocator.unloadFinished(adapter, result, now)) }
        }
    }

    private fun claim() {
        val sentAt = now
        if (sentAt < claimOutageUntil || sentAt < pausedUntil) return
        at(now + delay()) {
            val engineTime = now + engineClockOffset
            val answeredBy = incarnation
            toOwner(delay()) {
                if (sentAt < takeoverEndsAt - policy.takeoverWaitMillis || answeredBy != incarnation) return@toOwner
                lastClaimSentAt = maxOf(lastClaimSentAt, sentAt)
                handle(allocator.claimSucceeded(sentAt, engineTime, now))
            }
        }
    }

    private fun report() {
        val takenAt = now
        val users = running.values.map { it.adapter?.engineName ?: server.serves }.groupingBy { it }.eachCount()
        val report = engineReport(server, incarnation, now + engineClockOffset, engineState, loaded, users)
        toOwner(50 + random.nextLong(700)) {
            ownerIncarnation = maxOf(ownerIncarnation, report.incarnation)
            if (takenAt > takeoverEndsAt) {
                reportedIdle += adapters.filter { it.engineName !in report.running }
            }
            handle(allocator.report(report, now))
        }
    }

    private fun injectFault() {
        when (random.nextInt(25)) {
            0 -> restartEngine()
            1 -> killVm(vms.random(random))
            2 -> claimOutageUntil = now + random.nextLong(4_000)
            3 -> pauseOwner(now + 1_200 + random.nextLong(1_500))
        }
    }

    private fun restartEngine() {
        count("restarts")
        incarnation++
        uncertain += adapters
        engineState = EngineState.COLD
        loaded.clear()
        val cut = running.values.mapNotNull { it.client }
        running.clear()
        cut.forEach { client -> at(now + delay()) { end(client, RunOutcome.CONNECTION_LOST) } }
        val started = incarnation
        at(now + 2_500) { if (incarnation == started) engineState = EngineState.WARM }
    }

    private fun killVm(vm: VmId) {
        if (!deadVms.add(vm)) return
        count("deaths")
        clients.values.filter { it.vm == vm }.forEach { it.isOver = true }
        at(now + 2_000) { toOwner(0) { handle(allocator.memberGone(vm, now)) } }
        at(now + 5_000) { deadVms.remove(vm) }
    }

    private fun pauseOwner(until: Long) {
        count("pauses")
        pausedUntil = until
        at(until) {
            takeoverEndsAt = now + policy.takeoverWaitMillis
            reportedIdle.clear()
            lastClaimSentAt = Long.MIN_VALUE / 2
            handle(allocator.resumedAfterPause(now))
        }
    }

    private fun checkUnused(adapter: AdapterVersion) {
        val user = running.values.any { it.adapter == adapter }
        val startable = clients.values.any {
            it.adapter == adapter && it.isGranted && !it.isStarted && !it.isOver && it.vm !in deadVms &&
                now < it.pollSentAt + 1_500
        }
        if (user || startable) violate("unload of $adapter in use, running $user, startable $startable")
    }

    private fun checkClaim(what: String) {
        if (now - lastClaimSentAt >= 2_000) violate("$what without a valid claim")
    }

    private fun checkUnconfirmed() {
        val unconfirmed = clients.values.count {
            it.isGranted && !it.isConfirmed && !it.isOver && (it.isStarted || now < it.pollSentAt + 1_500)
        }
        if (unconfirmed > server.coldInFlight) violate("$unconfirmed unconfirmed runs")
    }

    private fun checkSuspects(client: Client) {
        val others = running.values.mapNotNull { it.client }.filter { it !== client && !it.isOver }
        val suspects = others.filter { it.isSuspect || client.isSuspect }
        if (suspects.any { it.isSuspect && client.isSuspect }) violate("two suspects at once")
        if (suspects.any { it.fingerprint == client.fingerprint }) violate("a suspect content runs twice")
    }

    private fun checkCold() {
        val active = running.values.mapNotNull { it.client }.count { !it.isOver }
        if (engineState == EngineState.COLD && active > server.coldInFlight) violate("$active runs in a cold start")
        if (active > server.maximumInFlight) violate("$active runs over the in-flight limit")
    }

    private fun violate(text: String) = violations.add("$now ms: $text")

    private fun count(what: String) = counts.merge(what, 1, Int::plus)

    private fun delay(): Long = 1 + random.nextLong(30)

    private fun at(time: Long, action: () -> Unit) = events.add(Event(time, eventCount++, action))

    /** Runs [action] at the owner after [delay], or when a suspended owner resumes. */
    private fun toOwner(delay: Long, action: () -> Unit) =
        at(now + delay) { if (now < pausedUntil) at(pausedUntil, action) else action() }

    private fun every(period: Long, until: Long, action: () -> Unit) {
        at(now + period) {
            action()
            if (now + period <= until) every(period, until, action)
        }
    }
}
