/*
 * Calls the owner of a backend server, which may be this VM. The owner is cached: a redirect updates the cache, and
 * after a failed call the owner is looked up again in the ownership record. Thread-safe; times are in milliseconds.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import org.lentilquay.state.VmId
import org.lentilquay.transport.peer.PeerCallResult
import java.util.concurrent.ConcurrentHashMap

/** Calls a VM of the fleet, which may be this one. */
interface PeerCaller {
    /** The id of this VM. */
    val own: VmId

    /** Sends [request] to [vm] and waits up to [timeoutMillis] for the answer. */
    suspend fun call(vm: VmId, request: PeerRequest, timeoutMillis: Long): PeerCallResult
}

class OwnerClient(
    private val peers: PeerCaller,
    /** Reads the owner from the ownership record, or estimates it if the table service does not answer. */
    private val lookUp: suspend (ServerId) -> VmId?,
    private val now: () -> Long,
) {
    private class CachedOwner(val owner: VmId?, val at: Long)

    private val cachedOwners = ConcurrentHashMap<ServerId, CachedOwner>()

    /** The cached owner of [server], or null. */
    fun knownOwner(server: ServerId): VmId? = cachedOwners[server]?.owner

    /** Caches [owner] as the owner of [server]. */
    fun cacheOwner(server: ServerId, owner: VmId) {
        cachedOwners[server] = CachedOwner(owner, now())
    }

    /** Sends [request] to the owner of [server], following redirects; null if no owner answered. */
    suspend fun ask(server: ServerId, request: PeerRequest): PeerAnswer? {
        var owner = ownerOf(server) ?: return null
        repeat(MAXIMUM_REDIRECTS) {
            val answer = (peers.call(owner, request, CALL_TIMEOUT_MILLIS) as? PeerCallResult.Answered)?.answer
            val redirect = (answer as? PeerAnswer.NotOwner)?.owner
            when {
                answer != null && answer !is PeerAnswer.NotOwner -> return answer
                redirect != null && redirect != owner -> {
                    cacheOwner(server, redirect)
                    owner = redirect
                }
                else -> {
                    removeOwner(server, owner)
                    return null
                }
            }
        }
        return null
    }

    /** Sends [message] to the owner of [server] and retries until it is acknowledged or the attempts are used up. */
    suspend fun deliver(server: ServerId, message: PeerRequest) {
        repeat(DELIVERY_ATTEMPTS) { attempt ->
            val owner = ownerOf(server)
            val answer = owner?.let {
                (peers.call(it, message, CALL_TIMEOUT_MILLIS) as? PeerCallResult.Answered)?.answer
            }
            if (answer is PeerAnswer.Done) return
            val redirect = (answer as? PeerAnswer.NotOwner)?.owner
            if (redirect != null) cacheOwner(server, redirect) else owner?.let { removeOwner(server, it) }
            delay(DELIVERY_RETRY_DELAY_MILLIS * (attempt + 1))
        }
    }

    private suspend fun ownerOf(server: ServerId): VmId? {
        val cached = cachedOwners[server]
        if (cached != null && (cached.owner != null || now() - cached.at < NO_OWNER_CACHE_MILLIS)) return cached.owner
        val owner = lookUp(server)
        cachedOwners[server] = CachedOwner(owner, now())
        return owner
    }

    /** Removes [owner] from the cache unless it was replaced in the meantime. */
    private fun removeOwner(server: ServerId, owner: VmId) {
        cachedOwners.computeIfPresent(server) { _, cached -> cached.takeIf { it.owner != owner } }
    }
}

/** Timeout of one call; longer than owners hold a long poll. */
private const val CALL_TIMEOUT_MILLIS = 900L
private const val MAXIMUM_REDIRECTS = 3
private const val DELIVERY_ATTEMPTS = 8

/** Delay before the first retry; it grows linearly with the number of attempts. */
private const val DELIVERY_RETRY_DELAY_MILLIS = 100L

/** For this long, a server without an owner is not looked up again, to limit the reads from the table service. */
private const val NO_OWNER_CACHE_MILLIS = 200L
