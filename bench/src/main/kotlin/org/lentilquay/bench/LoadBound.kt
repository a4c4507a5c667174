/*
 * The least number of loads with which a sequence of requests can be served (Belady, 1966): all slots of a model are
 * taken as one pool, and the adapter that is needed again the latest is evicted. Pins, the division of the slots
 * between engines and the time that a load takes are left out, so no scheduler that serves in this order needs less.
 */
package org.lentilquay.bench

import java.util.PriorityQueue

/** The least number of loads for [adapters] in this order on [slots] slots that are empty at the start. */
fun leastLoads(adapters: List<Int>, slots: Int): Int {
    require(slots > 0) { "no slots" }
    val nextUse = nextUses(adapters)
    val heldUntil = HashMap<Int, Int>()
    // Pairs of next use and adapter, the latest first; entries that are out of date are skipped.
    val latest = PriorityQueue<Pair<Int, Int>>(compareByDescending { it.first })
    var loads = 0
    adapters.forEachIndexed { index, adapter ->
        if (adapter !in heldUntil) {
            loads++
            if (heldUntil.size == slots) {
                val victim = generateSequence(latest::poll).first { (use, held) -> heldUntil[held] == use }
                heldUntil.remove(victim.second)
            }
        }
        heldUntil[adapter] = nextUse[index]
        latest += nextUse[index] to adapter
    }
    return loads
}

/** For each place in [adapters] the next place with the same adapter, or a place beyond the end. */
private fun nextUses(adapters: List<Int>): IntArray {
    val next = HashMap<Int, Int>()
    val uses = IntArray(adapters.size)
    for (index in adapters.indices.reversed()) {
        uses[index] = next[adapters[index]] ?: Int.MAX_VALUE
        next[adapters[index]] = index
    }
    return uses
}
