/*
 * Which engines this VM controls. Control is named by a record in the table; it passes to another VM only after the
 * member record of the former one has not changed for a time that covers the lease, the orders on their way, and the
 * pause that engines need between orders of two VMs. A VM gives orders only within its own lease, which counts from the
 * sending of the last renewal that took effect. A VM whose lease lapsed reads the records again before it orders.
 *
 * Single-threaded use; times are monotonic milliseconds of this VM.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.Incarnation
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.ControllerRecord
import org.lentilquay.state.gateway.MemberRecord

/** Orders are given for this long after the last renewal was sent. */
const val ORDER_LEASE_MILLIS: Long = 8_000

/** Time for an order that was sent at the end of a lease to arrive. */
private const val ORDER_TRANSIT_MILLIS = 500L

/** A clock that ran ahead of the other by more than this shows a suspension, in milliseconds. */
private const val SUSPENSION_MILLIS = 400L

/** A member that has not renewed for this long is replaced; a VM that restarts is back within a few seconds. */
private const val GONE_MILLIS = 15_000L

/** Members that try to take a vacant engine, best rank first; the next one tries this much later. */
private const val NEXT_CANDIDATE_MILLIS = 1_500L

/** A member record with its version in the table. */
data class MemberReading(val record: MemberRecord, val version: Long)

/** A controller record with its version in the table. */
data class ControllerReading(val record: ControllerRecord, val version: Long)

/** What can be done about an engine without a known controller. */
sealed interface TakeOver {
    /** Write [record] if the present one has [expectedVersion] and the member record of [former] its version. */
    data class Due(val record: ControllerRecord, val expectedVersion: Long, val former: Pair<VmId, Long>?) : TakeOver

    data object NotDue : TakeOver
}

class ControlLease(
    private val own: VmId,
    private val incarnation: Incarnation,
    /** Time that engines need between orders of two VMs, in milliseconds. */
    private val pauseMillis: Long,
) {
    private class Seen(var reading: MemberReading, var changedAt: Long)

    private val seen = HashMap<VmId, Seen>()
    private val vacantSince = HashMap<ServerId, Long>()
    private var renewedAt: Long? = null
    private var clockDifference = 0L

    /** The members that were seen to renew within the lapse time, with their records. */
    fun live(now: Long): Map<VmId, MemberRecord> = seen
        .filterValues { !it.reading.record.isLeaving && now - it.changedAt < lapseMillis }
        .mapValues { it.value.reading.record }

    private val lapseMillis get() = ORDER_LEASE_MILLIS + ORDER_TRANSIT_MILLIS + pauseMillis

    /** The members that have not renewed for so long that they are taken to be gone for good. */
    fun gone(now: Long): Set<VmId> =
        seen.filterValues { now - it.changedAt > GONE_MILLIS }.keys.toSet()

    /** Takes in all member records, read at [now]. */
    fun observed(readings: Map<VmId, MemberReading>, now: Long) {
        seen.keys.retainAll(readings.keys)
        readings.forEach { (vm, reading) ->
            val known = seen.getOrPut(vm) { Seen(reading, now) }
            if (reading.version > known.reading.version) {
                known.reading = reading
                known.changedAt = now
            }
        }
    }

    /** A renewal sent at [sentAt] took effect; [difference] is the wall clock less the monotonic clock at that time. */
    fun renewed(sentAt: Long, difference: Long) {
        renewedAt = maxOf(renewedAt ?: sentAt, sentAt)
        clockDifference = difference
    }

    /** Whether orders may be given at [now]. A suspension shows only as a change of the [difference] of the clocks. */
    fun isValid(now: Long, difference: Long): Boolean {
        val since = renewedAt ?: return false
        return now - since < ORDER_LEASE_MILLIS && kotlin.math.abs(difference - clockDifference) < SUSPENSION_MILLIS
    }

    /** Whether [server] has no controller among the live members and this VM is next to take it. */
    fun isCandidate(server: ServerId, now: Long): Boolean {
        val live = live(now)
        val isControlled = live.any { (vm, record) -> vm != own && record.engines.any { it.server == server } }
        if (isControlled || own !in live) {
            vacantSince.remove(server)
            return false
        }
        val since = vacantSince.getOrPut(server) { now }
        val rank = rendezvousRanking(server.text, live.keys) { it.text }.indexOf(own)
        return now - since >= rank * NEXT_CANDIDATE_MILLIS
    }

    /** What to do about [server], whose controller record was read just now; null stands for no record. */
    fun takeOver(reading: ControllerReading?, now: Long): TakeOver {
        val fence = (reading?.record?.fence ?: 0) + 1
        val record = ControllerRecord(own, incarnation, fence)
        val former = reading?.record?.vm
        if (former == null || former == own) return TakeOver.Due(record, reading?.version ?: 0, null)
        val known = seen[former] ?: return TakeOver.NotDue
        val hasLeft = known.reading.record.isLeaving && now - known.changedAt >= pauseMillis + ORDER_TRANSIT_MILLIS
        val hasLapsed = now - known.changedAt >= lapseMillis
        if (!hasLeft && !hasLapsed) return TakeOver.NotDue
        return TakeOver.Due(record, reading.version, former to known.reading.version)
    }
}
