/*
 * Logs why requests are refused by the rate of their team: how many tokens this VM lacked, and what it asked of which
 * seat holder. A team over its rate is refused many times a second, so the number of lines is limited. Thread-safe.
 */
package org.lentilquay.daemon.control

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.daemon.logs.event
import org.lentilquay.state.TeamId

private val log = KotlinLogging.logger {}

/** At most one line in this time; the next one gives the number of refusals in between. */
private const val LINE_INTERVAL_MILLIS = 1_000L

/** The last answers say most about a refusal; a request for many tokens gets up to 20 in its maximum wait. */
private const val MAXIMUM_ANSWERS = 6

internal class TokenRefusalLog(private val now: () -> Long) {
    private var loggedAt: Long? = null
    private var omitted = 0

    /**
     * Records that [requestId], which needs [tokens], was refused with [missing] of them and of those of older requests
     * of this VM still missing, or null if it was refused at once. [answers] are those of the seat holders.
     */
    @Synchronized
    fun refused(team: TeamId, requestId: String, tokens: Long, missing: Long?, answers: List<String>) {
        if (loggedAt?.let { now() - it < LINE_INTERVAL_MILLIS } == true) {
            omitted++
            return
        }
        log.event(
            "tokens refused",
            "request" to requestId,
            "team" to team,
            "tokens" to tokens,
            "missing" to missing,
            "asked" to answers.takeLast(MAXIMUM_ANSWERS),
            "omitted" to omitted,
        )
        loggedAt = now()
        omitted = 0
    }
}
