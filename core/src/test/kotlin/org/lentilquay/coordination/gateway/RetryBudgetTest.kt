package org.lentilquay.coordination.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe

/** Guards against repeated sends that multiply the load of a service in trouble. */
class RetryBudgetTest : FunSpec({
    test("with every request failing, all VMs together stay within the bound in any window") {
        val bounds = RetryBounds(ratio = 0.2, allowance = 56.0)
        val budgets = List(8) { RetryBudget(bounds).apply { membersChanged(8) } }
        val windowRequests = 1_000
        var repeated = 0
        repeat(windowRequests) { number ->
            val budget = budgets[number % budgets.size]
            budget.requested("s")
            while (budget.take("s")) repeated++
        }
        repeated shouldBeGreaterThan 0
        repeated.toDouble() shouldBeLessThanOrEqualTo bounds.ratio * windowRequests + bounds.allowance
    }

    test("a VM without requests has a small credit of its own and no more") {
        val budget = RetryBudget(RetryBounds(0.2, 56.0)).apply { membersChanged(8) }
        generateSequence { budget.take("s") }.takeWhile { it }.count() shouldBe 2
    }

    test("services have budgets of their own") {
        val budget = RetryBudget(RetryBounds(0.2, 0.0)).apply { membersChanged(1) }
        budget.take("one") shouldBe true
        budget.take("one") shouldBe false
        budget.take("two") shouldBe true
    }
})
