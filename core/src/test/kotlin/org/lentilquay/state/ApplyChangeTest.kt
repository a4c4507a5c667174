package org.lentilquay.state

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.lentilquay.state.internal.isAddress

/** Guards against an accepted change that puts dangling references or invalid values in force on every VM. */
class ApplyChangeTest : FunSpec({
    val base = sampleConfiguration()
    val engine = sampleEngine("e3", "10.0.0.9:80", "d1")
    val route = Route(RouteId("new"), RouteTarget.AdapterTarget("faults"))

    mapOf(
        ConfigurationChange.PutTeam(Team(TeamId("a/b"), 1, 1)) to "not well formed",
        ConfigurationChange.PutTeam(Team(TeamId("a".repeat(65)), 1, 1)) to "not well formed",
        ConfigurationChange.PutTeam(Team(TeamId("t"), 0, 1)) to "rate of 0",
        ConfigurationChange.PutTeam(Team(TeamId("t"), 1, -1)) to "burst of -1",
        ConfigurationChange.PutTeam(Team(TeamId("t"), 1, 1, 0)) to "weight 0",
        ConfigurationChange.RemoveTeam(TeamId("nobody")) to "is unknown",
        ConfigurationChange.GrantKey(sampleKey("k3", "nobody")) to "create the team first",
        ConfigurationChange.GrantKey(sampleKey("k1", "stove", "9")) to "already exists",
        ConfigurationChange.GrantKey(sampleKey("k3", "stove", "1")) to "same hash as key k1",
        ConfigurationChange.GrantKey(CallerKey(KeyId("k3"), TeamId("stove"), "secret")) to "not a SHA-256",
        ConfigurationChange.WithdrawKey(KeyId("k9")) to "is unknown",
        ConfigurationChange.PutAdapter(Adapter("a@b", "llama", setOf(1), 1)) to "not well formed",
        ConfigurationChange.PutAdapter(Adapter("a", "llama", emptySet(), 1)) to "has no versions",
        ConfigurationChange.PutAdapter(Adapter("a", "llama", setOf(1, 2), 3)) to "current version 3",
        ConfigurationChange.PutAdapter(Adapter("a", "llama", setOf(0), 0)) to "version below 1",
        ConfigurationChange.PutAdapter(Adapter("a", "x/y/z", setOf(1), 1)) to "base model name",
        ConfigurationChange.PutAdapter(Adapter("faults", "llama", setOf(2), 2)) to "named by routes (pinned)",
        ConfigurationChange.PutAdapter(Adapter("faults", "other", setOf(1, 2), 2)) to "belongs to base model llama",
        ConfigurationChange.RemoveAdapter("faults") to "named by routes (free, pinned)",
        ConfigurationChange.RemoveAdapter("nothing") to "is unknown",
        ConfigurationChange.PutRoute(route.copy(target = RouteTarget.AdapterTarget("none"))) to
            "create the adapter first",
        ConfigurationChange.PutRoute(route.copy(target = RouteTarget.AdapterTarget("faults", 7))) to "version 7",
        ConfigurationChange.PutRoute(route.copy(target = RouteTarget.ServiceTarget("none"))) to "no backend server",
        ConfigurationChange.PutRoute(route.copy(target = RouteTarget.ServiceTarget("orders", setOf("post")))) to
            "method",
        ConfigurationChange.PutRoute(route.copy(open = true)) to "set openTeam",
        ConfigurationChange.PutRoute(route.copy(openTeam = TeamId("stove"))) to "is not open",
        ConfigurationChange.PutRoute(route.copy(teams = emptySet())) to "used by no team",
        ConfigurationChange.PutRoute(route.copy(teams = setOf(TeamId("nobody")))) to "create the team first",
        ConfigurationChange.PutRoute(route.copy(maximumWaitMillis = -1)) to "maximum wait (patienceMillis) of -1",
        ConfigurationChange.PutRoute(route.copy(defaultMaximumTokens = 0)) to "default output limit",
        ConfigurationChange.RemoveRoute(RouteId("nothing")) to "is unknown",
        ConfigurationChange.PutServer(engine.copy(address = "localhost:80")) to "not ip:port",
        ConfigurationChange.PutServer(engine.copy(address = "10.0.0.1:80")) to "address of backend server e1",
        ConfigurationChange.PutServer(engine.copy(adapterSlots = 0)) to "adapter slots",
        ConfigurationChange.PutServer(engine.copy(coldInFlight = 17)) to "cold start limit",
        ConfigurationChange.PutServer(engine.copy(maximumInFlight = 0, coldInFlight = 1)) to "in-flight limit",
        ConfigurationChange.PutServer(engine.copy(kind = ServerKind.SERVICE)) to "set them to 0",
        ConfigurationChange.PutServer(engine.copy(id = ServerId("s1"))) to "the last one of service orders",
        ConfigurationChange.SetServerState(ServerId("e9"), ServerState.STOPPED) to "is unknown",
        ConfigurationChange.RemoveServer(ServerId("e1")) to "set its state to STOPPED",
        ConfigurationChange.RemoveServer(ServerId("s1")) to "the last one of service orders",
        ConfigurationChange.SetDomainState(DomainId(""), DomainState.DRAINED) to "not well formed",
        ConfigurationChange.Batch(emptyList()) to "the batch is empty",
        ConfigurationChange.Batch(listOf(ConfigurationChange.Batch(emptyList()))) to "cannot contain a batch",
    ).forEach { (change, message) ->
        test("$change is rejected because of: $message") {
            val outcome = base.apply(change, 2)
            (outcome as Outcome.Failed).failure.kind shouldBe ErrorKind.MALFORMED_REQUEST
            outcome.failure.message shouldContain message
        }
    }

    test("an invalid batch is rejected as a whole with all its problems") {
        val batch = ConfigurationChange.Batch(
            listOf(
                ConfigurationChange.PutTeam(Team(TeamId("t"), 0, 0)),
                ConfigurationChange.GrantKey(sampleKey("k3", "t")),
                ConfigurationChange.RemoveTeam(TeamId("stove")),
            ),
        )
        base.problemsOf(batch) shouldHaveSize 4
        base.problemsOf(batch).first() shouldContain "change 1 of 3"
        base.apply(batch, 2)
        base shouldBe sampleConfiguration()
    }

    test("a change in a batch is validated on top of the earlier changes of the batch") {
        val batch = ConfigurationChange.Batch(
            listOf(
                ConfigurationChange.RemoveRoute(RouteId("pinned")),
                ConfigurationChange.WithdrawKey(KeyId("k1")),
                ConfigurationChange.RemoveTeam(TeamId("stove")),
            ),
        )
        val changed = (base.apply(batch, 2) as Outcome.Success).value
        changed.revision shouldBe 2
        changed.teams.keys shouldBe setOf(TeamId("light"), TeamId("spare"))
        base.replay(listOf(batch), 2) shouldBe changed
    }

    test("a change for a revision other than the next one is a conflict") {
        listOf(0L, 1L, 3L).forEach { revision ->
            val outcome = base.apply(ConfigurationChange.RemoveTeam(TeamId("spare")), revision)
            (outcome as Outcome.Failed).failure.kind shouldBe ErrorKind.PLAN_CONFLICT
        }
    }

    mapOf(
        "10.0.0.1:1" to true, "255.255.255.255:65535" to true, "[::1]:80" to true, "[fd00::7]:8000" to true,
        "10.0.0.1" to false, "10.0.0.1:0" to false, "10.0.0.1:65536" to false, "10.0.0.256:80" to false,
        "10.0.0:80" to false, "host:80" to false, "::1:80" to false, "[::g]:80" to false, "[1:2]:80" to false,
        "010.0.0.1:80" to false, ":80" to false, "" to false,
    ).forEach { (text, expected) ->
        test("address '$text' is ${if (expected) "valid" else "invalid"}") { isAddress(text) shouldBe expected }
    }
})
