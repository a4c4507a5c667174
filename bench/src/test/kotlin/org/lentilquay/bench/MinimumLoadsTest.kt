package org.lentilquay.bench

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeSortedBy
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import kotlin.random.Random

class MinimumLoadsTest : FunSpec({
    // Guards against a result above the true minimum, which would make the measured ratio look better than it is.
    listOf(
        Triple(emptyList(), 2, 0),
        Triple(listOf(1, 1, 1), 1, 1),
        Triple(listOf(1, 2, 1, 2), 1, 4),
        Triple(listOf(1, 2, 1, 2), 2, 2),
        Triple(listOf(1, 2, 3, 1, 2), 2, 4),
        Triple(listOf(1, 2, 3, 4, 1, 2, 5, 1, 2, 3, 4, 5), 3, 7),
    ).forEach { (adapters, slots, expected) ->
        test("requests for adapters $adapters on $slots slots need $expected loads") {
            minimumLoads(adapters, slots) shouldBe expected
        }
    }

    // Guards against a wrong choice of the evicted adapter, by comparison with an exhaustive search.
    test("the result equals the minimum over all eviction choices") {
        val random = Random(1)
        repeat(200) {
            val adapters = List(random.nextInt(9)) { random.nextInt(4) }
            val slots = 1 + random.nextInt(3)
            minimumLoads(adapters, slots) shouldBe exhaustiveMinimum(adapters, emptySet(), slots)
        }
    }

    // Guards against runs with the same seed that send different requests, and against a wrong mean rate.
    test("a trace depends only on its seed and has the configured rate") {
        val workload = Workload(requestsPerSecond = 50.0)
        val trace = generateTrace(workload, seconds = 100, seed = 1)
        trace shouldBe generateTrace(workload, seconds = 100, seed = 1)
        trace shouldNotBe generateTrace(workload, seconds = 100, seed = 2)
        trace shouldBeSortedBy { it.atMillis }
        trace.size / 5_000.0 shouldBe (1.0 plusOrMinus 0.06)
        trace.count { it.isLong } / 5_000.0 shouldBe (0.1 plusOrMinus 0.02)
    }

    // Guards against refusals that count as failures although the team was over its rate.
    test("requests are within the rate while the bucket holds their tokens") {
        val request = TraceRequest(0, 0, 1, 0, false, 90, 30, 0)
        val trace = listOf(0L, 0L, 500L, 1_000L).mapIndexed { index, at -> request.copy(number = index, atMillis = at) }
        requestsWithinRate(trace, listOf(100.0), listOf(100.0)) shouldBe setOf(0, 3)
    }
})

private fun exhaustiveMinimum(adapters: List<Int>, loaded: Set<Int>, slots: Int): Int {
    val first = adapters.firstOrNull() ?: return 0
    val rest = adapters.drop(1)
    return when {
        first in loaded -> exhaustiveMinimum(rest, loaded, slots)
        loaded.size < slots -> 1 + exhaustiveMinimum(rest, loaded + first, slots)
        else -> 1 + loaded.minOf { exhaustiveMinimum(rest, loaded - it + first, slots) }
    }
}
