/*
 * Applies changes to a configuration. [apply] validates a change first; plans and confirmations use it. [replay]
 * applies confirmed changes without validation: every VM must reach the same state from the same log, even if the VM
 * that confirmed a change ran a build with other checks.
 */
package org.lentilquay.state

import org.lentilquay.state.internal.ConfigurationChecks
import org.lentilquay.state.internal.ConfigurationDraft

/**
 * Returns the configuration with [change] applied, at [revision], which must be the next one. A batch is applied as a
 * whole. If the change is invalid, the message of the failure lists every problem, one per line.
 */
fun Configuration.apply(change: ConfigurationChange, revision: Long): Outcome<Configuration> {
    if (revision != this.revision + 1) {
        return failed(
            ErrorKind.PLAN_CONFLICT,
            "revision $revision does not follow revision ${this.revision}; make a new plan",
        )
    }
    val draft = ConfigurationDraft(this)
    val checks = ConfigurationChecks(draft)
    checks.checkAndApply(change)
    return if (checks.problems.isEmpty()) {
        Outcome.Success(draft.toConfiguration(revision))
    } else {
        failed(ErrorKind.MALFORMED_REQUEST, checks.problems.joinToString("\n"))
    }
}

/** Returns every problem of [change] on this configuration; an empty list means that it can be applied. */
fun Configuration.problemsOf(change: ConfigurationChange): List<String> =
    ConfigurationChecks(ConfigurationDraft(this)).also { it.checkAndApply(change) }.problems

/** Returns the configuration at [revision] with the confirmed [changes] applied in order. */
fun Configuration.replay(changes: List<ConfigurationChange>, revision: Long): Configuration =
    ConfigurationDraft(this).also { changes.forEach(it::applyChange) }.toConfiguration(revision)
