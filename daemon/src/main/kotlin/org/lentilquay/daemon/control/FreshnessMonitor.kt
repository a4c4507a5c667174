/*
 * Judges several times a second whether this VM may rely on its configuration, publishes the verdict for traffic
 * threads, and cuts keyed calls that may no longer run. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.coordination.configuration.ConfigurationStore
import org.lentilquay.coordination.configuration.FreshnessState
import org.lentilquay.coordination.configuration.FreshnessTracker
import org.lentilquay.coordination.membership.Membership
import org.lentilquay.coordination.membership.OwnStatus
import org.lentilquay.daemon.logs.event
import org.lentilquay.daemon.requests.ActiveCalls
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure

private val log = KotlinLogging.logger {}

class FreshnessMonitor(
    private val store: ConfigurationStore,
    private val freshness: FreshnessTracker,
    private val membership: Membership,
    private val activeCalls: ActiveCalls,
    private val isLoaded: () -> Boolean,
    /** Compares the head with the table out of turn. */
    private val confirmHead: () -> Unit,
    private val now: () -> Long,
) {
    /** The last verdict; callable from any thread. */
    @Volatile
    var state: FreshnessState = FreshnessState.ISOLATED
        private set

    private var confirmedAt = 0L

    /** Judges again. Call on the control thread. */
    fun evaluate() {
        val reachability = membership.reachability(now())
        val next = freshness.state(now(), store.revision, reachability, isLoaded())
        val isRecovering = next == FreshnessState.OUTAGE && reachability.tableReachableByPeer
        if (isRecovering && now() - confirmedAt >= CONFIRM_MILLIS) {
            confirmedAt = now()
            confirmHead()
        }
        if (next == state) return
        log.event("freshness of the configuration changed", "from" to state, "to" to next)
        state = next
        if (next == FreshnessState.ISOLATED) {
            val failure = Failure(ErrorKind.KEY_WITHDRAWN, "this VM cannot confirm that the key is in force")
            activeCalls.abortByKey(failure) { true }
        }
    }

    /** Cuts the calls whose keys are no longer in force. */
    fun cutWithdrawnKeys() {
        val access = store.access
        activeCalls.abortByKey(Failure(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")) { !access.isInForce(it) }
    }

    /** What this VM tells its peers. Call on the control thread. */
    fun ownStatus(isReady: Boolean): OwnStatus = OwnStatus(
        revision = store.revision,
        tableReachable = freshness.isTableReachable(now()),
        revisionCurrent = freshness.isConfirmedByTable(now(), store.revision),
        ready = isReady,
    )
}

/** Least interval, in milliseconds, between two comparisons out of turn. */
private const val CONFIRM_MILLIS = 300L
