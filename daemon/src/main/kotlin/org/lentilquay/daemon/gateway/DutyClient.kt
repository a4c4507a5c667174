/*
 * The interface of the platform for the duties that one VM at a time performs for the fleet, and their settings.
 */
package org.lentilquay.daemon.gateway

import org.lentilquay.coordination.gateway.usage.UsageOptions
import org.lentilquay.state.TeamId
import org.lentilquay.state.gateway.ScaleTarget

/** The duties of this deployment; [usage] is null if usage is not reported. */
data class DutyOptions(val usage: UsageOptions?, val scalesServers: Boolean, val windowMillis: Long)

/** The outcome of a call for a duty. */
enum class DutyOutcome {
    ACCEPTED,

    /** The platform takes no more calls at present. */
    THROTTLED,

    /** The platform answered with an error. */
    REFUSED,

    /** No byte was sent: the platform was not reached, or the call was no longer allowed. */
    NOT_SENT,

    /** The call was sent without an answer; it may have taken effect. */
    LOST,
}

/**
 * Calls the platform for a duty with the fencing number of its holder. Opening a connection takes time, so `mayWrite`
 * is asked again right before a call is written. There is one call at a time.
 */
interface DutyClient {
    /** Reports the [counts] of requests of [window]. */
    suspend fun reportUsage(
        window: Long,
        counts: Map<TeamId, Long>,
        fence: Long,
        mayWrite: suspend () -> Boolean,
    ): DutyOutcome

    /** Orders [desired] backend servers for [target]. */
    suspend fun orderServers(
        target: ScaleTarget,
        desired: Int,
        fence: Long,
        mayWrite: suspend () -> Boolean,
    ): DutyOutcome
}
