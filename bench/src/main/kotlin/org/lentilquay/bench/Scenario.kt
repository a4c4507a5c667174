/*
 * The scenarios of `bench run`: each combines a deployment, changes to its workload and a disturbance of the fleet.
 */
package org.lentilquay.bench

/** A team's burst is this many seconds of its rate, and at least [MINIMUM_BURST_TOKENS]. */
private const val BURST_SECONDS = 10.0
private const val MINIMUM_BURST_TOKENS = 6_000.0

/** A planned change or a failure of the fleet while the trace is sent. */
enum class Disturbance {
    NONE,

    /** An operator drains a failure domain and returns it. */
    DOMAIN_DRAINED,

    /** The VMs and backend servers of a failure domain crash and restart with empty state. */
    DOMAIN_LOST,

    /** The table service answers every call with status 503. */
    TABLE_OUTAGE,
}

/** A named experiment; [adjustWorkload] derives its workload from the steady one of the deployment. */
enum class Scenario(
    val title: String,
    val summary: String,
    val deployment: Deployment,
    val disturbance: Disturbance = Disturbance.NONE,
    private val adjustWorkload: (Workload) -> Workload = { it },
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
        "the VMs, engines and services of a failure domain crash without notice and restart empty",
        Deployment.EMBERLINE,
        Disturbance.DOMAIN_LOST,
    ),
    EMBERLINE_TABLE_OUTAGE(
        "emberline-table-outage",
        "the table service refuses every call for a minute, or for a third of the time if that is shorter",
        Deployment.EMBERLINE,
        Disturbance.TABLE_OUTAGE,
    ),
    EMBERLINE_SHIFT(
        "emberline-shift",
        "other adapters become popular at half of the time",
        Deployment.EMBERLINE,
        adjustWorkload = { it.copy(popularityShifts = true) },
    ),
    EMBERLINE_LONG_SHORT(
        "emberline-long-short",
        "four in ten requests are long summaries of 800 tokens, the others short questions",
        Deployment.EMBERLINE,
        adjustWorkload = { it.copy(longFraction = 0.4, longTokens = 800, longPromptBytes = 4_000) },
    ),
    NOUR_STEADY("nour-steady", "steady requests", Deployment.NOUR),
    NOUR_LOUD_TEAM(
        "nour-loud-team",
        "a large team sends five times its rate; rates are 1.5 times the mean use",
        Deployment.NOUR,
        adjustWorkload = { it.copy(overRateTeam = 0, overRateFactor = 5.0, rateHeadroom = 1.5) },
    ),
    NOUR_BEDTIME(
        "nour-bedtime",
        "the arrival rate rises to twice its base over the middle half of the run",
        Deployment.NOUR,
        adjustWorkload = { it.copy(peakFactor = 2.0) },
    ),
    ;

    val fleet: FleetSize get() = deployment.fleet

    /** The workload of this scenario at a base rate of [rate] requests a second, by default the deployment's. */
    fun workload(rate: Double?): Workload =
        adjustWorkload(deployment.workload.let { it.copy(requestsPerSecond = rate ?: it.requestsPerSecond) })
}

/** The limits of each team: [rates] in tokens a second, [bursts] in tokens. */
class TeamLimits(workload: Workload) {
    private val meanTokens = with(workload) {
        val short = TraceRequest(0, 0, 0, 0, false, shortTokens, shortPromptBytes, 0).estimatedTokens
        val long = TraceRequest(0, 0, 0, 0, true, longTokens, longPromptBytes, 0).estimatedTokens
        short * (1 - longFraction) + long * longFraction
    }
    val rates: List<Double> =
        workload.teamFractions.map { it * workload.requestsPerSecond * meanTokens * workload.rateHeadroom }
    val bursts: List<Double> = rates.map { maxOf(it * BURST_SECONDS, MINIMUM_BURST_TOKENS) }
}
