package org.lentilquay.coordination.quota

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId

class TransferPlannerTest : FunSpec({
    val holders = ('a'..'e').map { VmId("vm-$it") }
    val seats = seatsOf(testTeam.id, DEFAULT_SEAT_COUNT).sorted()

    /** The planner of the first VM; [counts] are the numbers of the team's four seats that the others hold. */
    fun plan(vararg counts: Pair<VmId, Int>) = TransferPlanner(holders[0]).apply {
        val rest = seats.toMutableList()
        holdersChanged(counts.associate { (vm, count) -> vm to List(count) { rest.removeFirst() }.toSet() })
    }

    // Guards against a mapping of teams to seats that gives a team more or less than its rate.
    test("each team has four seats, and each seat belongs to some team") {
        val sets = (1..200).map { seatsOf(TeamId("team-$it"), DEFAULT_SEAT_COUNT) }
        sets.forEach { it.size shouldBe SEATS_PER_TEAM }
        sets.toSet().size shouldBe DEFAULT_SEAT_COUNT / SEATS_PER_TEAM
        seatsOf(testTeam.id, 3) shouldBe setOf(0, 1, 2)
    }

    // Guards against many small requests where one is enough, and against requests to VMs without seats of the team.
    test("the holders with most expected tokens are asked first, and only holders of the team's seats") {
        val plan = plan(holders[1] to 1, holders[2] to 2, holders[3] to 1, holders[4] to 0)
        plan.next(testTeam, 700, 700, 0) shouldBe listOf(TransferRequest(holders[2], 700))
        plan.next(testTeam, 700, 700, 1) shouldBe emptyList()
        val further = plan.next(testTeam, 1_500, 800, 1)
        further.map { it.amount to it.minimum } shouldBe listOf(500L to 500L, 300L to 300L)
        further.mapTo(HashSet()) { it.holder } shouldBe setOf(holders[1], holders[3])
        plan.next(testTeam, 9_000, 500, 1) shouldBe emptyList()
    }

    // Guards against a fleet in which all VMs ask the same holder first.
    test("VMs ask holders with equal expected tokens in different orders") {
        val firsts = (1..40).map { number ->
            val plan = TransferPlanner(VmId("asker-$number")).apply {
                holdersChanged(holders.take(SEATS_PER_TEAM).zip(seats) { vm, seat -> vm to setOf(seat) }.toMap())
            }
            plan.next(testTeam, 10, 10, 0).single().holder
        }
        firsts.toSet().size shouldBe SEATS_PER_TEAM
    }

    // Guards against repeated requests to an empty holder, and against a holder that is never asked again.
    test("a holder that transferred less than requested is asked again after a delay, for what it has generated") {
        val plan = plan(holders[1] to 2, holders[2] to 2)
        val first = plan.next(testTeam, 1_000, 1_000, 0).single().holder
        val second = holders.slice(1..2).single { it != first }
        plan.answered(testTeam, first, 1_000, 10, 2)
        plan.isExhausted(testTeam.id, 2) shouldBe false
        plan.next(testTeam, 990, 990, 2) shouldBe listOf(TransferRequest(second, 990))
        plan.failed(testTeam.id, second, 4)
        plan.isExhausted(testTeam.id, 4) shouldBe true
        plan.next(testTeam, 990, 990, 51) shouldBe emptyList()
        plan.next(testTeam, 20, 20, 52) shouldBe listOf(TransferRequest(first, 20))
        plan.answered(testTeam, first, 20, 20, 54)
        plan.next(testTeam, 20, 20, 1_003) shouldBe listOf(TransferRequest(first, 20))
    }

    // Guards against refusals of a team because its holders are unreachable, or while a holder was not asked yet.
    test("a team counts as refused by all only while the last answer of every holder is a refusal") {
        val plan = plan(holders[1] to 2, holders[2] to 2)
        plan.next(testTeam, 2_000, 500, 0).size shouldBe 2
        plan.answered(testTeam, holders[1], 1_000, 0, 2)
        plan.isRefusedByAll(testTeam.id, 2) shouldBe false
        plan.answered(testTeam, holders[2], 1_000, 0, 3)
        plan.isRefusedByAll(testTeam.id, 3) shouldBe true
        plan.isRefusedByAll(testTeam.id, 60) shouldBe false
        plan.next(testTeam, 2_000, 500, 60).size shouldBe 2
        plan.answered(testTeam, holders[1], 1_000, 0, 61)
        plan.failed(testTeam.id, holders[2], 61)
        plan.isRefusedByAll(testTeam.id, 62) shouldBe false
        plan.isExhausted(testTeam.id, 62) shouldBe true
    }

    // Guards against a lost answer that blocks requests to its holder for ever.
    test("a request without an answer times out after the maximum wait and the validity of tokens") {
        val plan = plan(holders[1] to 4)
        plan.next(testTeam, 5, 5, 0) shouldBe listOf(TransferRequest(holders[1], 5))
        plan.next(testTeam, 5, 5, 1_000) shouldBe emptyList()
        plan.next(testTeam, 5, 5, 1_001) shouldBe emptyList()
        plan.next(testTeam, 5, 5, 2_001) shouldBe listOf(TransferRequest(holders[1], 5))
    }
})
