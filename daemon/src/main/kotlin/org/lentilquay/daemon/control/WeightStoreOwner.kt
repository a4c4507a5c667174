/*
 * Grants load permits of the weight store while this VM is its owner. Docs: docs/design.md, section 4.10.
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
 * Grants permits while this VM owns the weight store. Requests that must wait are long-polled, so that a load starts as
 * soon as a permit is free and waiting loads cost few messages. Used on the control thread, except [request].
 */
class WeightStoreOwner(
    private val settings: WeightStoreSettings,
    private val control: ControlThread,
    private val now: () -> Long,
) {
    /** The resource name of the weight store in ownership records. */
    val resource: String = "weight-store/${settings.name}"
    private var permits: LoadPermits? = null
    private val waiting = ConcurrentHashMap<String, CompletableDeferred<PeerAnswer>>()

    /** Whether requests are waiting, so that [advance] must be called; callable from any thread. */
    val hasWaitingRequests: Boolean get() = waiting.isNotEmpty()

    /**
     * This VM owns the weight store with the fencing number [fence] since [since]. The first owner has no predecessor
     * whose loads it must wait for. Returns whether the ownership is new.
     */
    fun acquired(fence: Long, since: Long): Boolean {
        if (permits != null) return false
        val ownedSince = if (fence == FIRST_FENCE) since - LOAD_TAKEOVER_WAIT_MILLIS else since
        permits = LoadPermits(wholeRate(settings), settings.parallelLoads, ownedSince)
        return true
    }

    /** This VM does not own the weight store; returns whether it did until now. */
    fun lost(): Boolean {
        waiting.keys.forEach { answer(it, PeerAnswer.NotOwner(null)) }
        return (permits != null).also { permits = null }
    }

    /** The process on [vm] has ended. */
    fun memberGone(vm: VmId) {
        permits?.memberGone(vm, now())
        advance()
    }

    /** Grants free permits to waiting requests. */
    fun advance() {
        permits?.grantFree(now(), waiting::containsKey)?.forEach { answer(it, PeerAnswer.Permit(true, 0)) }
    }

    /** Answers a request of [from] for a permit, after up to one long poll. Callable from any thread. */
    suspend fun request(from: VmId, request: PeerRequest.LoadPermit): PeerAnswer {
        val answer = CompletableDeferred<PeerAnswer>()
        val immediate = control.decide { requestOrWait(from, request, answer) }
        if (immediate != null) return immediate
        withTimeoutOrNull(LONG_POLL_MILLIS) { answer.await() }?.let { return it }
        control.decide { waiting.remove(request.loadId, answer) }
        return if (answer.isCompleted) answer.await() else PeerAnswer.Permit(false, 0)
    }

    /** Returns a permit or withdraws a request; false if this VM is not the owner. */
    fun done(request: PeerRequest.LoadDone): Boolean {
        val owned = permits ?: return false
        owned.done(request.loadId, now())
        answer(request.loadId, PeerAnswer.Permit(false, LOAD_POLL_MILLIS))
        advance()
        return true
    }

    /** The answer, or null if the request must wait; [later] is completed then. */
    private fun requestOrWait(
        from: VmId,
        request: PeerRequest.LoadPermit,
        later: CompletableDeferred<PeerAnswer>,
    ): PeerAnswer? {
        val owned = permits ?: return PeerAnswer.NotOwner(null)
        // A repeated request replaces the earlier one, whose caller no longer waits.
        answer(request.loadId, PeerAnswer.Permit(false, 0))
        val result = owned.request(request.loadId, from, request.waitingRequests, now())
        if (result.isGranted) return PeerAnswer.Permit(true, 0)
        waiting[request.loadId] = later
        return null
    }

    private fun answer(loadId: String, answer: PeerAnswer) {
        waiting.remove(loadId)?.complete(answer)
    }
}

/** Permits are counted as whole loads per second, so the fraction of the rate is dropped; at least 1. */
internal fun wholeRate(settings: WeightStoreSettings): Int = settings.loadsPerSecond.toInt().coerceAtLeast(1)

/** Duration of a long poll; shorter than the 900 ms for which callers wait for an answer. */
private const val LONG_POLL_MILLIS = 600L
private const val FIRST_FENCE = 1L
