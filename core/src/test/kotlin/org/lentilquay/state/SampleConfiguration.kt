package org.lentilquay.state

/** A small valid configuration as a base for changes in tests. */
fun sampleConfiguration(): Configuration {
    val changes = listOf(
        ConfigurationChange.PutTeam(Team(TeamId("stove"), 100, 1_000)),
        ConfigurationChange.PutTeam(Team(TeamId("light"), 100, 1_000)),
        ConfigurationChange.PutTeam(Team(TeamId("spare"), 100, 1_000)),
        ConfigurationChange.GrantKey(sampleKey("k1", "stove")),
        ConfigurationChange.GrantKey(sampleKey("k2", "light")),
        ConfigurationChange.PutAdapter(Adapter("faults", "llama", setOf(1, 2), 2)),
        ConfigurationChange.PutAdapter(Adapter("unused", "llama", setOf(1), 1)),
        ConfigurationChange.PutServer(sampleEngine("e1", "10.0.0.1:80", "d1")),
        ConfigurationChange.PutServer(sampleEngine("e2", "10.0.0.2:80", "d2")),
        ConfigurationChange.PutServer(sampleService("s1", "10.0.0.3:80", "d1")),
        ConfigurationChange.PutRoute(
            Route(RouteId("pinned"), RouteTarget.AdapterTarget("faults", 1), teams = setOf(TeamId("stove"))),
        ),
        ConfigurationChange.PutRoute(
            Route(RouteId("free"), RouteTarget.AdapterTarget("faults"), open = true, openTeam = TeamId("light")),
        ),
        ConfigurationChange.PutRoute(Route(RouteId("parts"), RouteTarget.ServiceTarget("orders"))),
    )
    val outcome = Configuration().apply(ConfigurationChange.Batch(changes), 1)
    return (outcome as Outcome.Success).value
}

fun sampleKey(id: String, team: String, digit: String = id.takeLast(1)): CallerKey =
    CallerKey(KeyId(id), TeamId(team), digit.repeat(64))

fun sampleEngine(id: String, address: String, domain: String): BackendServer = BackendServer(
    ServerId(id), ServerKind.ENGINE, address, DomainId(domain), "llama", true, 8, 16, 2,
)

fun sampleService(id: String, address: String, domain: String): BackendServer = BackendServer(
    ServerId(id), ServerKind.SERVICE, address, DomainId(domain), "orders", false, 0, 16, 2,
)
