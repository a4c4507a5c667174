/*
 * Determines several times a second whether this VM's configuration is fresh enough to act on, publishes the result for
 * request threads, and cancels calls whose keys may no longer be valid. Docs: docs/design.md, section 4.5.
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
    /** Starts a check of the configuration head that is not on schedule. */
    private val confirmHead: () -> Unit,
    private val now: () -> Long,
) {
    /** The state as last evaluated; readable from any thread. */
    @Volatile
    var state: FreshnessState = FreshnessState.ISOLATED
        private set

    private var checkStartedAt = 0L

    /** Evaluates the freshness again and acts on changes. Call on the control thread. */
    fun evaluate() {
        val reachability = membership.reachability(now())
        val next = freshness.state(now(), store.revision, reachability, isLoaded())
        val isRecovering = next == FreshnessState.OUTAGE && reachability.tableReachableByPeer
        if (isRecovering && now() - checkStartedAt >= MINIMUM_CHECK_INTERVAL_MILLIS) {
            checkStartedAt = now()
            confirmHead()
        }
        if (next == state) return
        log.event("freshness of the configuration changed", "from" to state, "to" to next)
        state = next
        if (next == FreshnessState.ISOLATED) {
            val failure = Failure(ErrorKind.KEY_WITHDRAWN, "this VM cannot confirm that the key is still valid")
            activeCalls.abortByKey(failure) { true }
        }
    }

    /** Cancels the calls whose keys were withdrawn. */
    fun cancelCallsOfWithdrawnKeys() {
        val access = store.access
        activeCalls.abortByKey(Failure(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn")) { !access.isInForce(it) }
    }

    /** The status that this VM announces to its peers. Call on the control thread. */
    fun ownStatus(isReady: Boolean): OwnStatus = OwnStatus(
        revision = store.revision,
        tableReachable = freshness.isTableReachable(now()),
        revisionCurrent = freshness.isConfirmedByTable(now(), store.revision),
        ready = isReady,
    )
}

/** Minimum interval between two head checks that are not on schedule. */
private const val MINIMUM_CHECK_INTERVAL_MILLIS = 300L
