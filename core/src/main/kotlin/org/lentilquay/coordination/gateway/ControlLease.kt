/*
 * Which engines this VM controls. Control is named by a record in the table; it passes to another VM only after the
 * lease of the former one is over, and after a time that covers the orders on their way and the pause that engines need
 * between orders of two VMs. A VM gives orders only within its own lease. A VM whose lease lapsed reads the records
 * again before it orders.
 *
 * Leases are compared on the clock of the table service, so that a VM that has just started knows at once how old the
 * others' records are, and no lease seems to lapse while the table service is out of reach. A holder counts its lease
 * on its own monotonic clock, from the sending of the call whose answer gave the time in its record: that moment is not
 * later than the time in the record.
 *
 * Single-threaded use; `now` is the monotonic clock of this VM in milliseconds, `table` times are those of the table
 * service.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.MemberRecord

/** Orders are given for this long after the moment from which the lease counts; docs/platform.md, section 5. */
const val ORDER_LEASE_MILLIS: Long = 6_000

/** Time for an order that was sent at the end of a lease to arrive. */
private const val ORDER_TRANSIT_MILLIS = 500L

/** A clock that ran ahead of the other by more than this shows a suspension, in milliseconds. */
private const val SUSPENSION_MILLIS = 400L

/** A member that has not renewed for this long is replaced; a VM that restarts is back within a few seconds. */
private const val GONE_MILLIS = 15_000L

/** A member that missed this many renewals is not asked for anything. */
private const val SILENT_RENEWALS = 3

/** Fleets of more members than this renew half as often: each renewal is a write to the one table that all share. */
private const val LARGE_FLEET = 24
private const val RENEWAL_MILLIS = 1_000L
private const val LARGE_FLEET_RENEWAL_MILLIS = 2_000L

/**
 * Members that try to take a vacant engine, best rank first; the next one tries this much later: one transaction. In
 * large fleets most of those who try before the first one's record is read only make a call in vain.
 */
private const val NEXT_CANDIDATE_MILLIS = 300L
private const val LARGE_FLEET_NEXT_CANDIDATE_MILLIS = 900L

/**
 * How long a VM that found another controller in the record of an engine trusts it, while no live member says that it
 * controls the engine; the controller says so with its next renewal, which others read up to a second later.
 */
private const val TRUSTED_MILLIS = 5_000L

/** A time of the table service, with the monotonic time of this VM at which the call that it answered was sent. */
data class TableTime(val millis: Long, val sentAt: Long)

/** A member record with its version in the table. */
data class VersionedMemberRecord(val record: MemberRecord, val version: Long)

/** A controller record with its version in the table. */
data class VersionedControllerRecord(val record: ControllerRecord, val version: Long)

/** What can be done about an engine without a known controller. */
sealed interface TakeoverDecision {
    /** Write [record] if the present one has [expectedVersion] and the member record of [former] its version. */
    data class Due(val record: ControllerRecord, val expectedVersion: Long, val former: Pair<VmId, Long>?) :
        TakeoverDecision

    data object NotDue : TakeoverDecision
}

class ControlLease(
    private val own: VmId,
    private val incarnation: Incarnation,
    /** Time that engines need between orders of two VMs, in milliseconds. */
    private val pauseMillis: Long,
) {
    /** [sinceMillis] is the table's time of the first reading of this version. */
    private class Seen(val reading: VersionedMemberRecord, val sinceMillis: Long)

    private var seen: Map<VmId, Seen> = emptyMap()
    private var observedMillis = 0L
    private val vacantSince = HashMap<ServerId, Long>()

    /**
     * The controllers that records of engines named when this VM read them last, with the time of that. What names this
     * VM stays: its own engines are the first that it looks for after its lease had lapsed.
     */
    private val named = HashMap<ServerId, Named>()

    private class Named(val vm: VmId, val readAt: Long)
    private var countsFrom: Long? = null
    private var clockDifference = 0L

    /** The members whose leases had not lapsed at the last reading, with their records. */
    var liveMembers: Map<VmId, MemberRecord> = emptyMap()
        private set

    /** The members that missed several renewals before the last reading. */
    var overdueMembers: Set<VmId> = emptySet()
        private set

    /** The engines that live members other than this VM control. */
    private var controlledByOthers: Set<ServerId> = emptySet()

    /** The members that are up as far as their renewals tell. */
    private var candidates: Set<VmId> = emptySet()

    /** The number of members that have a record and did not leave in order, also those that lapsed. */
    val knownMembers: Int get() = seen.values.count { !it.reading.record.isLeaving }

    private val isLargeFleet get() = liveMembers.size > LARGE_FLEET

    /** How often the members of this fleet renew their records, in milliseconds. */
    val renewalMillis: Long get() = if (isLargeFleet) LARGE_FLEET_RENEWAL_MILLIS else RENEWAL_MILLIS

    private val nextCandidateMillis get() =
        if (isLargeFleet) LARGE_FLEET_NEXT_CANDIDATE_MILLIS else NEXT_CANDIDATE_MILLIS

    private val lapseMillis get() = ORDER_LEASE_MILLIS + ORDER_TRANSIT_MILLIS + pauseMillis

    /** The members that had not renewed for so long at the last reading that they are taken to be gone for good. */
    fun departedMembers(): Set<VmId> = seen.filterValues { ageMillis(it) > GONE_MILLIS }.keys

    private fun ageMillis(member: Seen) = observedMillis - member.reading.record.tableMillis

    /** Takes in all member records, read when the table's clock showed [tableMillis]. */
    fun updateMembers(readings: Map<VmId, VersionedMemberRecord>, tableMillis: Long) {
        observedMillis = maxOf(observedMillis, tableMillis)
        seen = readings.mapValues { (vm, reading) ->
            seen[vm]?.takeIf { it.reading.version >= reading.version } ?: Seen(reading, tableMillis)
        }
        liveMembers = seen
            .filterValues { !it.reading.record.isLeaving && ageMillis(it) < lapseMillis }
            .mapValues { it.value.reading.record }
        overdueMembers = seen.filterValues { ageMillis(it) > renewalMillis * SILENT_RENEWALS }.keys - own
        controlledByOthers = (liveMembers - own).values.flatMap { it.engines }.mapTo(HashSet()) { it.server }
        candidates = liveMembers.keys - overdueMembers
    }

    /**
     * A renewal took effect whose record names the time [basis]; [difference] is the wall clock less the monotonic
     * clock when the call of [basis] was sent.
     */
    fun renewed(basis: TableTime, difference: Long) {
        countsFrom = maxOf(countsFrom ?: basis.sentAt, basis.sentAt)
        clockDifference = difference
    }

    /** Whether orders may be given at [now]. A suspension shows only as a change of the [difference] of the clocks. */
    fun isValid(now: Long, difference: Long): Boolean {
        val since = countsFrom ?: return false
        return now - since < ORDER_LEASE_MILLIS && kotlin.math.abs(difference - clockDifference) < SUSPENSION_MILLIS
    }

    /** Whether [server] has no controller among the live members and this VM is next to take it. */
    fun isCandidate(server: ServerId, now: Long): Boolean {
        if (server in controlledByOthers || own !in liveMembers) {
            vacantSince.remove(server)
            return false
        }
        val since = vacantSince.getOrPut(server) { now }
        val holder = named[server]?.takeIf { it.vm == own || now - it.readAt < TRUSTED_MILLIS }?.vm
        if (holder != null && holder != own && !mayFollow(holder)) return false
        val rank = rendezvousRanking(server.text, candidates) { it.text }.indexOf(own)
        return holder == own || now - since >= rank * nextCandidateMillis
    }

    /** Forgets the engines that are not [registered] any more. */
    fun retain(registered: Set<ServerId>) {
        vacantSince.keys.retainAll(registered)
        named.keys.retainAll(registered)
    }

    /** What to do about [server], whose controller record was read just now; null stands for no record. */
    fun decideTakeover(server: ServerId, reading: VersionedControllerRecord?, now: Long): TakeoverDecision {
        val fence = (reading?.record?.fence ?: 0) + 1
        val record = ControllerRecord(own, incarnation, fence)
        val former = reading?.record?.vm
        if (former != null) named[server] = Named(former, now)
        if (former == null || former == own) return TakeoverDecision.Due(record, reading?.version ?: 0, null)
        val known = seen[former]
        if (known == null || !mayFollow(former)) return TakeoverDecision.NotDue
        return TakeoverDecision.Due(record, reading.version, former to known.reading.version)
    }

    /** Whether the engines of [former] can be taken: its lease is over, or it has left, and its last order as well. */
    private fun mayFollow(former: VmId): Boolean {
        val known = seen[former] ?: return false
        // The time in the record may be from before the last order, so a VM that left is waited for from its reading.
        val leftMillis = observedMillis - known.sinceMillis
        val hasLeft = known.reading.record.isLeaving && leftMillis >= pauseMillis + ORDER_TRANSIT_MILLIS
        return hasLeft || ageMillis(known) >= lapseMillis
    }
}
