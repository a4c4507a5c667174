package org.lentilquay.coordination

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.VmId

class VmListHistoryTest : FunSpec({
    // Guards against a takeover from a VM that runs but is not on the lagging VM list yet.
    test("a VM has departed if it was listed before, or was absent from all reads for ten minutes") {
        val history = VmListHistory()
        val (first, second) = listOf(VmId("vm-a"), VmId("vm-b"))
        history.hasDeparted(second) shouldBe false
        history.observed(setOf(first), 1_000)
        history.hasDeparted(second) shouldBe false
        history.observed(setOf(second), 2_000)
        listOf(first, second).map { history.hasDeparted(it) } shouldBe listOf(true, false)
        history.observed(setOf(second), 601_000)
        history.hasDeparted(VmId("vm-c")) shouldBe true
        history.observed(setOf(first, second), 602_000)
        history.hasDeparted(first) shouldBe false
    }
})
