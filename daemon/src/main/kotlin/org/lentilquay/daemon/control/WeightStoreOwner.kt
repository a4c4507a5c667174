/*
 * Load permits of the weight store: this VM's part as the store's owner. Docs: docs/design.md, section 4.10.
 */
package org.lentilquay.daemon.control

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull
import org.lentilquay.coordination.loads.LOAD_POLL_MILLIS
import org.lentilquay.coordination.loads.LOAD_TAKEOVER_WAIT_MILLIS
import org.lentilquay.coordination.loads.LoadPermits
import org.lentilquay.daemon.settings.WeightStoreSettings
import org.lentilquay.daemon.timer.ControlThread
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.VmId
import java.util.concurrent.ConcurrentHashMap

/**
 * Gives out permits while this VM owns the store. A request that has to wait is held for a moment, so that its load
 * starts as soon as a permit is free and waiting loads cost few messages. Used on the control thread, but for
 * [request].
 */
class WeightStoreOwner(
    private val settings: WeightStoreSettings,
    private val control: ControlThread,
    private val now: () -> Long,
) {
    /** The name of the store among owned resources. */
    val resource: String = "weight-store/${settings.name}"
    private var permits: LoadPermits? = null
    private val held = ConcurrentHashMap<String, CompletableDeferred<PeerAnswer>>()

    /** Whether requests are held, so that [advance] has something to do; callable from any thread. */
    val isHolding: Boolean get() = held.isNotEmpty()

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
    fun lost(): Boolean {
        held.keys.forEach { answer(it, PeerAnswer.NotOwner(null)) }
        return (permits != null).also { permits = null }
    }

    /** The process on [vm] ended. */
    fun memberGone(vm: VmId) {
        permits?.memberGone(vm, now())
        advance()
    }

    /** Gives what is free to the held requests. */
    fun advance() {
        permits?.grantFree(now(), held::containsKey)?.forEach { answer(it, PeerAnswer.Permit(true, 0)) }
    }

    /** Answers a request of [from] for a permit. */
    suspend fun request(from: VmId, request: PeerRequest.LoadPermit): PeerAnswer {
        val answer = CompletableDeferred<PeerAnswer>()
        val immediate = control.decide { ask(from, request, answer) }
        if (immediate != null) return immediate
        withTimeoutOrNull(HOLD_MILLIS) { answer.await() }?.let { return it }
        control.decide { held.remove(request.loadId, answer) }
        return if (answer.isCompleted) answer.await() else PeerAnswer.Permit(false, 0)
    }

    /** Takes a permit back; false if this VM is not the owner. */
    fun done(request: PeerRequest.LoadDone): Boolean {
        val owned = permits ?: return false
        owned.done(request.loadId, now())
        answer(request.loadId, PeerAnswer.Permit(false, LOAD_POLL_MILLIS))
        advance()
        return true
    }

    /** The answer, or null if the request is held. */
    private fun ask(
        from: VmId,
        request: PeerRequest.LoadPermit,
        later: CompletableDeferred<PeerAnswer>,
    ): PeerAnswer? {
        val owned = permits ?: return PeerAnswer.NotOwner(null)
        // A repeated request takes the place of the one before, whose caller does not wait any more.
        answer(request.loadId, PeerAnswer.Permit(false, 0))
        val result = owned.request(request.loadId, from, request.waitingRequests, now())
        if (result.isGranted) return PeerAnswer.Permit(true, 0)
        held[request.loadId] = later
        return null
    }

    private fun answer(loadId: String, answer: PeerAnswer) {
        held.remove(loadId)?.complete(answer)
    }
}

/** Permits count whole loads in any second, so a fraction of the rate is not used. */
internal fun wholeRate(settings: WeightStoreSettings): Int = settings.loadsPerSecond.toInt().coerceAtLeast(1)

/** How long, in milliseconds, the owner holds a request that has to wait; callers wait 900 ms for an answer. */
private const val HOLD_MILLIS = 600L
private const val FIRST_FENCE = 1L
