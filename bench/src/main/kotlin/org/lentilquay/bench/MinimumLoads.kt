/*
 * The minimum number of adapter loads for a sequence of requests, by Belady's algorithm (1966): all adapter slots form
 * one pool, and the adapter whose next use is farthest ahead is evicted. Pinned adapters, the distribution of the slots
 * over engines and load times are ignored, so this is a lower bound for every scheduler that serves in this order.
 */
package org.lentilquay.bench

import java.util.PriorityQueue

/** The minimum number of loads for requests of [adapters] in this order, with [slots] adapter slots, empty at first. */
fun minimumLoads(adapters: List<Int>, slots: Int): Int {
    require(slots > 0) { "no adapter slots" }
    val nextUse = nextUses(adapters)
    val nextUseOfLoaded = HashMap<Int, Int>()
    // Pairs of next use and adapter, the farthest use first; outdated entries are skipped.
    val byNextUse = PriorityQueue<Pair<Int, Int>>(compareByDescending { it.first })
    var loads = 0
    adapters.forEachIndexed { index, adapter ->
        if (adapter !in nextUseOfLoaded) {
            loads++
            if (nextUseOfLoaded.size == slots) {
                val evicted = generateSequence(byNextUse::poll).first { (use, id) -> nextUseOfLoaded[id] == use }
                nextUseOfLoaded.remove(evicted.second)
            }
        }
        nextUseOfLoaded[adapter] = nextUse[index]
        byNextUse += nextUse[index] to adapter
    }
    return loads
}

/** For each index in [adapters] the next index with the same adapter, or [Int.MAX_VALUE]. */
private fun nextUses(adapters: List<Int>): IntArray {
    val next = HashMap<Int, Int>()
    val uses = IntArray(adapters.size)
    for (index in adapters.indices.reversed()) {
        uses[index] = next[adapters[index]] ?: Int.MAX_VALUE
        next[adapters[index]] = index
    }
    return uses
}
