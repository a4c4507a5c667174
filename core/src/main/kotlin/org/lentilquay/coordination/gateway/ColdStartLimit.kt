/*
 * Holds the fleet to the request rate that a cold backend server bears. A few VMs, found by rank, each have an equal
 * part of the rate with room for one request at a time; the others send nothing to a cold server. Single-threaded use;
 * times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId

private const val MILLIS_PER_SECOND = 1_000.0

/** The part of the rate that is used, so that requests in one second stay below it while all parts start full. */
private const val USED_PART = 0.6

class ColdStartLimit(private val own: VmId) {
    private class Cold(var until: Long) {
        var credit = 0.0
        var creditedAt = 0L
        var part: Double? = null
    }

    private val cold = HashMap<ServerId, Cold>()

    /** [server] is cold until [until]. A later end replaces an earlier one. */
    fun becameCold(server: ServerId, until: Long) {
        val known = cold.getOrPut(server) { Cold(until) }
        known.until = maxOf(known.until, until)
    }

    fun isCold(server: ServerId, now: Long): Boolean = (cold[server]?.until ?: 0) > now

    /** Whether this VM may send a request to [server], which bears [perSecond] while it is cold; counts it. */
    fun tryAcquire(server: ServerId, perSecond: Double, members: Collection<VmId>, now: Long): Boolean {
        val known = cold[server] ?: return true
        if (known.until <= now) {
            cold.remove(server)
            return true
        }
        val part = known.part ?: partOf(server, perSecond, members).also { known.part = it }
        val earned = (now - known.creditedAt).coerceIn(0, MILLIS_PER_SECOND.toLong()) * part / MILLIS_PER_SECOND
        known.credit = minOf(1.0, known.credit + earned)
        known.creditedAt = now
        if (known.credit < 1) return false
        known.credit -= 1
        return true
    }

    /** The fleet changed, and with it the part of each VM. */
    fun membersChanged() = cold.values.forEach { it.part = null }

    private fun partOf(server: ServerId, perSecond: Double, members: Collection<VmId>): Double {
        val rate = perSecond * USED_PART
        val sharers = rate.toInt().coerceIn(1, members.size.coerceAtLeast(1))
        val rank = rendezvousRanking(server.text, members) { it.text }.indexOf(own)
        return if (rank in 0 until sharers) rate / sharers else 0.0
    }
}
