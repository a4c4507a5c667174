/*
 * Calls to the owner of a backend server, wherever it is. The owner is cached; an answer that names another owner, or a
 * call that fails, makes the next call look it up again in the ownership record.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.ConcurrentHashMap

/** Reaches a VM of the fleet, this one included. */
interface PeerCaller {
    val own: VmId

    suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult
}

class OwnerClient(
    private val fleet: PeerCaller,
    /** Reads the owner from the ownership record, or guesses it if the table service does not answer. */
    private val lookUp: suspend (ServerId) -> VmId?,
    private val now: () -> Long,
) {
    private class Known(val owner: VmId?, val at: Long)

    private val known = ConcurrentHashMap<ServerId, Known>()

    /** The owner of [server] as far as it is known without asking. */
    fun knownOwner(server: ServerId): VmId? = known[server]?.owner

    /** Notes that [owner] owns [server]. */
    fun learned(server: ServerId, owner: VmId) {
        known[server] = Known(owner, now())
    }

    /** Asks the owner of [server]; null if no owner answered. */
    suspend fun ask(server: ServerId, request: PeerRequest): PeerAnswer? {
        var owner = ownerOf(server) ?: return null
        repeat(MAXIMUM_REDIRECTS) {
            val answer = (fleet.call(owner, request, ASK_MILLIS) as? PeerCallResult.Answered)?.answer
            val redirect = (answer as? PeerAnswer.NotOwner)?.owner
            when {
                answer != null && answer !is PeerAnswer.NotOwner -> return answer
                redirect != null && redirect != owner -> {
                    learned(server, redirect)
                    owner = redirect
                }
                else -> {
                    forget(server, owner)
                    return null
                }
            }
        }
        return null
    }

    /** Brings [message] to the owner of [server], again until it was taken or the attempts are used up. */
    suspend fun deliver(server: ServerId, message: PeerRequest) {
        repeat(DELIVERY_ATTEMPTS) { attempt ->
            val owner = ownerOf(server)
            val answer = owner?.let { (fleet.call(it, message, ASK_MILLIS) as? PeerCallResult.Answered)?.answer }
            if (answer is PeerAnswer.Done) return
            val redirect = (answer as? PeerAnswer.NotOwner)?.owner
            if (redirect != null) learned(server, redirect) else owner?.let { forget(server, it) }
            delay(DELIVERY_PAUSE_MILLIS * (attempt + 1))
        }
    }

    private suspend fun ownerOf(server: ServerId): VmId? {
        val cached = known[server]
        if (cached != null && (cached.owner != null || now() - cached.at < ABSENT_MILLIS)) return cached.owner
        val owner = lookUp(server)
        known[server] = Known(owner, now())
        return owner
    }

    /** Drops the cached owner unless another one was learned in the meantime. */
    private fun forget(server: ServerId, owner: VmId) {
        known.computeIfPresent(server) { _, cached -> cached.takeIf { it.owner != owner } }
    }
}

/** Bound on one call, in milliseconds; it covers the time for which an owner holds a poll. */
private const val ASK_MILLIS = 900L
private const val MAXIMUM_REDIRECTS = 3
private const val DELIVERY_ATTEMPTS = 8
private const val DELIVERY_PAUSE_MILLIS = 100L

/** A server without an owner is looked up again after this time, in milliseconds, to spare the table service. */
private const val ABSENT_MILLIS = 200L
