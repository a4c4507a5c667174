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
import org.lentilquay.state.VmId
import java.util.concurrent.atomic.AtomicLong

/** Gives out permits while this VM owns the store. Used on the control thread. */
class WeightStoreOwner(private val settings: WeightStoreSettings, private val now: () -> Long) {
    /** The name of the store among owned resources. */
    val resource: String = "weight-store/${settings.name}"
    private var permits: LoadPermits? = null

    /**
     * This VM owns the store with [fence]; the first owner ever has no predecessor whose loads it must wait for.
     * Returns whether that is news.
     */
    fun acquired(fence: Long, since: Long): Boolean {
        if (permits != null) return false
        val ownedSince = if (fence == FIRST_FENCE) since - LOAD_TAKEOVER_WAIT_MILLIS else since
        permits = LoadPermits(wholeRate(settings), settings.parallelLoads, ownedSince)
        return true
    }

    /** This VM is not the owner; returns whether that is news. */
    fun lost(): Boolean = (permits != null).also { permits = null }

    /** The process on [vm] ended. */
    fun memberGone(vm: VmId) {
        permits?.memberGone(vm, now())
    }

    /** The answer to a request of [from] for a permit; null if this VM is not the owner. */
    fun request(from: VmId, request: PeerRequest.LoadPermit): PeerAnswer? =
        permits?.request(request.loadId, from, request.waitingRequests, now())?.let {
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
    private val fallback = FallbackPermits(wholeRate(settings))
    private var isFallback = false

    override fun plan(server: ServerId, adapter: AdapterVersion) =
        PlannedLoad("$server/$adapter/${numbers.incrementAndGet()}", server, adapter)

    override suspend fun acquire(load: PlannedLoad, waitingRequests: Int) {
        val request = PeerRequest.LoadPermit(load.id, settings.name, load.server, load.adapter, waitingRequests)
        while (true) {
            val answer = owners.ask(ServerId(owner.resource), request)
            val permit = if (answer is PeerAnswer.Permit) {
                control.decide { isFallback = false }
                LoadPermitAnswer(answer.granted, answer.retryAfterMillis)
            } else {
                control.decide { requestFallback(load.id) }
            }
            if (permit.isGranted) return
            delay(permit.retryAfterMillis.coerceIn(MINIMUM_PAUSE_MILLIS, LOAD_POLL_MILLIS))
        }
    }

    override suspend fun release(load: PlannedLoad) {
        control.decide { fallback.done(load.id) }
        owners.deliver(ServerId(owner.resource), PeerRequest.LoadDone(load.id, settings.name))
    }

    private fun requestFallback(loadId: String): LoadPermitAnswer {
        if (!isFallback) fallback.begin(now())
        isFallback = true
        return fallback.request(loadId, memberCount(), now())
    }
}

/** Permits count whole loads in any second, so a fraction of the rate is not used. */
private fun wholeRate(settings: WeightStoreSettings): Int = settings.loadsPerSecond.toInt().coerceAtLeast(1)

private const val MINIMUM_PAUSE_MILLIS = 10L
private const val FIRST_FENCE = 1L
