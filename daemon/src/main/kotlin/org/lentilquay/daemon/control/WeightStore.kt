/*
 * Load permits of the weight store: this VM's part as the store's owner, and its way to the owner. Docs:
 * docs/design.md, section 4.10.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.delay
import org.lentilquay.coordination.loads.FallbackPermits
import org.lentilquay.coordination.loads.LOAD_POLL_MILLIS
import org.lentilquay.coordination.loads.LOAD_TAKEOVER_WAIT_MILLIS
import org.lentilquay.coordination.loads.LoadPermitAnswer
import org.lentilquay.coordination.loads.LoadPermits
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Gives out permits while this VM owns the store. Used on the control thread. */
class WeightStoreOwner(private val settings: WeightStoreSettings, private val now: () -> Long) {
    /** The name of the store among owned resources. */
    val resource: String = "weight-store/${settings.name}"
    private var permits: LoadPermits? = null

    /** This VM became the owner with [fence]; the first owner ever has no predecessor whose loads it must wait for. */
    fun acquired(fence: Long, since: Long) {
        val ownedSince = if (fence == FIRST_FENCE) since - LOAD_TAKEOVER_WAIT_MILLIS else since
        if (permits == null) permits = LoadPermits(wholeRate(settings), settings.parallelLoads, ownedSince)
    }

    fun lost() {
        permits = null
    }

    /** The answer to a request for a permit; null if this VM is not the owner. */
    fun request(request: PeerRequest.LoadPermit): PeerAnswer? =
        permits?.request(request.loadId, request.waitingRequests, now())?.let {
            PeerAnswer.Permit(it.isGranted, it.retryAfterMillis)
        }

    /** Takes a permit back; false if this VM is not the owner. */
    fun done(request: PeerRequest.LoadDone): Boolean = permits?.done(request.loadId, now()) != null
}

/** Asks the owner of the store for permits, and uses an equal share of the rate while no owner answers. */
class FleetLoadPermits(
    private val settings: WeightStoreSettings,
    private val owner: WeightStoreOwner,
    private val owners: OwnerCalls,
    private val control: ControlThread,
    private val memberCount: () -> Int,
    private val now: () -> Long,
) : LoadPermitSource {
    private val numbers = AtomicLong(now())
    private val loadIds = ConcurrentHashMap<Pair<ServerId, AdapterVersion>, String>()
    private val fallback = FallbackPermits(wholeRate(settings))
    private var isFallback = false
    private var hasMetOwner = false

    override suspend fun acquire(server: ServerId, adapter: AdapterVersion, waitingRequests: Int) {
        val loadId = loadIds.computeIfAbsent(server to adapter) { "$server/$adapter/${numbers.incrementAndGet()}" }
        val request = PeerRequest.LoadPermit(loadId, settings.name, server, adapter, waitingRequests)
        while (true) {
            val answer = owners.ask(ServerId(owner.resource), request)
            val permit = if (answer is PeerAnswer.Permit) {
                control.decide {
                    isFallback = false
                    hasMetOwner = true
                }
                LoadPermitAnswer(answer.granted, answer.retryAfterMillis)
            } else {
                control.decide { requestFallback(loadId) }
            }
            if (permit.isGranted) return
            delay(permit.retryAfterMillis.coerceIn(MINIMUM_PAUSE_MILLIS, LOAD_POLL_MILLIS))
        }
    }

    override suspend fun release(server: ServerId, adapter: AdapterVersion) {
        val loadId = loadIds.remove(server to adapter) ?: return
        control.decide { fallback.done(loadId) }
        owners.deliver(ServerId(owner.resource), PeerRequest.LoadDone(loadId, settings.name))
    }

    private fun requestFallback(loadId: String): LoadPermitAnswer {
        if (!isFallback && hasMetOwner) fallback.begin(now())
        isFallback = true
        return fallback.request(loadId, memberCount(), now())
    }
}

/** Permits count whole loads in any second, so a fraction of the rate is not used. */
private fun wholeRate(settings: WeightStoreSettings): Int = settings.loadsPerSecond.toInt().coerceAtLeast(1)

private const val MINIMUM_PAUSE_MILLIS = 10L
private const val FIRST_FENCE = 1L
