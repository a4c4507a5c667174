package org.lentilquay.coordination.quota

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.VmId

private val holder = VmId("vm-a")
private val requester = VmId("vm-b")
private val allSeats = (0 until 16).toSet()
private const val TRANSFER = "vm-b/1"

/** The buckets of a holder of all seats, which were full and transferred 800 tokens at time 10,000. */
private fun afterTransfer() = TeamBuckets(holder).apply {
    configure(listOf(testTeam), 0)
    seatsChanged(allSeats, 0)
    decideTransfer(testTeam.id, PeerTransferRequest(TRANSFER, requester, 800, 800, 0, 400), 10_000) shouldBe
        TransferDecision.Transfer(800)
}

/** The ends of transfers of tokens and the reports on them. */
class TransferEndTest : FunSpec({
    // Guards against tokens that are created by a report, and against a seat that stays below its capacity.
    listOf(
        Triple("without a report the tokens count against the capacity for 510 ms", null, 1_200L),
        Triple("used tokens no longer count against the capacity", Triple(requester, TRANSFER, 0L), 1_600L),
        Triple("tokens that were given up come back", Triple(requester, TRANSFER, 300L), 1_900L),
        Triple("no more tokens come back than were transferred", Triple(requester, TRANSFER, 5_000L), 2_000L),
        Triple("a report of another VM has no effect", Triple(VmId("vm-c"), TRANSFER, 0L), 1_200L),
        Triple("a report on another transfer has no effect", Triple(requester, "vm-b/2", 0L), 1_200L),
    ).forEach { (name, report, expected) ->
        test(name) {
            val buckets = afterTransfer()
            repeat(2) {
                report?.let { (vm, id, returned) -> buckets.transferEnded(testTeam.id, vm, id, returned, 10_000) }
            }
            buckets.available(testTeam.id, 10_400) shouldBe expected
        }
    }

    // Guards against tokens that both the holder and the receiver of an expired transfer have.
    test("a report after the hold has expired returns nothing") {
        val buckets = afterTransfer()
        buckets.available(testTeam.id, 10_511) shouldBe 1_201
        buckets.transferEnded(testTeam.id, requester, TRANSFER, 800, 10_511)
        buckets.available(testTeam.id, 10_511) shouldBe 1_201
    }

    // Guards against parts that expire at a VM whose request was refused.
    test("a refused request gives up the parts that it collected, and they cannot be used any more") {
        val transfers = TransferPlanner(requester).apply { holdersChanged(mapOf(holder to allSeats)) }
        val buckets = TeamBuckets(requester, transfers = transfers).apply { configure(listOf(testTeam), 0) }
        buckets.admit(testTeam.id, "a", 900, 10_000).shouldBeInstanceOf<AdmissionDecision.NeedTokens>()
        buckets.transferReceived(testTeam.id, holder, 900, 700, 10_000, 10_010, transfer = TRANSFER) shouldBe true
        buckets.takeTransferEnds() shouldBe emptyList()
        buckets.admit(testTeam.id, "a", 900, 10_500).shouldBeInstanceOf<AdmissionDecision.RateLimited>()
        buckets.takeTransferEnds() shouldBe listOf(TransferEnd(holder, testTeam.id, TRANSFER, 700))
        buckets.available(testTeam.id, 10_500) shouldBe 0
    }
})
