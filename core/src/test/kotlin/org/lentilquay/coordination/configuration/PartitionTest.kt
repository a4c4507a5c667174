package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.lentilquay.state.ConfigurationChange
import org.lentilquay.state.KeyId
import org.lentilquay.state.Outcome
import org.lentilquay.state.VmId
import org.lentilquay.state.sampleConfiguration
import kotlin.random.Random

/** Guards against an accepted key revocation that does not reach a VM which keeps serving across a partition. */
class PartitionTest : FunSpec({
    val secret = PlanSigningKey("fleet")
    val base = sampleConfiguration()
    val change = ConfigurationChange.WithdrawKey(KeyId("k1"))
    val plan = (createPlan(change, base, "ana", 0, secret, Random(1)) as Outcome.Success).value

    fun confirms(seen: Reachability): Boolean {
        val decision = checkConfirmation(plan, base, ConfirmationContext("ana", VmId("vm-1"), secret), 1, seen) { null }
        return decision is ConfirmationDecision.Accepted
    }

    fun keepsServing(seen: Reachability): Boolean {
        // The last confirmation of the head is older than the bound.
        val freshness = FreshnessTracker().apply { tableConfirmed(base.revision, 0) }
        return freshness.state(FRESHNESS_BOUND_MILLIS + 1, base.revision, seen) != FreshnessState.ISOLATED
    }

    (2..9).forEach { size ->
        test("no partition of $size members confirms a plan while another VM keeps serving without the table") {
            var confirming = 0
            var serving = 0
            // Every partition into two sides, combined with every set of members that reach the table service.
            for (side in 0 until (1 shl size)) {
                for (table in 0 until (1 shl size)) {
                    val sides = listOf(side, side.inv() and ((1 shl size) - 1)).filter { it != 0 }
                    val seen = sides.map { Reachability(size, it.countOneBits(), (it and table) != 0) }
                    val confirmed = seen.map { it.tableReachableByPeer && confirms(it) }
                    val served = seen.map(::keepsServing)
                    confirming += confirmed.count { it }
                    serving += served.count { it }
                    // No VM of either side may confirm while any VM serves without the table service.
                    (confirmed.any { it } && served.any { it }) shouldBe false
                }
            }
            // The rules must not be satisfied trivially, by refusing everything.
            confirming shouldBeGreaterThan 0
            serving shouldBeGreaterThan 0
        }
    }
})
