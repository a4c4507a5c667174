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

/** Guards against an accepted withdrawal that misses a VM which goes on serving on another side of a partition. */
class PartitionTest : FunSpec({
    val secret = PlanSigningKey("fleet")
    val base = sampleConfiguration()
    val change = ConfigurationChange.WithdrawKey(KeyId("k1"))
    val plan = (planFor(change, base, "ana", 0, secret, Random(1)) as Outcome.Success).value

    fun accepts(seen: Reachability): Boolean {
        val verdict = checkConfirmation(plan, base, Confirmer("ana", VmId("vm-1"), secret), 1, seen) { null }
        return verdict is ConfirmationVerdict.Accepted
    }

    fun continues(seen: Reachability): Boolean {
        // The last confirmation of the head is older than the bound.
        val freshness = FreshnessTracker().apply { tableConfirmed(base.revision, 0) }
        return freshness.state(FRESHNESS_BOUND_MILLIS + 1, base.revision, seen) != FreshnessState.ISOLATED
    }

    (2..9).forEach { size ->
        test("no partition of $size members accepts a confirm while another side goes on") {
            var accepting = 0
            var continuing = 0
            // Every division into two sides, and every set of members that reach the table.
            for (side in 0 until (1 shl size)) {
                for (table in 0 until (1 shl size)) {
                    val sides = listOf(side, side.inv() and ((1 shl size) - 1)).filter { it != 0 }
                    val seen = sides.map { Reachability(size, it.countOneBits(), (it and table) != 0) }
                    val accepted = seen.map { it.tableReachableByPeer && accepts(it) }
                    val continued = seen.map(::continues)
                    accepting += accepted.count { it }
                    continuing += continued.count { it }
                    // Two sides, or a VM that accepts while another on its own side goes on without the table.
                    (accepted.any { it } && continued.any { it }) shouldBe false
                }
            }
            // The rules must also allow something.
            accepting shouldBeGreaterThan 0
            continuing shouldBeGreaterThan 0
        }
    }
})
