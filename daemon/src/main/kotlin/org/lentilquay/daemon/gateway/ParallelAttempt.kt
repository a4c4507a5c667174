/*
 * An attempt that is made beside a slow one of the same request.
 */
package org.lentilquay.daemon.gateway

import kotlinx.coroutines.Deferred
import kotlinx.coroutines.cancelAndJoin

internal class ParallelAttempt(
    val target: AttemptTarget,
    /** The slow attempt beside which this one is made. */
    val beside: SlowAttempt,
    /** The end of this attempt; a failure if it threw an exception. */
    val end: Deferred<Result<AttemptOutcome>>,
) {
    /** Whether this attempt goes on when the slow one ends without a response. */
    val canFollow: Boolean get() = beside.decided != SlowOutcome.RESUMED

    /** Ends this attempt, because the slow one goes on or the request has ended. */
    suspend fun stop() {
        beside.resume()
        end.cancelAndJoin()
    }
}
