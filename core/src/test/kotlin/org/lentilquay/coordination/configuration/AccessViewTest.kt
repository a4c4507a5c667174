package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.CallerKey
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.KeyId
import org.lentilquay.state.RouteId
import org.lentilquay.state.TeamId
import org.lentilquay.state.replay
import org.lentilquay.state.sampleConfiguration

/** Guards against a request that is charged to a team without a valid key of that team. */
class AccessViewTest : FunSpec({
    val keys = listOf("stove", "light").map { CallerKey(KeyId("key-$it"), TeamId(it), sha256Of("secret of $it")) }
    val configuration = sampleConfiguration().replay(keys.map { ConfigurationChange.GrantKey(it) }, 2)
    val view = AccessView(configuration)

    data class Case(val route: String, val presented: String?, val state: FreshnessState, val expected: Any)

    val current = FreshnessState.CURRENT
    val isolated = FreshnessState.ISOLATED
    listOf(
        Case("pinned", "secret of stove", current, TeamId("stove")),
        Case("pinned", "secret of stove", FreshnessState.OUTAGE, TeamId("stove")),
        Case("pinned", "secret of stove", isolated, ErrorKind.CONFIGURATION_STALE),
        Case("pinned", "secret of light", current, ErrorKind.ROUTE_FORBIDDEN),
        Case("pinned", null, current, ErrorKind.KEY_MISSING),
        Case("pinned", "nonsense", current, ErrorKind.KEY_INVALID),
        Case("nothing", "secret of stove", current, ErrorKind.ROUTE_UNKNOWN),
        Case("parts", "secret of light", current, TeamId("light")),
        Case("free", null, current, TeamId("light")),
        Case("free", null, isolated, TeamId("light")),
        Case("free", "secret of stove", current, TeamId("stove")),
        Case("free", "nonsense", current, ErrorKind.KEY_INVALID),
        Case("free", "secret of stove", isolated, ErrorKind.CONFIGURATION_STALE),
    ).forEach { case ->
        test("route ${case.route} with key ${case.presented} in state ${case.state} gives ${case.expected}") {
            when (val decision = view.authorize(RouteId(case.route), case.presented, case.state)) {
                is AccessDecision.Allowed -> decision.team shouldBe case.expected
                is AccessDecision.Refused -> decision.failure.kind shouldBe case.expected
            }
        }
    }

    test("a revoked key is neither found nor in force in the next view") {
        val after = view.next(configuration.replay(listOf(ConfigurationChange.WithdrawKey(keys[0].id)), 3))
        view.isInForce(keys[0]) shouldBe true
        after.isInForce(keys[0]) shouldBe false
        after.find("secret of stove") shouldBe null
        after.find("secret of light") shouldBe keys[1]
    }
})
