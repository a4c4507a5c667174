package org.lentilquay.coordination.quota

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.VmId

class PullPlanTest : FunSpec({
    val holders = ('a'..'e').map { VmId("vm-$it") }

    fun plan() = PullPlan(holders[0]).apply { holdersChanged(holders.zip(listOf(4, 2, 6, 2, 2)).toMap()) }

    // Guards against many small pulls where one is enough, and against too many messages at once.
    test("the fullest holders are asked first, at most three at a time") {
        val plan = plan()
        plan.next(testTeam, 700, 0) shouldBe listOf(Pull(holders[2], 700))
        plan.next(testTeam, 700, 1) shouldBe emptyList()
        plan.next(testTeam, 1_500, 1) shouldBe listOf(Pull(holders[1], 750), Pull(holders[3], 50))
        plan.next(testTeam, 9_000, 1) shouldBe emptyList()
    }

    // Guards against asking an empty holder again and again, and against never asking it again.
    test("a holder that gave less than asked rests, and its expected tokens grow") {
        val plan = PullPlan(holders[0]).apply { holdersChanged(mapOf(holders[1] to 8, holders[2] to 8)) }
        plan.next(testTeam, 1_000, 0) shouldBe listOf(Pull(holders[1], 1_000))
        plan.answered(testTeam, holders[1], 1_000, 10, 2)
        plan.isDry(testTeam.id, 2) shouldBe false
        plan.next(testTeam, 990, 2) shouldBe listOf(Pull(holders[2], 990))
        plan.failed(testTeam.id, holders[2], 4)
        plan.isDry(testTeam.id, 4) shouldBe true
        plan.next(testTeam, 990, 51) shouldBe emptyList()
        plan.next(testTeam, 20, 52) shouldBe listOf(Pull(holders[1], 20))
        plan.answered(testTeam, holders[1], 20, 20, 54)
        plan.next(testTeam, 20, 1_003) shouldBe listOf(Pull(holders[1], 20))
    }

    // Guards against a pull slot that a lost answer keeps for ever.
    test("a pull without an answer ends with its validity") {
        val plan = PullPlan(holders[0]).apply { holdersChanged(mapOf(holders[1] to 16)) }
        plan.next(testTeam, 5, 0) shouldBe listOf(Pull(holders[1], 5))
        plan.next(testTeam, 5, 500) shouldBe emptyList()
        plan.next(testTeam, 5, 501) shouldBe emptyList()
        plan.next(testTeam, 5, 1_501) shouldBe listOf(Pull(holders[1], 5))
    }
})
