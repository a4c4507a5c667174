package org.lentilquay.coordination

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.shouldBe

/** Guards against a ranking that overloads some servers, moves too many adapters, or differs between VMs. */
class RendezvousRankingTest : FunSpec({
    val keys = (1..6_400).map { "adapter-$it" }

    listOf(2, 8, 64).forEach { size ->
        val candidates = (1..size).map { "10.0.0.$it:8000" }

        test("$size candidates each rank first for an equal share of the keys") {
            val counts = keys.groupingBy { rendezvousRanking(it, candidates).first() }.eachCount()
            val mean = keys.size.toDouble() / size
            // Four standard deviations of a binomial distribution.
            val margin = 4 * kotlin.math.sqrt(mean)
            candidates.forEach { (counts[it] ?: 0).toDouble().shouldBeBetween(mean - margin, mean + margin, 0.0) }
        }

        test("without one of $size candidates, only its keys move, each to the candidate that ranked second") {
            val gone = candidates.last()
            keys.forEach { key ->
                rendezvousRanking(key, candidates - gone) shouldBe rendezvousRanking(key, candidates) - gone
            }
        }
    }

    test("the ranking does not depend on the input order, and rendezvousFirst returns its first candidate") {
        val candidates = (1..20).map { "vm-$it" }
        keys.take(100).forEach { key ->
            val ranking = rendezvousRanking(key, candidates)
            rendezvousRanking(key, candidates.reversed()) shouldBe ranking
            rendezvousFirst(key, candidates) { it } shouldBe ranking.first()
        }
        rendezvousFirst("key", emptyList<String>()) { it } shouldBe null
    }

    test("rendezvousRank gives the position in the ranking, also for names outside of ASCII") {
        val candidates = (1..20).map { "vm-$it" } + "vm-\u00e9" + "vm-\u20ac"
        keys.take(50).forEach { key ->
            val ranking = rendezvousRanking(key, candidates)
            candidates.forEach { own -> rendezvousRank(key, candidates, own) { it } shouldBe ranking.indexOf(own) }
        }
        rendezvousRank("key", candidates, "vm-21") { it } shouldBe -1
    }

    test("the hash has the fixed values that the protocol between VMs requires") {
        stableHash("") shouldBe FIXED_EMPTY
        stableHash("adapter-1") shouldBe FIXED_ADAPTER
    }
})

// Computed by an independent implementation of the two published functions.
private const val FIXED_EMPTY = -1_166_397_803_181_037_274L
private const val FIXED_ADAPTER = -4_385_126_594_836_928_212L
