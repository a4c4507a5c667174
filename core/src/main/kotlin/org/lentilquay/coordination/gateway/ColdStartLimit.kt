/*
 * Keeps the fleet within the request rate that a backend server can take during a cold start. A few VMs, chosen by
 * rendezvous hashing, each get an equal part of the rate as a token bucket with a burst of one request; the others send
 * nothing to the cold server. Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId

private const val MILLIS_PER_SECOND = 1_000.0

/** Fraction of the rate that is used, so that no second exceeds the rate although all token buckets start full. */
private const val USED_RATE_FRACTION = 0.6

class ColdStartLimit(private val own: VmId) {
    private class ColdServer(var until: Long) {
        var tokens = 0.0
        var refilledAt = 0L

        /** The rate of this VM, in requests per second; null until it is computed for the current members. */
        var rate: Double? = null
    }

    private val cold = HashMap<ServerId, ColdServer>()

    /** [server] is cold until [until], or until the end that was set before if that is later. */
    fun becameCold(server: ServerId, until: Long) {
        val entry = cold.getOrPut(server) { ColdServer(until) }
        entry.until = maxOf(entry.until, until)
    }

    fun isCold(server: ServerId, now: Long): Boolean = (cold[server]?.until ?: 0) > now

    /**
     * Takes a token for a request to [server], which can take [perSecond] requests while it is cold. Returns false if
     * there is none; a server that is not cold needs none.
     */
    fun tryAcquire(server: ServerId, perSecond: Double, members: Collection<VmId>, now: Long): Boolean {
        val entry = cold[server] ?: return true
        if (entry.until <= now) {
            cold.remove(server)
            return true
        }
        val rate = entry.rate ?: ownRate(server, perSecond, members).also { entry.rate = it }
        val earned = (now - entry.refilledAt).coerceIn(0, MILLIS_PER_SECOND.toLong()) * rate / MILLIS_PER_SECOND
        entry.tokens = minOf(1.0, entry.tokens + earned)
        entry.refilledAt = now
        if (entry.tokens < 1) return false
        entry.tokens -= 1
        return true
    }

    /** Call when the members change; the rate of each VM depends on them. */
    fun membersChanged() = cold.values.forEach { it.rate = null }

    private fun ownRate(server: ServerId, perSecond: Double, members: Collection<VmId>): Double {
        val rate = perSecond * USED_RATE_FRACTION
        val sharers = rate.toInt().coerceIn(1, members.size.coerceAtLeast(1))
        val rank = rendezvousRanking(server.text, members) { it.text }.indexOf(own)
        return if (rank in 0 until sharers) rate / sharers else 0.0
    }
}
