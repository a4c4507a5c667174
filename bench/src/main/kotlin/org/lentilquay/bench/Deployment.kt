/*
 * The two deployments of docs/design.md, section 1.5, as they run on one machine: sizes of the fleet and the usual
 * requests. The delays between failure domains are not emulated; reports say so.
 */
package org.lentilquay.bench

/** A deployment with its sizes and its usual requests. */
enum class Deployment(val title: String, val fleet: FleetSize, val workload: Workload, val delays: String) {
    /** Short questions about error codes and long fault summaries. */
    EMBERLINE("Emberline", FleetSize(), Workload(), "domains 0.5 ms apart, 1 ms from clients"),

    /** Short lullaby schedules and longer sleep plans. */
    NOUR(
        "Nour",
        FleetSize(vms = 7, domains = 3, engines = 13, services = 3, loadsPerSecond = 7),
        Workload(
            // Zipf's law makes about a third of these need a load, so the weight store has 3 of 7 loads to spare.
            requestsPerSecond = 12.0,
            longShare = 0.15,
            shortTokens = 40,
            longTokens = 240,
            longPromptBytes = 300,
        ),
        "domains 1.5 ms apart, 3 ms from clients",
    ),
}
