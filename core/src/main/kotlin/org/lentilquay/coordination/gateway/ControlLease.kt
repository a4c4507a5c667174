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
    /** [sinceMillis] is the table time at which this VM first read this version. */
    private class Member(val row: VersionedMemberRecord, val sinceMillis: Long)

    private var members: Map<VmId, Member> = emptyMap()

    /** The table time of the last reading of the member records. */
    private var observedMillis = 0L

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

    private fun ageMillis(member: Member) = observedMillis - member.row.record.tableMillis

    /** Replaces the member records by [readings], which were read at the table time [tableMillis]. */
    fun updateMembers(readings: Map<VmId, VersionedMemberRecord>, tableMillis: Long) {
        observedMillis = maxOf(observedMillis, tableMillis)
        members = readings.mapValues { (vm, row) ->
            members[vm]?.takeIf { it.row.version >= row.version } ?: Member(row, tableMillis)
        }
        liveMembers = members
            .filterValues { !it.row.record.isLeaving && ageMillis(it) < expiryMillis }
            .mapValues { it.value.row.record }
        overdueMembers = members.filterValues { ageMillis(it) > renewalMillis * OVERDUE_RENEWALS }.keys - own
        controlledByOthers = (liveMembers - own).values.flatMap { fences(it) }.mapTo(HashSet()) { it.first }
        fencesOfOthers = (members - own).values.flatMap { fences(it.row.record) }
            .groupingBy { it.first }
            .fold(0L) { highest, (_, fence) -> maxOf(highest, fence) }
        val present = liveMembers.keys - overdueMembers
        if (present != candidates) ranks.clear()
        candidates = present
    }

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
        if (subject in controlledByOthers || own !in liveMembers) {
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
    fun decideTakeover(subject: ControlSubject, reading: VersionedControllerRecord?, now: Long): TakeoverDecision {
        val fence = (reading?.record?.fence ?: 0) + 1
        val record = ControllerRecord(own, incarnation, fence)
        if (reading == null) return TakeoverDecision.Due(record, 0, null)
        val former = reading.record
        recordedControllers[subject] = RecordedController(former, now)
        return when {
            former.vm == own -> TakeoverDecision.Due(record, reading.version, null)
            !mayReplace(former) -> TakeoverDecision.NotDue
            former.releasedMillis != null -> TakeoverDecision.Due(record, reading.version, null)
            else -> TakeoverDecision.Due(record, reading.version, former.vm to members.getValue(former.vm).row.version)
        }
    }

    /**
     * Whether the subject of [record] can be taken over: its controller released it, left, or its lease expired, and
     * the last order or call of the controller has arrived.
     */
    private fun mayReplace(record: ControllerRecord): Boolean {
        if (record.releasedMillis != null) return observedMillis - record.releasedMillis >= handoverMillis
        val member = members[record.vm] ?: return false
        // A VM that left may have sent orders after the time in its record, so the wait counts from the first reading.
        val hasLeft = member.row.record.isLeaving && observedMillis - member.sinceMillis >= handoverMillis
        return hasLeft || ageMillis(member) >= expiryMillis
    }
}

private fun fences(record: MemberRecord): List<Pair<ControlSubject, Long>> =
    record.engines.map { ControlSubject.Engine(it.server) to it.fence } +
        record.duties.map { ControlSubject.Duty(it.subject) to it.fence }
