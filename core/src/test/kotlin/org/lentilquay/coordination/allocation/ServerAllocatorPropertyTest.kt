package org.lentilquay.coordination.allocation

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan

/**
 * Guards against breaking what must always hold (docs/design.md, section 1.2) under restarts, deaths of VMs, pauses,
 * lost messages and unknown results of orders, in random sequences with fixed seeds.
 */
class ServerAllocatorPropertyTest : FunSpec({
    test("random sequences keep pins, limits, claims and the takeover wait, and every request ends") {
        val counts = HashMap<String, Int>()
        val failures = ArrayList<String>()
        (1..SEEDS).forEach { seed ->
            val world = ModelWorld(seed)
            world.run()
            failures += world.violations.take(2).map { "seed $seed, $it" }
            world.counts.forEach { (name, count) -> counts.merge(name, count, Int::plus) }
        }
        withClue(failures.take(12).joinToString("\n")) { failures.shouldBeEmpty() }
        println("model runs: $counts")
        listOf("grants", "loads", "unloads", "restarts", "deaths", "pauses").forEach {
            withClue("the sequences contain $it") { (counts[it] ?: 0) shouldBeGreaterThan SEEDS / 2 }
        }
    }
}) {
    private companion object {
        const val SEEDS = 120
    }
}
