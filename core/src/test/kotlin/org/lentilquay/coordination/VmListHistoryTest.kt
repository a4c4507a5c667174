package org.lentilquay.coordination

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.VmId

class VmListHistoryTest : FunSpec({
    // Guards against taking over from a VM that runs but is not on the lagging list yet.
    test("a VM is gone after it was listed, or after a long absence") {
        val vms = VmListHistory()
        val (first, second) = listOf(VmId("vm-a"), VmId("vm-b"))
        vms.hasDeparted(second) shouldBe false
        vms.observed(setOf(first), 1_000)
        vms.hasDeparted(second) shouldBe false
        vms.observed(setOf(second), 2_000)
        listOf(first, second).map { vms.hasDeparted(it) } shouldBe listOf(true, false)
        vms.observed(setOf(second), 601_000)
        vms.hasDeparted(VmId("vm-c")) shouldBe true
        vms.observed(setOf(first, second), 602_000)
        vms.hasDeparted(first) shouldBe false
    }
})
