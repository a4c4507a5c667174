package org.lentilquay.coordination.configuration

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a VM that serves revoked keys, and against one that refuses requests without need. */
class FreshnessTrackerTest : FunSpec({
    val alone = Reachability(members = 3, reachable = 1, tableReachableByPeer = false)
    val majority = alone.copy(reachable = 2)

    data class Case(val name: String, val now: Long, val seen: Reachability, val expected: FreshnessState)

    listOf(
        Case("within the bound", 4_000, alone, FreshnessState.CURRENT),
        Case("without a majority after the bound", 4_001, alone, FreshnessState.ISOLATED),
        Case("strict majority without the table", 4_001, majority, FreshnessState.OUTAGE),
        Case("exactly half of the members", 4_001, majority.copy(members = 4), FreshnessState.ISOLATED),
        Case("a peer reaches the table", 4_001, majority.copy(tableReachableByPeer = true), FreshnessState.ISOLATED),
        Case("a peer reports a later revision", 4_001, majority.copy(highestRevision = 6), FreshnessState.ISOLATED),
    ).forEach { case ->
        listOf(true, false).forEach { byTable ->
            test("${case.name}, confirmed by ${if (byTable) "table" else "peer"}: state ${case.expected}") {
                val freshness = FreshnessTracker()
                if (byTable) freshness.tableConfirmed(5, 1_000) else freshness.peerConfirmed(5, 1_000)
                freshness.state(case.now, 5, case.seen) shouldBe case.expected
            }
        }
    }

    test("OUTAGE lasts RECOVERY_MILLIS after a peer reaches the table, unless a later revision exists") {
        val freshness = FreshnessTracker().apply { tableConfirmed(5, 1_000) }
        val recovering = majority.copy(tableReachableByPeer = true)
        freshness.state(8_000, 5, majority) shouldBe FreshnessState.OUTAGE
        freshness.state(8_100, 5, recovering.copy(highestRevision = 6)) shouldBe FreshnessState.ISOLATED
        freshness.state(8_100, 5, recovering) shouldBe FreshnessState.OUTAGE
        freshness.state(8_000 + RECOVERY_MILLIS, 5, recovering) shouldBe FreshnessState.OUTAGE
        freshness.state(8_001 + RECOVERY_MILLIS, 5, recovering) shouldBe FreshnessState.ISOLATED
    }

    test("a confirmation of a later head counts only after that revision is in force") {
        val freshness = FreshnessTracker().apply { tableConfirmed(5, 1_000) }
        freshness.tableConfirmed(6, 3_000)
        freshness.state(4_000, 5, alone) shouldBe FreshnessState.CURRENT
        freshness.state(4_500, 5, alone) shouldBe FreshnessState.ISOLATED
        freshness.state(4_500, 6, alone) shouldBe FreshnessState.CURRENT
    }

    test("a confirmation by a peer does not count as a confirmation by the table service") {
        val freshness = FreshnessTracker().apply { peerConfirmed(5, 1_000) }
        freshness.isConfirmedByTable(1_000, 5) shouldBe false
        freshness.tableConfirmed(5, 1_000)
        freshness.isConfirmedByTable(1_000, 5) shouldBe true
    }

    test("a new VM is ISOLATED without a configuration, and later without a majority") {
        FreshnessTracker().state(0, 0, majority, loaded = false) shouldBe FreshnessState.ISOLATED
        FreshnessTracker().state(0, 5, majority) shouldBe FreshnessState.OUTAGE
        FreshnessTracker().state(0, 5, alone) shouldBe FreshnessState.ISOLATED
    }
})
