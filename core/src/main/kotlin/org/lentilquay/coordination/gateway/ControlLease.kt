/*
 * The control lease of this VM, and the rules for taking over engines. A record in the table service names the
 * controller of each engine. Control passes to another VM only after the former controller's lease expired, plus the
 * time for orders in transit and the pause that engines need between orders of two VMs. A controller sends orders only
 * while its lease is valid. A VM whose lease expired reads the records again before it sends orders.
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
import org.lentilquay.state.ServerId
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
    /** The position of this VM in the ranking of the given members for an engine. */
    private val rankFor: (ServerId, Set<VmId>) -> Int = { server, members ->
        rendezvousRank(server.text, members, own) { it.text }
    },
) {
    /** [sinceMillis] is the table time at which this VM first read this version. */
    private class Member(val row: VersionedMemberRecord, val sinceMillis: Long)

    private var members: Map<VmId, Member> = emptyMap()

    /** The table time of the last reading of the member records. */
    private var observedMillis = 0L

    /** Since when an engine has had no live controller, on the clock of this VM. */
    private val vacantSince = HashMap<ServerId, Long>()

    /**
     * The controllers in the engine records that this VM read, with the time of the reading. Records that name this VM
     * are trusted without a time limit: after an expiry of its lease it takes its own engines back first.
     */
    private val recordedControllers = HashMap<ServerId, RecordedController>()

    private class RecordedController(val vm: VmId, val readAt: Long)

    /** The start of this VM's lease on its monotonic clock, or null before the first renewal. */
    private var leaseStart: Long? = null
    private var clockDifference = 0L

    /** The members whose leases had not expired at the last reading, with their records. */
    var liveMembers: Map<VmId, MemberRecord> = emptyMap()
        private set

    /** The members that had missed several renewals at the last reading. */
    var overdueMembers: Set<VmId> = emptySet()
        private set

    /** The engines that live members other than this VM control. */
    private var controlledByOthers: Set<ServerId> = emptySet()

    /** The highest fencing number of each engine in the records of other members, including those that expired. */
    private var fencesOfOthers: Map<ServerId, Long> = emptyMap()

    /** The live members that are not overdue. */
    private var candidates: Set<VmId> = emptySet()

    /** The rank of this VM among the [candidates] for engines without a controller, which are looked at often. */
    private val ranks = HashMap<ServerId, Int>()

    /** The number of members that did not leave in a planned stop, including those with expired leases. */
    val knownMembers: Int get() = members.values.count { !it.row.record.isLeaving }

    private val isLargeFleet get() = liveMembers.size > LARGE_FLEET_MEMBERS

    /** The interval at which members renew their records. */
    val renewalMillis: Long get() = if (isLargeFleet) LARGE_FLEET_RENEWAL_MILLIS else RENEWAL_MILLIS

    private val candidateDelayMillis get() =
        if (isLargeFleet) LARGE_FLEET_CANDIDATE_DELAY_MILLIS else CANDIDATE_DELAY_MILLIS

    /** The age of a member record from which on another VM may take over the member's engines. */
    private val expiryMillis get() = ORDER_LEASE_MILLIS + ORDER_TRANSIT_MILLIS + pauseMillis

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
        controlledByOthers = (liveMembers - own).values.flatMap { it.engines }.mapTo(HashSet()) { it.server }
        fencesOfOthers = (members - own).values.flatMap { it.row.record.engines }
            .groupingBy { it.server }
            .fold(0L) { highest, engine -> maxOf(highest, engine.fence) }
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

    /** Whether [server] has no live controller and it is this VM's turn to take it. */
    fun isCandidate(server: ServerId, now: Long): Boolean {
        if (server in controlledByOthers || own !in liveMembers) {
            vacantSince.remove(server)
            return false
        }
        val since = vacantSince.getOrPut(server) { now }
        val controller = recordedControllers[server]
            ?.takeIf { it.vm == own || now - it.readAt < TRUSTED_RECORD_MILLIS }?.vm
        if (controller != null && controller != own && !mayReplace(controller)) return false
        val rank = ranks.getOrPut(server) { rankFor(server, candidates) }
        return controller == own || now - since >= rank * candidateDelayMillis
    }

    /**
     * The fencing number of a VM that has taken over [server] since this VM took it with the fencing number [fence];
     * null if there is none.
     */
    fun supersedingFence(server: ServerId, fence: Long): Long? = fencesOfOthers[server]?.takeIf { it > fence }

    /** Drops engines that are no longer [registered]. */
    fun retain(registered: Set<ServerId>) {
        vacantSince.keys.retainAll(registered)
        recordedControllers.keys.retainAll(registered)
        ranks.keys.retainAll(registered)
    }

    /** Decides about [server] by its controller record, which was read just now; null means that there is none. */
    fun decideTakeover(server: ServerId, reading: VersionedControllerRecord?, now: Long): TakeoverDecision {
        val fence = (reading?.record?.fence ?: 0) + 1
        val record = ControllerRecord(own, incarnation, fence)
        val former = reading?.record?.vm
        if (former != null) recordedControllers[server] = RecordedController(former, now)
        if (former == null || former == own) return TakeoverDecision.Due(record, reading?.version ?: 0, null)
        val member = members[former]
        if (member == null || !mayReplace(former)) return TakeoverDecision.NotDue
        return TakeoverDecision.Due(record, reading.version, former to member.row.version)
    }

    /** Whether the engines of [former] can be taken over: it left or its lease expired, and its last order arrived. */
    private fun mayReplace(former: VmId): Boolean {
        val member = members[former] ?: return false
        // A VM that left may have sent orders after the time in its record, so the wait counts from the first reading.
        val leftMillis = observedMillis - member.sinceMillis
        val hasLeft = member.row.record.isLeaving && leftMillis >= pauseMillis + ORDER_TRANSIT_MILLIS
        return hasLeft || ageMillis(member) >= expiryMillis
    }
}
