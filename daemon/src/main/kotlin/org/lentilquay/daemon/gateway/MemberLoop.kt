/*
 * This VM among the others: renews its member record, reads those of the others, and takes control of engines that
 * have no controller. The record also carries what this VM knows about its engines, so that one write and one read a
 * second keep all VMs informed; in large fleets one write in two seconds, and most reads are those of another VM.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.WriteResult
import org.lentilquay.coordination.gateway.TableTime
import org.lentilquay.coordination.gateway.TakeoverDecision
import org.lentilquay.coordination.gateway.VersionedControllerRecord
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.control.write
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.controllerKey
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.TableService

private val log = KotlinLogging.logger {}
private const val NANOS_PER_MILLI = 1_000_000L

/** Tries of one renewal, and the pause between them, in milliseconds. */
private const val MAXIMUM_RENEWALS = 3
private const val RENEWAL_PAUSE_MILLIS = 250L

/** A renewal may come this much early, because exchanges come a little early and late, in milliseconds. */
private const val RENEWAL_SLACK_MILLIS = 200L

class MemberLoop(
    private val options: GatewayOptions,
    private val incarnation: Incarnation,
    private val state: GatewayState,
    private val table: TableService,
    private val clock: TableClock,
    private val records: MemberTable,
    private val orders: EngineControlClient,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val now: () -> Long,
) {
    private val engines = HashMap<ServerId, ControlledEngine>()
    private var renewal = 0L
    private var isTaking = false
    private var wasRenewed = false
    private var renewedAt = Long.MIN_VALUE / 2

    /** The engines that the record as it was last written names. */
    private var publishedEngines: Set<ServerId> = emptySet()

    /** What the next renewal counts from, and the wall clock less the monotonic clock at that time. */
    private var basis: Pair<TableTime, Long>? = null

    /** Set for a planned stop. */
    @Volatile
    var isLeaving: Boolean = false

    /** The engine [server] if this VM controls it. Call on the control thread. */
    fun engine(server: ServerId): ControlledEngine? = engines[server]

    /** The member records and this VM's view of its own engines are exchanged. Call once a second. */
    suspend fun exchange() {
        if (basis == null) observe()
        if (control.decide { isRenewalDue() }) {
            // A renewal that failed is tried again at once, because the lease may run out before the next exchange.
            var attempts = 0
            while (!renew() && ++attempts < MAXIMUM_RENEWALS) delay(RENEWAL_PAUSE_MILLIS)
        }
        observe()
    }

    /** The others must learn at once which engines this VM controls. */
    private fun isRenewalDue(): Boolean = isLeaving || engines.keys != publishedEngines ||
        now() - renewedAt >= state.lease.renewalMillis - RENEWAL_SLACK_MILLIS

    private suspend fun renew(): Boolean {
        val (from, difference) = basis ?: return false
        val record = control.decide { ownRecord(from.millis) }
        val put = TableOperation.Put(memberKey(options.vm), tolerantJson.encodeToString(record))
        val askedAt = now()
        val nextDifference = clockDifference()
        val isRenewed = table.write(listOf(put)) == WriteResult.COMMITTED
        if (isRenewed) {
            control.decide {
                state.lease.renewed(from, difference)
                renewedAt = askedAt
                publishedEngines = record.engines.mapTo(HashSet()) { it.server }
            }
            clock.latestMillis?.let { basis = TableTime(it, askedAt) to nextDifference }
        }
        if (isRenewed != wasRenewed) log.event("member record", "renewed" to isRenewed, "renewal" to record.renewal)
        wasRenewed = isRenewed
        return isRenewed
    }

    private fun ownRecord(tableMillis: Long) = MemberRecord(
        address = options.peerAddress,
        domain = options.domain,
        incarnation = incarnation,
        renewal = ++renewal,
        isLeaving = isLeaving,
        engines = if (isLeaving) emptyList() else engines.values.map { it.state() },
        tableMillis = tableMillis,
    )

    private suspend fun observe() {
        val askedAt = now()
        val difference = clockDifference()
        // A lease counts only from a time that this VM has asked the store for.
        val reading = records.read(mayFollow = basis != null) ?: return
        if (reading.isOwn) basis = TableTime(reading.tableMillis, askedAt) to difference
        control.decide {
            state.lease.updateMembers(reading.members, reading.tableMillis)
            state.membersChanged(state.lease.liveMembers, state.lease.overdueMembers)
        }
    }

    /** Follows the registered servers and the lease. Call on the control thread, several times a second. */
    fun tick() {
        if (!state.lease.isValid(now(), clockDifference())) {
            if (engines.isNotEmpty()) log.event("lease lapsed", "engines" to engines.keys.sorted())
            dropAll()
            return
        }
        val registered = state.selection.registered
        engines.keys.filter { it !in registered }.forEach(::drop)
        registered.values.forEach { server -> engines[server.id]?.server = server }
        state.lease.retain(registered.keys)
        assignModels()
        if (isTaking || isLeaving) return
        val vacant = registered.values.filter { isEngine(it) && it.id !in engines }
            .filter { state.lease.isCandidate(it.id, now()) }
        if (vacant.isEmpty()) return
        isTaking = true
        scope.launch {
            try {
                vacant.forEach { take(it) }
            } finally {
                control.decide { isTaking = false }
            }
        }
    }

    /** Newer versions of adapters were announced. Call on the control thread. */
    fun versionsAnnounced() = engines.values.forEach(::announceVersions)

    private fun announceVersions(engine: ControlledEngine) =
        state.operator.adapterVersions.forEach { (adapter, version) -> engine.announced(adapter, version) }

    /** Gives all engines up; no order is sent after this. Call on the control thread. */
    fun dropAll() = engines.keys.toList().forEach(::drop)

    private fun drop(server: ServerId) {
        engines.remove(server)?.stop()
        log.event("control of an engine ended", "server" to server)
    }

    private fun isEngine(server: RegisteredServer) =
        !server.isDraining && state.operator.configuration?.services?.get(server.service)?.engine != null

    /** An empty engine gets the base model that the fewest engines hold. */
    private fun assignModels() = engines.values.filter { it.isEmpty }.forEach { engine ->
        val profile = state.operator.configuration?.services?.get(engine.server.service)?.engine ?: return@forEach
        val held = state.members.values.flatMap { it.engines }.flatMap { it.adapters.keys }
        val holders = held.groupingBy { it }.eachCount()
        engine.assignModel(profile.models.minByOrNull { holders[it.name] ?: 0 }?.name)
    }

    private suspend fun take(server: RegisteredServer) {
        val read = table.readRecord<ControllerRecord>(controllerKey(server.id)) ?: return
        val reading = read.value?.let { VersionedControllerRecord(it, read.version) }
        val due =
            control.decide { state.lease.decideTakeover(server.id, reading, now()) } as? TakeoverDecision.Due ?: return
        val operations = buildList {
            val record = tolerantJson.encodeToString(due.record)
            add(TableOperation.Put(controllerKey(server.id), record, due.expectedVersion))
            due.former?.let { (vm, version) -> add(TableOperation.Check(memberKey(vm), version)) }
        }
        val result = table.write(operations)
        if (result == WriteResult.COMMITTED) control.decide { began(server, due.record.fence, reading?.record?.vm) }
    }

    private fun began(server: RegisteredServer, fence: Long, former: VmId?) {
        val profile = state.operator.configuration?.services?.get(server.service)?.engine ?: return
        log.event("control of an engine taken", "server" to server.id, "fence" to fence, "former" to former)
        val mayOrder = { !isLeaving && state.lease.isValid(now(), clockDifference()) }
        val engine = ControlledEngine(server, fence, options.vm.text, profile, orders, control, mayOrder, now)
        engines.put(server.id, engine)?.stop()
        announceVersions(engine)
        engine.start(scope)
    }
}

/** The wall clock less the monotonic clock, in milliseconds; it changes when the VM was suspended. */
internal fun clockDifference(): Long = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MILLI
