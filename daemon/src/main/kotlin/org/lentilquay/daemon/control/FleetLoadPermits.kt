/*
 * Load permits of the weight store: the way of a VM that owns engines to the owner of the store. Docs: docs/design.md,
 * section 4.10.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.delay
import org.lentilquay.coordination.loads.FallbackLoadPermits
import org.lentilquay.coordination.loads.LOAD_POLL_MILLIS
import org.lentilquay.coordination.loads.LoadPermitAnswer
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ServerId
import java.util.UUID

/** Asks the owner of the store for permits, and uses an equal share of the rate while no owner answers. */
class FleetLoadPermits(
    private val settings: WeightStoreSettings,
    private val owner: WeightStoreOwner,
    private val owners: OwnerClient,
    private val control: ControlThread,
    private val memberCount: () -> Int,
    private val now: () -> Long,
) : LoadPermitSource {
    private val fallback = FallbackLoadPermits(wholeRate(settings))
    private var isFallback = false

    override fun plan(server: ServerId, adapter: AdapterVersion) =
        LoadAttempt(UUID.randomUUID().toString(), server, adapter)

    override suspend fun acquire(load: LoadAttempt, waitingRequests: Int) {
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

    override suspend fun release(load: LoadAttempt) {
        control.decide { fallback.done(load.id) }
        owners.deliver(ServerId(owner.resource), PeerRequest.LoadDone(load.id, settings.name))
    }

    private fun requestFallback(loadId: String): LoadPermitAnswer {
        if (!isFallback) fallback.ownerLost(now())
        isFallback = true
        return fallback.request(loadId, memberCount(), now())
    }
}

private const val MINIMUM_PAUSE_MILLIS = 10L
