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

private val forgedHeaders = mapOf("X-Team" to "vans", "X-Team-Id" to "vans", "X-Key-Id" to "van-1", "X-Vm-Id" to "vm-1")
private val slowTeam = Team(TeamId("parts"), tokensPerSecond = 50, burstTokens = 640)

/** Time in which the token buckets of the team `parts`, which start empty, get enough tokens for the first requests. */
private const val BUCKET_FILL_MILLIS = 4_000L

/**
 * Guards against a request that runs for a team other than that of its key, as when identity headers are trusted or an
 * identity is kept for a connection, and against keys that are forwarded or logged.
 */
class KeyAndTeamTest : FunSpec({
    test("requests run for the team of their key, and keys never reach backend servers, logs or metrics") {
        session("key-and-team", FleetOptions(parts = slowTeam)) { fleet ->
            val (one, two) = fleet.vms
            val vansTarget = RouteTarget.AdapterTarget("stove-adapter")
            val open = RouteTarget.AdapterTarget("lamp-adapter")
            one.apply(
                ConfigurationChange.Batch(
                    listOf(
                        Route(RouteId("only-vans"), vansTarget, teams = setOf(TeamId("vans"))),
                        Route(RouteId("open"), open, open = true, openTeam = TeamId("parts")),
                    ).map { ConfigurationChange.PutRoute(it) },
                ),
            )
            await("the routes are everywhere", IN_FORCE_MILLIS) { fleet.vms.all { it.revision() == 2L } }
            fleet.awaitServing("stove", "lamp")
            fleet.awaitBookings()
            Thread.sleep(BUCKET_FILL_MILLIS)
            var promptNumber = 0
            fun send(
                route: String,
                key: String?,
                headers: Map<String, String> = emptyMap(),
                tokens: Int = 2,
            ): CallerResponse {
                val adapter = if (route == "open") "lamp-adapter@1" else "stove-adapter@1"
                val request = CallerRequest(route, "ask ${promptNumber++}", adapter, tokens, key, headers = headers)
                val answer = add(request, fleet.caller.send(one, request))
                if (answer.status == 200) answer.isCorrectFor(request) shouldBe true
                return answer
            }
            val alternating = List(6) { send("only-vans", if (it % 2 == 0) KEY else PARTS_KEY) }
            note("one connection, keys in turn: $alternating")
            note("forged identity with another team's key: " + send("only-vans", PARTS_KEY, forgedHeaders))
            note("forged identity without a key: " + send("only-vans", null, forgedHeaders))
            note("key without the scheme: " + send("only-vans", null, mapOf("Authorization" to KEY)))
            note("open route without a key: " + send("open", null))
            note("open route with an unknown key: " + send("open", "key-text-of-nobody"))
            val ofVans = fleet.caller.callService(two, "bookings/deposits", "shared", "deposit of vans")
            val ofParts = fleet.caller.callService(two, "bookings/deposits", "shared", "deposit of parts", PARTS_KEY)
            val isSeparate = ofVans.text != ofParts.text
            note("one idempotency key, two teams: ${listOf(ofVans, ofParts)}, each its own call: $isSeparate")
            note("runs", listOf(fleet.runCount("deposit of vans"), fleet.runCount("deposit of parts")))
            // The team of the open route has a burst of 640 tokens; requests without a key must be charged to it.
            val chargedCodes = List(6) { send("open", null, tokens = 200).code ?: "answered" }
            note("open route beyond the burst of its team: limited ${"rate_limited" in chargedCodes}")
            note("the other team afterwards: " + send("only-vans", KEY, tokens = 200))
            val engineRequests = fleet.runs().map { "${it.headers} ${it.body}" }
            val serviceRuns = fleet.service.runs().runs.map(Json::encodeToString)
            val exposed = engineRequests + serviceRuns + fleet.vms.map { it.logFile.readText() + it.metrics() }
            listOf(KEY, PARTS_KEY, "key-text-of-nobody", OPERATOR_TOKEN).forEach { secret ->
                exposed.forEach { withClue("a key is exposed") { it shouldNotContain secret } }
            }
            note("keys in what backend servers received, in logs and in metrics: 0")
        }
    }
})
