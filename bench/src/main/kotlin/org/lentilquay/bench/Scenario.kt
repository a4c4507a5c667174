/*
 * The scenarios of `bench run`. Sizes are Emberline's of docs/design.md, section 1.5.
 */
package org.lentilquay.bench

/** Drained after a third of the time; the VM that the operator calls is in another domain. */
internal const val DRAINED_DOMAIN = "domain-2"

/** The rate of each team is this many times its mean use, so that only chance brings a team over it. */
private const val RATE_MARGIN = 3.0

/** A burst lasts this many seconds at the team's rate, and holds at least [LEAST_BURST] tokens. */
private const val BURST_SECONDS = 10.0
private const val LEAST_BURST = 6_000.0

/** A named experiment. */
enum class Scenario(val title: String, val drainsDomain: Boolean) {
    EMBERLINE_STEADY("emberline-steady", false),
    EMBERLINE_DOMAIN("emberline-domain", true),
    ;

    val fleet: FleetSize get() = FleetSize()
}

/** Tokens a second of each team, and the burst in tokens. */
class TeamLimits(workload: Workload) {
    private val meanTokens = with(workload) {
        val short = TraceRequest(0, 0, 0, 0, false, shortTokens, shortPromptBytes, 0).estimatedTokens
        val long = TraceRequest(0, 0, 0, 0, true, longTokens, longPromptBytes, 0).estimatedTokens
        short * (1 - longShare) + long * longShare
    }
    val rates: List<Double> = workload.teamShares.map { it * workload.requestsPerSecond * meanTokens * RATE_MARGIN }
    val bursts: List<Double> = rates.map { maxOf(it * BURST_SECONDS, LEAST_BURST) }
}
