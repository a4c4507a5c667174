package org.lentilquay.coordination.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private const val WINDOW = 10_000L
private const val HALF_WINDOW = WINDOW / 2

/** Guards against repeated sends that multiply the load of a service in trouble. */
class RetryBudgetTest : FunSpec({
    test("with every request failing, all VMs together stay within the bound in any window") {
        val bounds = RetryBounds(ratio = 0.2, allowance = 56.0, WINDOW)
        val budgets = List(8) { RetryBudget(bounds).apply { membersChanged(8) } }
        val windowRequests = 1_000
        var repeated = 0
        repeat(windowRequests) { number ->
            val now = number * WINDOW / windowRequests
            val budget = budgets[number % budgets.size]
            budget.recordRequest("s", now)
            while (budget.tryAcquire("s", now)) repeated++
        }
        repeated shouldBeGreaterThan 0
        repeated.toDouble() shouldBeLessThanOrEqualTo bounds.ratio * windowRequests + bounds.allowance
    }

    // The bound counts the requests of the window, of the one before or of the one half a window before.
    test("the bound holds in every window while traffic and failures come and go") {
        for (seed in 1..20) {
            val random = Random(seed)
            val bounds = RetryBounds(ratio = 0.2, allowance = 56.0, WINDOW)
            val budgets = List(8) { RetryBudget(bounds).apply { membersChanged(8) } }
            val requests = ArrayList<Long>()
            val repeats = ArrayList<Long>()
            for (now in 0L until 60_000 step 10) {
                val rate = if (now / 3_000 % 3 == seed % 3L) 3 else 1
                repeat(random.nextInt(rate + 1)) {
                    requests += now
                    budgets.random(random).recordRequest("s", now)
                }
                val isFailing = (now + seed * 700) / 4_000 % 2 == 0L
                if (isFailing) budgets.filter { it.tryAcquire("s", now) }.forEach { _ -> repeats += now }
            }
            for (start in 0L until 50_000 step 250) {
                fun count(times: List<Long>, from: Long) = times.count { it in from until from + WINDOW }
                val counted = maxOf(
                    count(requests, start),
                    count(requests, start - HALF_WINDOW),
                    count(requests, start - WINDOW),
                )
                withClue("seed $seed, window from $start") {
                    count(repeats, start).toDouble() shouldBeLessThanOrEqualTo
                        bounds.ratio * counted + bounds.allowance
                }
            }
        }
    }

    // Pattern: the failures of a fleet of 79 VMs come together. On emberline-tt-grown 784 requests in three seconds
    // were refused for want of a repeat, while all VMs together used a sixth of the fleet's budget.
    test("a VM that had no failures for a window can repeat its share of that window's requests at once") {
        val budget = RetryBudget(RetryBounds(ratio = 0.2, allowance = 198.0, WINDOW)).apply { membersChanged(79) }
        repeat(57) { budget.recordRequest("s", it * 170L) }
        val taken = generateSequence { budget.tryAcquire("s", 9_700) }.takeWhile { it }.count()
        // Half of the share that the ratio gives for 57 requests.
        taken shouldBeGreaterThanOrEqual 5
    }

    test("a VM without requests has a small credit of its own and no more") {
        val budget = RetryBudget(RetryBounds(0.2, 56.0, WINDOW)).apply { membersChanged(8) }
        generateSequence { budget.tryAcquire("s", 0) }.takeWhile { it }.count() shouldBe 2
    }

    test("services have budgets of their own") {
        val budget = RetryBudget(RetryBounds(0.2, 0.0, WINDOW)).apply { membersChanged(1) }
        budget.tryAcquire("one", 0) shouldBe true
        budget.tryAcquire("one", 0) shouldBe false
        budget.tryAcquire("two", 0) shouldBe true
    }
})
