/*
 * Membership of this VM and control of engines and duties: renews the member record of this VM, reads those of the
 * others, and takes control of engines and duties that have no controller. The record also carries the state of this
 * VM's engines, so that one write and one read a second inform all VMs. Large fleets write every two seconds, and most
 * VMs read from a reader instead of the table service.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.lentilquay.coordination.gateway.ControlSubject
import org.lentilquay.coordination.gateway.DutyControl
import org.lentilquay.coordination.gateway.TableTime
import org.lentilquay.coordination.gateway.isCandidate
import org.lentilquay.daemon.control.readRecord
import org.lentilquay.daemon.control.tolerantJson
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.DutyRecord
import org.lentilquay.state.gateway.MemberRecord
import org.lentilquay.state.gateway.RegisteredServer
import org.lentilquay.state.gateway.memberKey
import org.lentilquay.transport.platform.TableService
import org.lentilquay.transport.platform.TransactResult

private val log = KotlinLogging.logger {}
private const val NANOS_PER_MILLI = 1_000_000L

/** Attempts to write one renewal, and the delay between them. */
private const val MAXIMUM_RENEWAL_ATTEMPTS = 3
private const val RENEWAL_RETRY_MILLIS = 250L

/** Attempts to read the member records in one era; a second return within one reading is left to the next exchange. */
private const val MAXIMUM_READ_ATTEMPTS = 2

/** A renewal is due this much earlier than its interval, because the exchanges do not come at exact intervals. */
private const val RENEWAL_SLACK_MILLIS = 200L

class EngineControlLoop(
    private val options: GatewayOptions,
    private val incarnation: Incarnation,
    private val state: GatewayState,
    private val table: TableService,
    private val clock: TableClock,
    private val records: MemberRecordReader,
    private val client: EngineControlClient,
    private val control: ControlThread,
    private val scope: CoroutineScope,
    private val now: () -> Long,
    private val quarantines: QuarantineExchange,
    /** The wall clock minus the monotonic clock, in milliseconds. It changes when the VM is suspended. */
    private val clockDifference: () -> Long = ::systemClockDifference,
    private val renewalContent: RenewalContent = RenewalContent(),
) : LeaseWatch {
    private val dutyLoop = DutyLoop(options.vm, table, clock, state.lease, control, now, clockDifference)
    private val takeover = ControlTakeover(table, clock, state.lease, this, control, now)
    private val eras = EraLoop(table, clock, state.lease, control, options.isBootstrap)
    private val engines = HashMap<ServerId, ControlledEngine>()
    private var renewal = 0L
    private var isTakingControl = false

    override var lapses: Long = 0L
        private set
    private var wasRenewed = false
    private var renewedAt = Long.MIN_VALUE / 2

    /** The engines in the member record as it was last written. */
    private var publishedEngines: Set<ServerId> = emptySet()
    private var publishedDuties: List<DutyRecord> = emptyList()

    /** The table time from which the next renewal extends the lease, and the [clockDifference] at that time. */
    private var leaseBasis: Pair<TableTime, Long>? = null

    /**
     * The version of this VM's member record, which the next renewal expects; null if an earlier renewal may have
     * changed it, so that it must be read first.
     */
    private var recordVersion: Long? = null

    /** The era of the table service in which [recordVersion] was read or written. */
    private var recordEra: Long? = null

    /** A write of the member record, and what the lease is based on once it has taken effect. */
    private class Renewal(val record: MemberRecord, val basis: TableTime, val difference: Long, val sentAt: Long)

    /** The last renewal if its answer was lost. */
    private var unconfirmed: Renewal? = null

    /** Set during a planned stop; the record then says that this VM leaves, and no control is taken. */
    @Volatile
    var isLeaving: Boolean = false

    /** The duties of the fleet, for the code that performs them. */
    val duties: DutyControl get() = dutyLoop

    /** The number of duties that this VM holds. Readable from any thread. */
    val heldDuties: Int get() = dutyLoop.heldCount

    /** The engine [server], or null if this VM does not control it. Call on the control thread. */
    fun engine(server: ServerId): ControlledEngine? = engines[server]

    /** Renews this VM's member record if that is due, and reads all member records. Call once a second. */
    suspend fun exchangeRecords() {
        if (leaseBasis == null) readRecords()
        if (control.decide { isRenewalDue() }) {
            // A failed renewal is retried here, because the lease may expire before the next exchange.
            var attempts = 0
            while (!renew() && ++attempts < MAXIMUM_RENEWAL_ATTEMPTS) delay(RENEWAL_RETRY_MILLIS)
        }
        readRecords()
    }

    /**
     * A change of the controlled engines and duties is published at once, besides the renewals at their interval,
     * because other VMs learn from the member records which VM controls an engine or duty.
     */
    private fun isRenewalDue(): Boolean = isLeaving || engines.keys != publishedEngines ||
        dutyLoop.records != publishedDuties ||
        now() - renewedAt >= state.lease.renewalMillis - RENEWAL_SLACK_MILLIS

    private suspend fun renew(): Boolean {
        val expectedVersion = recordVersion.takeIf { recordEra == clock.latestEra } ?: readBack() ?: return false
        val readEra = recordEra
        val (from, difference) = leaseBasis ?: return false
        val (record, additions) = control.decide {
            ownRecord(from, difference) to renewalContent.additionalWrites()
        }
        // A transaction without an answer may still take effect later; the condition keeps it from replacing a newer
        // renewal, which would let the lease look expired to other VMs while it is valid here.
        val put = TableOperation.Put(memberKey(options.vm), tolerantJson.encodeToString(record), expectedVersion)
        val renewal = Renewal(record, from, difference, sentAt = now())
        val nextDifference = clockDifference()
        val result = table.transact(listOf(put) + additions, readEra)
        val isRenewed = result is TransactResult.Committed && result.era == readEra
        unconfirmed = renewal.takeIf { result is TransactResult.OutcomeUnknown }
        recordVersion = when (result) {
            is TransactResult.Committed -> result.versions[put.key].takeIf { isRenewed }
            is TransactResult.Unavailable -> expectedVersion
            is TransactResult.Conflict, is TransactResult.OutcomeUnknown, is TransactResult.OtherEra -> null
        }
        if (result is TransactResult.Conflict) {
            log.event("renewal conflicted", "renewal" to record.renewal, "expectedVersion" to expectedVersion)
        }
        if (isRenewed) {
            tookEffect(renewal)
            clock.latestMillis?.let { leaseBasis = TableTime(it, renewal.sentAt) to nextDifference }
        }
        if (isRenewed != wasRenewed) log.event("member record", "renewed" to isRenewed, "renewal" to record.renewal)
        wasRenewed = isRenewed
        return isRenewed
    }

    private suspend fun tookEffect(renewal: Renewal) = control.decide {
        // Must come before the lease is extended: it may have expired since the last tick, so that another VM took the
        // engines over.
        releaseIfExpired()
        state.lease.renewed(renewal.basis, renewal.difference)
        renewedAt = renewal.sentAt
        publishedEngines = renewal.record.engines.mapTo(HashSet()) { it.server }
        publishedDuties = renewal.record.duties
    }

    /**
     * Reads the version of this VM's member record, 0 if there is none; null if the table service does not answer. An
     * unconfirmed renewal counts if the record shows that it took effect.
     */
    private suspend fun readBack(): Long? {
        val askedAt = now()
        val difference = clockDifference()
        val read = table.readRecord<MemberRecord>(memberKey(options.vm)) ?: return null
        // In another era, a record shows only that the copy has it.
        val isSame = read.value?.incarnation == incarnation &&
            read.value.renewal == unconfirmed?.record?.renewal && read.value.era == read.era
        unconfirmed?.takeIf { isSame }?.let { tookEffect(it) }
        unconfirmed = null
        clock.latestMillis?.let { leaseBasis = TableTime(it, askedAt) to difference }
        recordEra = read.era
        return read.version
    }

    private fun ownRecord(from: TableTime, difference: Long) = MemberRecord(
        address = options.peerAddress,
        domain = options.domain,
        incarnation = incarnation,
        renewal = ++renewal,
        isLeaving = isLeaving,
        engines = if (isLeaving) emptyList() else engines.values.map { it.state() },
        tableMillis = from.millis,
        quarantines = quarantines.published(from),
        leavingServers = state.notices.observedLeaving,
        linkMegabits = options.linkMegabits,
        era = recordEra,
        duties = if (isLeaving) emptyList() else dutyLoop.records,
        wallOffsetMillis = (from.sentAt + difference - from.millis).takeIf { renewalContent.hasWallOffset() },
    )

    private suspend fun readRecords() {
        repeat(MAXIMUM_READ_ATTEMPTS) {
            val era = clock.latestEra
            val askedAt = now()
            val difference = clockDifference()
            // A lease may be based only on a time that this VM itself has read from the table service.
            val reading = records.read(mayFollow = leaseBasis != null) ?: return
            if (reading.isOwn) leaseBasis = TableTime(reading.tableMillis, askedAt) to difference
            // Records that may have been read in a former era are not used: their versions say nothing in this one.
            if (eras.follow() && clock.latestEra == era) return updateMembers(reading, askedAt, era)
        }
    }

    private suspend fun updateMembers(reading: MemberSnapshot, askedAt: Long, era: Long?) {
        control.decide {
            state.lease.updateMembers(reading.members, reading.tableMillis, era)
            state.membersChanged(state.lease.liveMembers, state.lease.overdueMembers)
            // The records of departed VMs and of the former process on this VM count as well.
            val at = TableTime(reading.tableMillis, askedAt)
            reading.members.filterNot { (vm, row) -> vm == options.vm && row.record.incarnation == incarnation }
                .forEach { (_, row) -> quarantines.adopt(row.record.quarantines, at) }
        }
    }

    /**
     * Applies changes of the lease and of the registered servers. Call on the control thread, several times a second.
     */
    fun tick() {
        if (releaseIfExpired()) return
        val registered = state.selection.registered
        engines.keys.filter { it !in registered }.forEach(::release)
        engines.values.toList().forEach(::releaseIfSuperseded)
        dutyLoop.releaseSuperseded()
        registered.values.forEach { server -> engines[server.id]?.server = server }
        state.lease.retain(dutyLoop.subjects + registered.keys.map(ControlSubject::Engine))
        assignModels()
        if (isTakingControl || isLeaving) return
        val uncontrolled = registered.values.filter { isEngine(it) && it.id !in engines }
            .filter { state.lease.isCandidate(it.id, now()) }
        val vacantDuties = dutyLoop.vacant()
        val outdated = takeover.outdated(engines.keys.map(ControlSubject::Engine) + dutyLoop.held)
        if (uncontrolled.isEmpty() && vacantDuties.isEmpty() && outdated.isEmpty()) return
        isTakingControl = true
        scope.launch {
            try {
                outdated.forEach { rewrite(it) }
                vacantDuties.forEach { duty -> takeover.take(duty) { dutyLoop.taken(duty, it) } }
                uncontrolled.forEach { server ->
                    takeover.take(ControlSubject.Engine(server.id)) { started(server, it.record.fence, it.former) }
                }
            } finally {
                control.decide { isTakingControl = false }
            }
        }
    }

    private suspend fun rewrite(subject: ControlSubject) = when (subject) {
        is ControlSubject.Duty -> control.decide { dutyLoop.fenceOf(subject.subject) }?.let { fence ->
            takeover.rewrite(subject, fence, { dutyLoop.renumbered(subject, it) }) { dutyLoop.lost(subject, it.fence) }
        }
        is ControlSubject.Engine -> control.decide { engines[subject.server] }?.let { engine ->
            takeover.rewrite(subject, engine.fence, { engine.renumbered(it.record.fence) }) {
                superseded(engine, it.fence)
            }
        }
    }

    /** Gives up the duties of this VM, at the begin of a planned stop; it takes none afterwards. */
    suspend fun releaseDuties() = dutyLoop.release()

    override fun releaseIfExpired(): Boolean {
        if (state.lease.isValid(now(), clockDifference())) return false
        lapses++
        if (engines.isNotEmpty()) log.event("lease lapsed", "engines" to engines.keys.sorted())
        releaseAll()
        dutyLoop.lapsed()
        return true
    }

    /** Ends control of [engine] if another VM has taken it over. */
    private fun releaseIfSuperseded(engine: ControlledEngine) {
        val subject = ControlSubject.Engine(engine.server.id)
        state.lease.supersedingFence(subject, engine.fence)?.let { superseded(engine, it) }
    }

    private fun superseded(engine: ControlledEngine, successor: Long) {
        val server = engine.server.id
        if (engines[server] !== engine) return
        log.event("superseded as controller", "server" to server, "fence" to engine.fence, "successor" to successor)
        release(server)
    }

    /** Passes announced adapter versions on to all controlled engines. Call on the control thread. */
    fun versionsAnnounced() = engines.values.forEach(::announceVersions)

    private fun announceVersions(engine: ControlledEngine) =
        state.operator.adapterVersions.forEach { (adapter, version) -> engine.versionAnnounced(adapter, version) }

    /** Ends control of all engines; no further order is sent. Call on the control thread. */
    fun releaseAll() = engines.keys.toList().forEach(::release)

    private fun release(server: ServerId) {
        engines.remove(server)?.stop()
        log.event("control of an engine ended", "server" to server)
    }

    private fun isEngine(server: RegisteredServer) =
        !server.isDraining && state.operator.configuration?.services?.get(server.service)?.engine != null

    /** Assigns to each empty engine the base model that the fewest engines hold. */
    private fun assignModels() = engines.values.filter { it.isEmpty }.forEach { engine ->
        val profile = state.operator.configuration?.services?.get(engine.server.service)?.engine ?: return@forEach
        val loadedModels = state.members.values.flatMap { it.engines }.flatMap { it.adapters.keys }
        val enginesByModel = loadedModels.groupingBy { it }.eachCount()
        engine.assignModel(profile.models.minByOrNull { enginesByModel[it.name] ?: 0 }?.name)
    }

    private fun started(server: RegisteredServer, fence: Long, former: VmId?) {
        val profile = state.operator.configuration?.services?.get(server.service)?.engine ?: return
        val (formerRecord, formerAgeMillis) = former?.let { state.lease.recordWithAge(it) } ?: (null to null)
        log.event(
            "control of an engine taken",
            "server" to server.id,
            "fence" to fence,
            "former" to former,
            "formerRenewal" to formerRecord?.renewal,
            "formerAgeMillis" to formerAgeMillis,
        )
        val mayOrder = { !isLeaving && state.lease.mayOrder(now(), clockDifference()) }
        // The number of servers may fall by what adapters in use leave free.
        val limits = state.operator.configuration?.services?.get(server.service)?.autoscale
        val usedMillis = limits?.let { it.bootMillis * 2 }
        val engine =
            ControlledEngine(server, fence, options.vm.text, profile, client, control, mayOrder, now, usedMillis)
        engines.put(server.id, engine)?.stop()
        announceVersions(engine)
        engine.start(scope)
    }
}

private fun systemClockDifference(): Long = System.currentTimeMillis() - System.nanoTime() / NANOS_PER_MILLI
