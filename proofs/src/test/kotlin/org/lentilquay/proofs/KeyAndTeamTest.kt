package org.lentilquay.proofs

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldNotContain
import kotlinx.serialization.json.Json
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.Team
import org.lentilquay.state.TeamId

private val forged = mapOf("X-Team" to "vans", "X-Team-Id" to "vans", "X-Key-Id" to "van-1", "X-Vm-Id" to "vm-1")
private val slowTeam = Team(TeamId("parts"), tokensPerSecond = 50, burstTokens = 640)

/** The buckets of the team `parts` start empty and must hold enough for the first calls. */
private const val BUCKET_MILLIS = 4_000L

/** Guards against a request that runs for another team than that of its key, and against keys that leave the VM. */
class KeyAndTeamTest : FunSpec({
    test("team of the key, open routes, and keys that backend servers, logs and metrics never show") {
        session("key-and-team", FleetOptions(parts = slowTeam)) { fleet ->
            val (one, two) = fleet.vms
            val own = RouteTarget.AdapterTarget("stove-adapter")
            val open = RouteTarget.AdapterTarget("lamp-adapter")
            one.apply(
                ConfigurationChange.Batch(
                    listOf(
                        Route(RouteId("only-vans"), own, teams = setOf(TeamId("vans"))),
                        Route(RouteId("open"), open, open = true, openTeam = TeamId("parts")),
                    ).map { ConfigurationChange.PutRoute(it) },
                ),
            )
            await("the routes are everywhere", IN_FORCE_MILLIS) { fleet.vms.all { it.revision() == 2L } }
            fleet.awaitServing("stove", "lamp")
            fleet.awaitBookings()
            Thread.sleep(BUCKET_MILLIS)
            var number = 0
            fun ask(route: String, key: String?, headers: Map<String, String> = emptyMap(), tokens: Int = 2): Answer {
                val adapter = if (route == "open") "lamp-adapter@1" else "stove-adapter@1"
                val ask = Ask(route, "ask ${number++}", adapter, tokens, key, headers = headers)
                val answer = add(ask, fleet.caller.ask(one, ask))
                if (answer.status == 200) answer.isRightFor(ask) shouldBe true
                return answer
            }
            val inTurn = List(6) { ask("only-vans", if (it % 2 == 0) KEY else PARTS_KEY) }
            note("one connection, keys in turn: $inTurn")
            note("forged identity with another team's key: " + ask("only-vans", PARTS_KEY, forged))
            note("forged identity without a key: " + ask("only-vans", null, forged))
            note("key without the scheme: " + ask("only-vans", null, mapOf("Authorization" to KEY)))
            note("open route without a key: " + ask("open", null))
            note("open route with an unknown key: " + ask("open", "key-text-of-nobody"))
            val ofVans = fleet.caller.call(two, "bookings/deposits", "shared", "deposit of vans")
            val ofParts = fleet.caller.call(two, "bookings/deposits", "shared", "deposit of parts", PARTS_KEY)
            val isOwn = ofVans.text != ofParts.text
            note("one idempotency key, two teams: ${listOf(ofVans, ofParts)}, each its own call: $isOwn")
            note("runs", listOf(fleet.timesRun("deposit of vans"), fleet.timesRun("deposit of parts")))
            // The open route's team has 640 tokens at once; requests without a key must be charged to it.
            val charged = List(6) { ask("open", null, tokens = 200).code ?: "answered" }
            note("open route beyond the burst of its team: limited ${"rate_limited" in charged}")
            note("the other team afterwards: " + ask("only-vans", KEY, tokens = 200))
            val received = fleet.runs().map { "${it.headers} ${it.body}" }
            val called = fleet.service.runs().runs.map(Json::encodeToString)
            val shown = received + called + fleet.vms.map { it.logFile.readText() + it.metrics() }
            listOf(KEY, PARTS_KEY, "key-text-of-nobody", OPERATOR_TOKEN).forEach { secret ->
                shown.forEach { withClue("a key is shown") { it shouldNotContain secret } }
            }
            note("keys in what backend servers received, in logs and in metrics: 0")
        }
    }
})
