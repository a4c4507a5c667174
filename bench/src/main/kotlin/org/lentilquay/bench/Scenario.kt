/*
 * The scenarios of `bench run`: a deployment, what differs in its requests, and what happens to the fleet meanwhile.
 */
package org.lentilquay.bench

/** A burst lasts this many seconds at the team's rate, and holds at least [LEAST_BURST] tokens. */
private const val BURST_SECONDS = 10.0
private const val LEAST_BURST = 6_000.0

/** What happens to the fleet while the trace is sent. */
enum class Disturbance {
    NONE,

    /** An operator drains a failure domain and returns it. */
    DOMAIN_DRAINED,

    /** The VMs and servers of a failure domain vanish and come back empty. */
    DOMAIN_LOST,

    /** The table service answers nothing but status 503. */
    TABLE_OUTAGE,
}

/** A named experiment; [change] makes its requests from the usual ones of the deployment. */
enum class Scenario(
    val title: String,
    val summary: String,
    val deployment: Deployment,
    val disturbance: Disturbance = Disturbance.NONE,
    private val change: (Workload) -> Workload = { it },
) {
    EMBERLINE_STEADY("emberline-steady", "steady requests", Deployment.EMBERLINE),
    EMBERLINE_DOMAIN(
        "emberline-domain",
        "a failure domain is drained after a third and returned after two thirds of the time",
        Deployment.EMBERLINE,
        Disturbance.DOMAIN_DRAINED,
    ),
    EMBERLINE_DOMAIN_LOST(
        "emberline-domain-lost",
        "the VMs, engines and services of a failure domain vanish without notice and come back empty",
        Deployment.EMBERLINE,
        Disturbance.DOMAIN_LOST,
    ),
    EMBERLINE_TABLE_OUTAGE(
        "emberline-table-outage",
        "the table service refuses everything for a minute, or for a third of the time if that is shorter",
        Deployment.EMBERLINE,
        Disturbance.TABLE_OUTAGE,
    ),
    EMBERLINE_SHIFT(
        "emberline-shift",
        "other adapters become popular in the middle",
        Deployment.EMBERLINE,
        change = { it.copy(popularityShifts = true) },
    ),
    EMBERLINE_LONG_SHORT(
        "emberline-long-short",
        "four in ten requests are long summaries of 800 tokens, beside short questions",
        Deployment.EMBERLINE,
        change = { it.copy(longShare = 0.4, longTokens = 800, longPromptBytes = 4_000) },
    ),
    NOUR_STEADY("nour-steady", "steady requests", Deployment.NOUR),
    NOUR_LOUD_TEAM(
        "nour-loud-team",
        "a large team sends five times its rate; rates are 1.5 times the usual use",
        Deployment.NOUR,
        change = { it.copy(loudTeam = 0, loudFactor = 5.0, rateMargin = 1.5) },
    ),
    NOUR_BEDTIME(
        "nour-bedtime",
        "arrivals rise to twice the usual over the middle half of the run",
        Deployment.NOUR,
        change = { it.copy(peakFactor = 2.0) },
    ),
    ;

    val fleet: FleetSize get() = deployment.fleet

    /** The requests of this scenario, with [rate] usual requests a second or as many as the deployment has. */
    fun workload(rate: Double?): Workload =
        change(deployment.workload.let { it.copy(requestsPerSecond = rate ?: it.requestsPerSecond) })
}

/** Tokens a second of each team, and the burst in tokens. */
class TeamLimits(workload: Workload) {
    private val meanTokens = with(workload) {
        val short = TraceRequest(0, 0, 0, 0, false, shortTokens, shortPromptBytes, 0).estimatedTokens
        val long = TraceRequest(0, 0, 0, 0, true, longTokens, longPromptBytes, 0).estimatedTokens
        short * (1 - longShare) + long * longShare
    }
    val rates: List<Double> =
        workload.teamShares.map { it * workload.requestsPerSecond * meanTokens * workload.rateMargin }
    val bursts: List<Double> = rates.map { maxOf(it * BURST_SECONDS, LEAST_BURST) }
}
