/*
 * Applies changes to a configuration. [apply] checks first and is what plans and confirmations use. [replay] makes a
 * change that was already confirmed, without checks: every VM must reach the same state from the same log, also when
 * the VM that confirmed the change ran a build with other checks.
 */
package org.lentilquay.state

import org.lentilquay.state.internal.ConfigurationChecks
import org.lentilquay.state.internal.ConfigurationDraft

/**
 * The configuration at [revision], which must follow this one, with [change] made. A batch takes effect as a whole.
 * If the change has problems, the failure's message lists all of them, one a line, and nothing changes.
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
    checks.checkAndMake(change)
    return if (checks.problems.isEmpty()) {
        Outcome.Success(draft.toConfiguration(revision))
    } else {
        failed(ErrorKind.MALFORMED_REQUEST, checks.problems.joinToString("\n"))
    }
}

/** Every problem of [change] at this configuration, empty if it can be applied. */
fun Configuration.problemsOf(change: ConfigurationChange): List<String> =
    ConfigurationChecks(ConfigurationDraft(this)).also { it.checkAndMake(change) }.problems

/** The configuration at [revision] with the confirmed [changes] made in their order. */
fun Configuration.replay(changes: List<ConfigurationChange>, revision: Long): Configuration =
    ConfigurationDraft(this).also { changes.forEach(it::make) }.toConfiguration(revision)
