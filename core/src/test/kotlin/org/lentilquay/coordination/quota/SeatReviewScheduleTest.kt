package org.lentilquay.coordination.quota

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.VmId

private const val RENEWAL_MILLIS = 2_000L

private fun vms(count: Int) = (1..count).mapTo(HashSet()) { VmId("vm-$it") }

/** Guards against seats that stay with departed VMs, and against reads of the table while nothing changes. */
class SeatReviewScheduleTest : FunSpec({
    fun SeatReviewSchedule.reviews(seconds: IntRange, members: Set<VmId>, lost: Set<VmId> = emptySet()) =
        seconds.filter { isDue(members, lost, RENEWAL_MILLIS, it * 1_000L) }

    test("after four reviews, a fleet without changes is reviewed every six renewals") {
        val schedule = SeatReviewSchedule(reviewedAt = 0)
        schedule.reviews(1..16, vms(79)) shouldBe listOf(4, 8, 12, 16)
        schedule.reviews(17..60, vms(79)) shouldBe listOf(28, 40, 52)
    }

    test("after a change of the fleet, the next four reviews come every two renewals") {
        val schedule = SeatReviewSchedule(reviewedAt = 0)
        schedule.reviews(1..20, vms(79)) shouldBe listOf(4, 8, 12, 16)
        schedule.reviews(21..40, vms(78)) shouldBe listOf(21, 25, 29, 33)
        schedule.reviews(41..60, vms(78), lost = vms(79) - vms(78)) shouldBe listOf(41, 45, 49, 53)
    }
})
