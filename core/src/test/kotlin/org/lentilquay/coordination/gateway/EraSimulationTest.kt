package org.lentilquay.coordination.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.DutySubject
import org.lentilquay.state.gateway.EraRecord
import org.lentilquay.state.gateway.MemberRecord
import kotlin.random.Random

private const val SEEDS = 150
private const val STEP = 100L
private const val TROUBLE_MILLIS = 90_000L
private const val END_MILLIS = 130_000L
private const val START = 1_800_000_000_000
private const val PAUSE = 3_000L
private val USAGE = ControlSubject.Duty(DutySubject("usage"))

private data class Row(val value: Any, val version: Long)

private class Write(val key: String, val value: Any, val conditions: Map<String, Long>, val readEra: Long)

/** A table service that returns from copies and executes writes whose answers were lost late, also in a later era. */
private class ReturningStore {
    var rows = mapOf<String, Row>()
    var counter = 0L
    var era = 1L
    var isDown = false
    private val copies = ArrayDeque<Triple<Map<String, Row>, Long, Long>>()
    private val late = mutableListOf<Pair<Long, Write>>()

    fun step(time: Long) {
        copies += Triple(rows, counter, time)
        while (copies.first().third < time - 6_000) copies.removeFirst()
        late.filter { it.first <= time }.forEach { execute(it.second) }
        late.removeAll { it.first <= time }
    }

    fun returnFrom(millisAgo: Long, time: Long) {
        val copy = copies.last { it.third <= maxOf(time - millisAgo, copies.first().third) }
        rows = copy.first
        counter = copy.second
        era++
    }

    /** The version of the row if [write] took effect in the era of its conditions. */
    fun answered(write: Write, dueLate: Long?): Long? {
        if (dueLate != null) late += dueLate to write
        return if (dueLate != null || !execute(write) || write.readEra != era) null else counter
    }

    private fun execute(write: Write): Boolean {
        if (isDown || write.conditions.any { (key, version) -> (rows[key]?.version ?: 0) != version }) return false
        counter++
        rows = rows + (write.key to Row(write.value, counter))
        return true
    }
}

/** One VM with its lease; it does what EngineControlLoop does for one duty. */
private class Process(val vm: VmId, val number: Long, private val store: ReturningStore, private val random: Random) {
    val lease = ControlLease(vm, Incarnation(number), PAUSE)
    private var era: Long? = null
    private var renewal = 0L
    private var version: Pair<Long, Long>? = null
    private var basis: TableTime? = null
    var held: ControllerRecord? = null

    /** Steps until this time are left out, as in a freeze. */
    var frozenUntil = 0L
    var cutUntil = 0L
    private fun canReach(time: Long) = time >= cutUntil && !store.isDown

    private fun write(key: String, value: Any, conditions: Map<String, Long>, time: Long): Long? {
        val due = if (random.nextInt(12) == 0) time + random.nextLong(100, 8_000) else null
        return store.answered(Write(key, value, conditions, era!!), due)
    }

    fun exchange(time: Long) {
        if (!canReach(time)) return
        learnEra(time)
        val key = "members/$vm"
        val expected = version?.takeIf { it.second == era }?.first ?: store.rows[key]?.version ?: 0
        val from = basis ?: TableTime(time, time)
        val duties = listOfNotNull(held?.let { DutyRecord(USAGE.subject, it.fence) })
        val record = member(renewal = ++renewal)
            .copy(incarnation = Incarnation(number), tableMillis = from.millis, era = era, duties = duties)
        val written = write(key, record, mapOf(key to expected), time)
        version = written?.let { it to era!! }
        if (written != null) {
            releaseIfExpired(time)
            lease.renewed(from, 0)
        }
        basis = TableTime(time, time)
        val members = store.rows.filterKeys { it.startsWith("members/") }.entries.associate { (name, row) ->
            VmId(name.removePrefix("members/")) to VersionedMemberRecord(row.value as MemberRecord, row.version)
        }
        lease.updateMembers(members, time, era)
    }

    private fun learnEra(time: Long) {
        if (era == store.era) return
        val row = (store.rows["fleet/era"]?.value as EraRecord?)?.let { EraRow.Present(it) } ?: EraRow.Missing
        val start = eraStart(store.era, row, time, isNewProcess = era == null, isBootstrap = false)
        era = store.era
        lease.eraStarted(start)
        eraRecordToWrite(start, row)?.let {
            write("fleet/era", it, mapOf("fleet/era" to (store.rows["fleet/era"]?.version ?: 0)), time)
        }
    }

    private fun releaseIfExpired(time: Long) {
        if (!lease.isValid(time, 0)) held = null
    }

    fun tick(time: Long) {
        releaseIfExpired(time)
        if (held?.let { lease.supersedingFence(USAGE, it.fence) } != null) held = null
        if (!canReach(time) || !lease.isValid(time, 0)) return
        val row = store.rows[USAGE.recordKey]
        val record = row?.let { VersionedControllerRecord(it.value as ControllerRecord, it.version) }
        val reading = ControllerReading(record, store.era, time)
        val holding = held
        when {
            holding == null -> if (lease.isCandidate(USAGE, time)) take(reading, time)
            lease.era?.isFormer(holding.era) == true -> rewrite(holding, reading, time)
        }
    }

    private fun take(reading: ControllerReading, time: Long) {
        val due = lease.decideTakeover(USAGE, reading, time) as? TakeoverDecision.Due ?: return
        val former = due.former?.let { (vm, version) -> mapOf("members/$vm" to version) }.orEmpty()
        val conditions = former + (USAGE.recordKey to due.expectedVersion)
        if (write(USAGE.recordKey, due.record, conditions, time) != null) held = due.record
    }

    private fun rewrite(holding: ControllerRecord, reading: ControllerReading, time: Long) {
        val decision = lease.decideRewrite(USAGE, holding.fence, reading)
        if (decision is RewriteDecision.Lost) held = null
        if (decision !is RewriteDecision.Due) return
        val conditions = mapOf(USAGE.recordKey to decision.expectedVersion)
        if (write(USAGE.recordKey, decision.record, conditions, time) != null) held = decision.record
    }
}

private class Call(val time: Long, val vm: VmId, val process: Long, val fence: Long)

/** Four VMs with returns, outages, cut-off, frozen and restarted VMs, and late writes, by chance. */
private class Simulation(seed: Int) {
    private val random = Random(seed)
    private val store = ReturningStore()
    private var started = 0L
    private val processes = List(4) { vm(it) }.associateWithTo(LinkedHashMap()) { process(it) }
    private val calls = mutableListOf<Call>()
    private var upAt = 0L
    private var returnAt = Long.MAX_VALUE

    private fun process(vm: VmId) = Process(vm, ++started, store, random)

    /** The calls that the VMs made for the duty. */
    fun run(): List<Call> {
        for (time in START until START + END_MILLIS step STEP) {
            if (time >= upAt) store.isDown = false
            store.step(time)
            if (time >= returnAt) {
                store.returnFrom(random.nextLong(0, 5_000), time)
                returnAt = Long.MAX_VALUE
            }
            if (time - START < TROUBLE_MILLIS) disturb(time)
            processes.values.shuffled(random).filter { time >= it.frozenUntil }.forEach { step(it, time) }
        }
        return calls
    }

    private fun step(process: Process, time: Long) {
        if ((time / STEP + process.number) % 10 == 0L) process.exchange(time)
        if (time % 200 == 0L) process.tick(time)
        val held = process.held
        if (held != null && process.lease.mayCall(time, 0)) calls += Call(time, process.vm, process.number, held.fence)
    }

    private fun disturb(time: Long) {
        val vm = processes.keys.random(random)
        when (random.nextInt(300)) {
            0, 1 -> returnAt = time + random.nextLong(0, 2_000)
            2 -> {
                store.returnFrom(random.nextLong(0, 5_000), time)
                returnAt = time + random.nextLong(100, 1_000)
            }
            3, 4 -> {
                store.isDown = true
                upAt = time + random.nextLong(100, 8_000)
                if (random.nextBoolean()) returnAt = upAt
            }
            5, 6 -> processes.getValue(vm).cutUntil = time + random.nextLong(500, 14_000)
            7, 8 -> processes.getValue(vm).frozenUntil = time + random.nextLong(500, 14_000)
            9, 10 -> processes[vm] = process(vm).also { it.frozenUntil = time + random.nextLong(100, 6_000) }
            11 -> processes.keys.toList().forEach { processes[it] = process(it) }
        }
    }
}

/** Guards against conflicting calls of two VMs in sequences of failures that no other test lists. */
class EraSimulationTest : FunSpec({
    test("in every mix of returns and failures numbers rise, belong to one process, and holders do not alternate") {
        repeat(SEEDS) { seed ->
            withClue("seed $seed") {
                val calls = Simulation(seed).run()
                calls.zipWithNext().filter { (one, next) -> next.fence < one.fence }
                    .map { it.second.time - START } shouldBe emptyList()
                calls.groupBy { it.fence }
                    .filterValues { same -> same.distinctBy { it.process }.size > 1 } shouldBe emptyMap()
                val turns = calls.filterIndexed { index, call -> index == 0 || calls[index - 1].vm != call.vm }
                turns.filter { turn ->
                    val before = calls.lastOrNull { it.time < turn.time && it.vm == turn.vm }
                    before != null && turn.time - before.time <= PAUSE
                } shouldBe emptyList()
                calls.filter { it.time > START + END_MILLIS - 5_000 }.shouldNotBeEmpty()
            }
        }
    }
})
