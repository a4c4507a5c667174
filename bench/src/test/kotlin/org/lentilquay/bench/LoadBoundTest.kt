package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSortedBy
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

class LoadBoundTest : FunSpec({
    // Guards against a bound above the true minimum, which would make the measured ratio look better than it is.
    listOf(
        Triple(emptyList(), 2, 0),
        Triple(listOf(1, 1, 1), 1, 1),
        Triple(listOf(1, 2, 1, 2), 1, 4),
        Triple(listOf(1, 2, 1, 2), 2, 2),
        Triple(listOf(1, 2, 3, 1, 2), 2, 4),
        Triple(listOf(1, 2, 3, 4, 1, 2, 5, 1, 2, 3, 4, 5), 3, 7),
    ).forEach { (adapters, slots, expected) ->
        test("$adapters on $slots slots") { leastLoads(adapters, slots) shouldBe expected }
    }

    // Guards against a wrong choice of the victim, by trying all choices.
    test("the bound is the least of all choices of victims") {
        val random = Random(1)
        repeat(200) {
            val adapters = List(random.nextInt(9)) { random.nextInt(4) }
            val slots = 1 + random.nextInt(3)
            leastLoads(adapters, slots) shouldBe searched(adapters, emptySet(), slots)
        }
    }

    // Guards against runs with one seed that send different requests, and against a wrong mean rate.
    test("a trace follows from its seed") {
        val workload = Workload(requestsPerSecond = 50.0)
        val trace = traceOf(workload, seconds = 100, seed = 1)
        trace shouldBe traceOf(workload, seconds = 100, seed = 1)
        trace shouldNotBe traceOf(workload, seconds = 100, seed = 2)
        trace shouldBeSortedBy { it.atMillis }
        trace.size / 5_000.0 shouldBe (1.0 plusOrMinus 0.06)
        trace.count { it.isLong } / 5_000.0 shouldBe (0.1 plusOrMinus 0.02)
    }

    // Guards against refusals counted as wrongful although the team was over its rate.
    test("a team is inside its rate until its bucket is empty") {
        val request = TraceRequest(0, 0, 1, 0, false, 90, 30, 0)
        val trace = listOf(0L, 0L, 500L, 1_000L).mapIndexed { index, at -> request.copy(number = index, atMillis = at) }
        insideRate(trace, listOf(100.0), listOf(100.0)) shouldBe setOf(0, 3)
    }
})

private fun searched(adapters: List<Int>, held: Set<Int>, slots: Int): Int {
    val first = adapters.firstOrNull() ?: return 0
    val rest = adapters.drop(1)
    return when {
        first in held -> searched(rest, held, slots)
        held.size < slots -> 1 + searched(rest, held + first, slots)
        else -> 1 + held.minOf { searched(rest, held - it + first, slots) }
    }
}
