/*
 * The control lease of this VM, and the rules for taking over engines and duties. A record in the table service names
 * the controller of each engine and the holder of each duty, which is called its controller here as well. Control
 * passes to another VM only after the former controller's lease expired, plus the time for orders in transit and the
 * pause that engines need between orders of two VMs. A controller sends orders only while its lease is valid. A VM
 * whose lease expired reads the records again before it sends orders.
 *
 * The leases of other VMs are measured on the clock of the table service. A VM that has just started thus knows the age
 * of the records at once, and no lease seems to expire while the table service is unreachable. A VM measures its own
 * lease on its monotonic clock, from the sending of the call whose answer gave the time in its record; that moment is
 * never later than the time in the record.
 *
 * The table service may return from a copy, in a new era. A record in the copy may be older than the lease that its VM
 * holds, and may name a VM that has since lost the subject. No VM takes anything over until a full expiry after it
 * first saw the era. A controller whose lease is valid goes on, and writes its records again.
 *
 * Single-threaded use; `now` is the monotonic clock of this VM in milliseconds, `table` times are milliseconds on the
 * clock of the table service.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRank
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.MemberRecord

/** Length of a control lease; docs/platform.md, section 5. */
const val ORDER_LEASE_MILLIS: Long = 6_000

/** Time for an order that was sent at the end of a lease to reach the engine. */
private const val ORDER_TRANSIT_MILLIS = 500L

/**
 * No order begins in this last part of a lease: connecting and sending may take 600 ms, which is longer than
 * [ORDER_TRANSIT_MILLIS].
 */
private const val ORDER_MARGIN_MILLIS = 200L

/**
 * No call for a duty is written in this last part of a lease: a call is given up 1 s after it began, of which
 * [ORDER_TRANSIT_MILLIS] may lie after the lease.
 */
private const val CALL_MARGIN_MILLIS = 500L

/** A larger change of the difference between wall clock and monotonic clock means that the VM was suspended. */
private const val CLOCK_TOLERANCE_MILLIS = 400L

/** A member that has not renewed for this long has departed; a VM that restarts is back within a few seconds. */
private const val DEPARTED_MILLIS = 15_000L

/** A member that missed this many renewals is overdue and gets no calls. */
private const val OVERDUE_RENEWALS = 3

/** Fleets with more members renew half as often, because each renewal is a write to one shared table. */
private const val LARGE_FLEET_MEMBERS = 24
private const val RENEWAL_MILLIS = 1_000L
private const val LARGE_FLEET_RENEWAL_MILLIS = 2_000L

/**
 * Members try to take a vacant engine in the order of rendezvous hashing, each this much later than the one before: the
 * time of one transaction. In large fleets the members learn of the new controller later, so a longer delay saves calls
 * that would fail.
 */
private const val CANDIDATE_DELAY_MILLIS = 300L
private const val LARGE_FLEET_CANDIDATE_DELAY_MILLIS = 900L

/**
 * A controller record is trusted for this long while no live member lists the engine as its own. The new controller
 * lists it in its next renewal, which other VMs read up to a second later.
 */
private const val TRUSTED_RECORD_MILLIS = 5_000L

/** A time of the table service, and the monotonic time of this VM at which the call for it was sent. */
data class TableTime(val millis: Long, val sentAt: Long)

/** A member record with its row version. */
data class VersionedMemberRecord(val record: MemberRecord, val version: Long)

/** A controller record with its row version. */
data class VersionedControllerRecord(val record: ControllerRecord, val version: Long)

/** Whether this VM may take control of an engine. */
sealed interface TakeoverDecision {
    /**
     * Write [record] on condition that the controller record has [expectedVersion], and that the member record of the
     * [former] controller, if there is one, has the version given with it.
     */
    data class Due(val record: ControllerRecord, val expectedVersion: Long, val former: Pair<VmId, Long>?) :
        TakeoverDecision

    data object NotDue : TakeoverDecision
}

/** What a controller does about a controller record that it wrote in a former era. */
sealed interface RewriteDecision {
    /** Write [record], whose fencing number is new, on condition that the record has [expectedVersion]. */
    data class Due(val record: ControllerRecord, val expectedVersion: Long) : RewriteDecision

    /** The record is in place. */
    data object InPlace : RewriteDecision

    /** [successor] took the subject over in the present era; this VM ends its control. */
    data class Lost(val successor: ControllerRecord) : RewriteDecision

    /** The record was read in another era than the one that this VM knows; read it again. */
    data object Unknown : RewriteDecision
}

/** A controller record, or null if there is none, as read in [era] no later than the table time [tableMillis]. */
data class ControllerReading(val row: VersionedControllerRecord?, val era: Long?, val tableMillis: Long)

class ControlLease(
    private val own: VmId,
    private val incarnation: Incarnation,
    /** The pause that engines need between orders of two VMs. */
    private val pauseMillis: Long,
    /** The position of this VM in the ranking of the given members for a subject. */
    private val rankFor: (ControlSubject, Set<VmId>) -> Int = { subject, members ->
        rendezvousRank(subject.rankText, members, own) { it.text }
    },
) {
    /** [sinceMillis] is the table time at which this VM first read this version, which is one of [readEra]. */
    private class Member(val row: VersionedMemberRecord, val sinceMillis: Long, val readEra: Long?)

    private var members: Map<VmId, Member> = emptyMap()

    /** The table time of the last reading of the member records. */
    private var observedMillis = 0L

    /** The present era and its start; null if the table service has no eras. */
    var era: EraStart? = null
        private set

    /** The era in which [members] were read. */
    private var membersEra: Long? = null

    /** Since when a subject has had no live controller, on the clock of this VM. */
    private val vacantSince = HashMap<ControlSubject, Long>()

    /**
     * The controller records that this VM read, with the time of the reading. Records that name this VM are trusted
     * without a time limit: after an expiry of its lease it takes its own engines back first.
     */
    private val recordedControllers = HashMap<ControlSubject, RecordedController>()

    private class RecordedController(val record: ControllerRecord, val readAt: Long)

    /** The start of this VM's lease on its monotonic clock, or null before the first renewal. */
    private var leaseStart: Long? = null
    private var clockDifference = 0L

    /** The members whose leases had not expired at the last reading, with their records. */
    var liveMembers: Map<VmId, MemberRecord> = emptyMap()
        private set

    /** The members that had missed several renewals at the last reading. */
    var overdueMembers: Set<VmId> = emptySet()
        private set

    /** The subjects that live members other than this VM control. */
    private var controlledByOthers: Set<ControlSubject> = emptySet()

    /** The highest fencing number of each subject in the records of other members, including those that expired. */
    private var fencesOfOthers: Map<ControlSubject, Long> = emptyMap()

    /** The same for the records of all members. */
    private var knownFences: Map<ControlSubject, Long> = emptyMap()

    /** The live members that are not overdue. */
    private var candidates: Set<VmId> = emptySet()

    /** The rank of this VM among the [candidates] for subjects without a controller, which are looked at often. */
    private val ranks = HashMap<ControlSubject, Int>()

    /** The number of members that did not leave in a planned stop, including those with expired leases. */
    val knownMembers: Int get() = members.values.count { !it.row.record.isLeaving }

    private val isLargeFleet get() = liveMembers.size > LARGE_FLEET_MEMBERS

    /** The interval at which members renew their records. */
    val renewalMillis: Long get() = if (isLargeFleet) LARGE_FLEET_RENEWAL_MILLIS else RENEWAL_MILLIS

    private val candidateDelayMillis get() =
        if (isLargeFleet) LARGE_FLEET_CANDIDATE_DELAY_MILLIS else CANDIDATE_DELAY_MILLIS

    /** The age of a member record from which on another VM may take over the member's engines. */
    private val expiryMillis get() = ORDER_LEASE_MILLIS + handoverMillis

    /** The wait of the next controller after the last order of the former one. */
    private val handoverMillis get() = ORDER_TRANSIT_MILLIS + pauseMillis

    /** The members that at the last reading had not renewed for so long that they count as permanently gone. */
    fun departedMembers(): Set<VmId> = members.filterValues { ageMillis(it) > DEPARTED_MILLIS }.keys

    /** The member record of [vm] at the last reading, with its age in milliseconds; null if there was none. */
    fun recordWithAge(vm: VmId): Pair<MemberRecord, Long>? = members[vm]?.let { it.row.record to ageMillis(it) }

    private fun ageMillis(member: Member): Long {
        val record = member.row.record
        val since = era?.takeIf { it.isFormer(record.era) }?.sinceMillis ?: return observedMillis - record.tableMillis
        return observedMillis - maxOf(record.tableMillis, since)
    }

    /** Whether every lease that was in force before the present era has been renewed since, or has expired. */
    private fun isSettled(): Boolean = era?.let { observedMillis - it.sinceMillis >= expiryMillis } ?: true

    /** The table service is in a new era. */
    fun eraStarted(start: EraStart) {
        if (start.era <= (era?.era ?: -1)) return
        era = start
        recordedControllers.clear()
    }

    /**
     * Replaces the member records by [readings], which were read in the era [readEra] at the table time [tableMillis].
     * Of members that have not renewed in the present era, the newest known record counts, which the table service may
     * have lost.
     */
    fun updateMembers(readings: Map<VmId, VersionedMemberRecord>, tableMillis: Long, readEra: Long? = null) {
        observedMillis = maxOf(observedMillis, tableMillis)
        membersEra = readEra
        val lost = if (isSettled()) emptyMap() else members.filter { (vm, known) -> vm !in readings && isLost(known) }
        members = readings.mapValues { (vm, row) ->
            val known = members[vm]
            when {
                known == null -> Member(row, tableMillis, readEra)
                known.readEra == readEra && known.row.version >= row.version -> known
                era?.isFormer(row.record.era) == true && isNewer(known.row.record, row.record) ->
                    Member(VersionedMemberRecord(known.row.record, row.version), tableMillis, readEra)
                else -> Member(row, tableMillis, readEra)
            }
        } + lost.mapValues { (_, known) -> Member(VersionedMemberRecord(known.row.record, 0), tableMillis, readEra) }
        liveMembers = members
            .filterValues { !it.row.record.isLeaving && ageMillis(it) < expiryMillis }
            .mapValues { it.value.row.record }
        overdueMembers = members.filterValues { ageMillis(it) > renewalMillis * OVERDUE_RENEWALS }.keys - own
        controlledByOthers = (liveMembers - own).values.flatMap { fences(it) }.mapTo(HashSet()) { it.first }
        knownFences = highestFences(members.values)
        fencesOfOthers = highestFences((members - own).values)
        val present = liveMembers.keys - overdueMembers
        if (present != candidates) ranks.clear()
        candidates = present
    }

    private fun isLost(member: Member) = era?.isFormer(member.row.record.era) == true

    private fun isNewer(one: MemberRecord, other: MemberRecord) =
        one.incarnation > other.incarnation || one.incarnation == other.incarnation && one.renewal > other.renewal

    private fun highestFences(members: Collection<Member>): Map<ControlSubject, Long> =
        members.flatMap { fences(it.row.record) }
            .groupingBy { it.first }
            .fold(0L) { highest, (_, fence) -> maxOf(highest, fence) }

    /**
     * A renewal with the time [basis] in its record took effect. [difference] is the wall clock minus the monotonic
     * clock at the time when the call for [basis] was sent.
     */
    fun renewed(basis: TableTime, difference: Long) {
        leaseStart = maxOf(leaseStart ?: basis.sentAt, basis.sentAt)
        clockDifference = difference
    }

    /**
     * Whether the lease is valid at [now]. The monotonic clock stands still while the VM is suspended, so a suspension
     * shows only as a change of [difference], the wall clock minus the monotonic clock.
     */
    fun isValid(now: Long, difference: Long): Boolean {
        val since = leaseStart ?: return false
        return now - since < ORDER_LEASE_MILLIS &&
            kotlin.math.abs(difference - clockDifference) < CLOCK_TOLERANCE_MILLIS
    }

    /** Whether an order that begins at [now] reaches its engine before another VM may take the engine over. */
    fun mayOrder(now: Long, difference: Long): Boolean = isValid(now + ORDER_MARGIN_MILLIS, difference)

    /** Whether a call for a duty that is written at [now] ends before another VM may take the duty over. */
    fun mayCall(now: Long, difference: Long): Boolean = isValid(now + CALL_MARGIN_MILLIS, difference)

    /** Whether [subject] has no live controller and it is this VM's turn to take it. */
    fun isCandidate(subject: ControlSubject, now: Long): Boolean {
        if (subject in controlledByOthers || own !in liveMembers || !isSettled()) {
            vacantSince.remove(subject)
            return false
        }
        val since = vacantSince.getOrPut(subject) { now }
        val controller = recordedControllers[subject]
            ?.takeIf { it.record.vm == own || now - it.readAt < TRUSTED_RECORD_MILLIS }?.record
        if (controller != null && controller.vm != own && !mayReplace(controller)) return false
        val rank = ranks.getOrPut(subject) { rankFor(subject, candidates) }
        return controller?.vm == own || now - since >= rank * candidateDelayMillis
    }

    /**
     * The fencing number of a VM that has taken over [subject] since this VM took it with the fencing number [fence];
     * null if there is none.
     */
    fun supersedingFence(subject: ControlSubject, fence: Long): Long? = fencesOfOthers[subject]?.takeIf { it > fence }

    /** Drops subjects other than [subjects]. */
    fun retain(subjects: Set<ControlSubject>) {
        vacantSince.keys.retainAll(subjects)
        recordedControllers.keys.retainAll(subjects)
        ranks.keys.retainAll(subjects)
    }

    /** Decides about [subject] by its controller record, which was read just now; null means that there is none. */
    fun decideTakeover(subject: ControlSubject, reading: VersionedControllerRecord?, now: Long): TakeoverDecision =
        decideTakeover(subject, ControllerReading(reading, era?.era, observedMillis), now)

    /** Decides about [subject] by its controller record, which was read just now. */
    fun decideTakeover(subject: ControlSubject, reading: ControllerReading, now: Long): TakeoverDecision {
        // The write has conditions on versions of the controller record and of a member record, so both must have been
        // read in the present era.
        if (reading.era != era?.era || membersEra != era?.era || !isSettled()) return TakeoverDecision.NotDue
        val record = nextRecord(subject, reading)
        val row = reading.row ?: return TakeoverDecision.Due(record, 0, null)
        val former = row.record
        recordedControllers[subject] = RecordedController(former, now)
        return when {
            former.vm == own -> TakeoverDecision.Due(record, row.version, null)
            !mayReplace(former) -> TakeoverDecision.NotDue
            former.releasedMillis != null -> TakeoverDecision.Due(record, row.version, null)
            else -> TakeoverDecision.Due(record, row.version, former.vm to (members[former.vm]?.row?.version ?: 0))
        }
    }

    /**
     * Decides about the controller record of [subject], which this VM controls with the number [fence], after a return
     * of the table service. The lease of this VM must be valid.
     */
    fun decideRewrite(subject: ControlSubject, fence: Long, reading: ControllerReading): RewriteDecision {
        val present = era
        if (reading.era != present?.era) return RewriteDecision.Unknown
        val record = reading.row?.record
        val isPresent = record != null && present?.isFormer(record.era) != true
        return when {
            record != null && isPresent && record.vm != own -> RewriteDecision.Lost(record)
            record != null && isPresent && record.incarnation == incarnation && record.fence == fence ->
                RewriteDecision.InPlace
            else -> {
                val next = nextRecord(subject, reading)
                RewriteDecision.Due(next.copy(fence = maxOf(next.fence, fence + 1)), reading.row?.version ?: 0)
            }
        }
    }

    /** The record with which this VM takes [subject]. Its number is above all that are known to have been assigned. */
    private fun nextRecord(subject: ControlSubject, reading: ControllerReading): ControllerRecord {
        val recorded = maxOf(reading.row?.record?.fence ?: 0, knownFences[subject] ?: 0)
        val fence = maxOf(recorded + 1, era?.lowestFence(reading.tableMillis) ?: 0)
        return ControllerRecord(own, incarnation, fence, era?.era)
    }

    /**
     * Whether the subject of [record] can be taken over: its controller released it, left, or its lease expired, and
     * the last order or call of the controller has arrived.
     */
    private fun mayReplace(record: ControllerRecord): Boolean {
        if (record.releasedMillis != null) return observedMillis - record.releasedMillis >= handoverMillis
        // After a return, the record of a VM that has not renewed since may be lost.
        val member = members[record.vm] ?: return era?.let { it.era > 0 } == true
        // A VM that left may have sent orders after the time in its record, so the wait counts from the first reading.
        // In the copy, the record may be that of a former process on a VM that has come back.
        val hasLeft = member.row.record.isLeaving && observedMillis - member.sinceMillis >= handoverMillis &&
            era?.isFormer(member.row.record.era) != true
        return hasLeft || ageMillis(member) >= expiryMillis
    }
}

private fun fences(record: MemberRecord): List<Pair<ControlSubject, Long>> =
    record.engines.map { ControlSubject.Engine(it.server) to it.fence } +
        record.duties.map { ControlSubject.Duty(it.subject) to it.fence }
