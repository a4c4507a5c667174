/*
 * Client side of the weight store's load permits, for VMs that own engines. Docs: docs/design.md, section 4.10.
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

/**
 * Requests permits from the owner of the weight store. While no owner answers, this VM grants itself permits at an
 * equal share of the weight store's rate.
 */
class FleetLoadPermits(
    private val settings: WeightStoreSettings,
    private val owner: WeightStoreOwner,
    private val owners: OwnerClient,
    private val control: ControlThread,
    private val memberCount: () -> Int,
    private val now: () -> Long,
) : LoadPermitSource {
    private val fallback = FallbackLoadPermits(wholeRate(settings))
    private var isUsingFallback = false

    override fun newAttempt(server: ServerId, adapter: AdapterVersion) =
        LoadAttempt(UUID.randomUUID().toString(), server, adapter)

    override suspend fun acquire(attempt: LoadAttempt, waitingRequests: Int) {
        val request =
            PeerRequest.LoadPermit(attempt.id, settings.name, attempt.server, attempt.adapter, waitingRequests)
        while (true) {
            val answer = owners.ask(ServerId(owner.resource), request)
            val permit = if (answer is PeerAnswer.Permit) {
                control.decide { isUsingFallback = false }
                LoadPermitAnswer(answer.granted, answer.retryAfterMillis)
            } else {
                control.decide { requestFallback(attempt.id) }
            }
            if (permit.isGranted) return
            delay(permit.retryAfterMillis.coerceIn(MINIMUM_POLL_DELAY_MILLIS, LOAD_POLL_MILLIS))
        }
    }

    override suspend fun release(attempt: LoadAttempt) {
        control.decide { fallback.done(attempt.id) }
        owners.deliver(ServerId(owner.resource), PeerRequest.LoadDone(attempt.id, settings.name))
    }

    private fun requestFallback(loadId: String): LoadPermitAnswer {
        if (!isUsingFallback) fallback.ownerLost(now())
        isUsingFallback = true
        return fallback.request(loadId, memberCount(), now())
    }
}

private const val MINIMUM_POLL_DELAY_MILLIS = 10L
