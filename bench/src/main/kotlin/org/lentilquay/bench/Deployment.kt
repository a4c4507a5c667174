/*
 * The two deployments of docs/design.md, section 1.5, as they run on one machine: fleet sizes and steady workloads.
 * Network delays between failure domains are not emulated; reports state this.
 */
package org.lentilquay.bench

/** A deployment; [delays] describes the network delays that the benchmark does not emulate. */
enum class Deployment(val title: String, val fleet: FleetSize, val workload: Workload, val delays: String) {
    /** Short questions about error codes and long fault summaries. */
    EMBERLINE("Emberline", FleetSize(), Workload(), "domains 0.5 ms apart, 1 ms from clients"),

    /** Short lullaby schedules and longer sleep plans. */
    NOUR(
        "Nour",
        FleetSize(vms = 7, domains = 3, engines = 13, services = 3, loadsPerSecond = 7),
        Workload(
            // With Zipf's law about a third of these requests need a load, which leaves 3 of the 7 loads a second free.
            requestsPerSecond = 12.0,
            longFraction = 0.15,
            shortTokens = 40,
            longTokens = 240,
            longPromptBytes = 300,
        ),
        "domains 1.5 ms apart, 3 ms from clients",
    ),
}
