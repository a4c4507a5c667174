/*
 * Runs the steps of a loop that must not end while the process runs.
 */
package org.lentilquay.daemon.gateway

import io.github.oshai.kotlinlogging.KotlinLogging
import org.lentilquay.daemon.logs.warning
import org.lentilquay.transport.describe
import org.lentilquay.transport.runSuspendCatching

private val log = KotlinLogging.logger {}

/** The steps of the loop [name]. A failed step is logged, unless the step before it failed for the same reason. */
internal class LoopSteps(private val name: String) {
    private var lastFailure: String? = null

    /** Runs [step]; returns false if it failed. Rethrows if the calling coroutine was cancelled. */
    suspend fun run(step: suspend () -> Unit): Boolean {
        val failure = runSuspendCatching { step() }.exceptionOrNull()
        val reason = failure?.let { describe(it) }
        if (reason != null && reason != lastFailure) {
            log.warning("step of a loop failed", "loop" to name, "reason" to reason, cause = failure)
        }
        lastFailure = reason
        return failure == null
    }
}
