package org.lentilquay.coordination.gateway.scale

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.math.PI
import kotlin.math.ceil
import kotlin.math.sin
import kotlin.random.Random

private const val USED_SLOTS = 0.6 * SLOTS

/** The servers for [requests] at the utilization at which an engine counts as busy. */
private fun servers(requests: Double) = ceil(requests / USED_SLOTS).toInt()

/** Demand that grows from [from] to [to] requests within [millis], and stays. */
private fun ramp(from: Double, to: Double, startsAt: Long, millis: Long) = { now: Long ->
    from + (to - from) * ((now - startsAt).toDouble() / millis).coerceIn(0.0, 1.0)
}

/** Guards against servers that come too late for their callers, and against ones that go while they are needed. */
class ScaleDecisionTest : FunSpec({
    listOf(2, 3, 4, 8).forEach { boots ->
        listOf(2, 3, 4).forEach { factor ->
            test("no request waits longer than a boot time in a ramp to $factor times the need in $boots boot times") {
                val demand = ramp(60.0, 60.0 * factor, startsAt = 40_500, millis = boots * BOOT_MILLIS)
                val service = ScaleSimulation(listOf(A, B), start = 10) { _, now -> demand(now) / 2 }
                service.runUntil(40_000L + (boots + 3) * BOOT_MILLIS)
                service.longestWaitMillis shouldBeLessThanOrEqual BOOT_MILLIS
                service.total() shouldBeGreaterThanOrEqual servers(60.0 * factor)
            }
        }
    }

    // Chance makes the need of so many requests vary by a tenth; servers for each peak would cost more than they serve.
    test("a need that varies by chance keeps its number within a quarter of it") {
        val chance = Random(1)
        val service = ScaleSimulation(listOf(A, B), start = 12) { _, _ -> 50 + 5 * chance.nextDouble(-1.0, 1.0) }
        service.runUntil(300_000)
        service.decided.drop(60).forEach { numbers ->
            val total = numbers.domains.values.sumOf { it.wanted }
            total shouldBeLessThanOrEqual servers(100.0) * 5 / 4
            total shouldBeGreaterThanOrEqual servers(100.0)
        }
    }

    test("a step is answered at once, and by no more than the step") {
        val service = ScaleSimulation(listOf(A, B), start = 10) { _, now -> if (now < 30_000) 30.0 else 90.0 }
        service.runUntil(30_000)
        service.total() shouldBeGreaterThanOrEqual servers(180.0)
        service.runUntil(100_000)
        service.longestWaitMillis shouldBeLessThanOrEqual BOOT_MILLIS
        service.total() shouldBe servers(180.0)
    }

    listOf(3_000L, 5_000L, 8_000L).forEach { period ->
        test("a wave with a period of $period ms does not make the number swing") {
            val service = ScaleSimulation(listOf(A, B), start = 12) { _, now ->
                50 + 30 * sin(2 * PI * now / period)
            }
            service.runUntil(200_000)
            val settled = service.numbers(A).drop(40)
            settled.distinct().size shouldBe 1
            service.total() shouldBeGreaterThanOrEqual servers(150.0)
            service.total() shouldBeLessThanOrEqual servers(160.0)
        }
    }

    test("a wave slower than the boot time keeps its callers from waiting longer than one") {
        val service = ScaleSimulation(listOf(A, B), start = 12) { _, now -> 60 + 40 * sin(2 * PI * now / 60_000) }
        service.runUntil(240_000)
        service.longestWaitMillis shouldBeLessThanOrEqual BOOT_MILLIS
    }

    test("a lower need takes servers only after two boot times, a quarter of them at most for each boot time") {
        val service = ScaleSimulation(listOf(A), start = 32) { _, now -> if (now < 60_000) 190.0 else 20.0 }
        service.runUntil(60_000 + 2 * BOOT_MILLIS - 1_000)
        service.numbers(A).last() shouldBe 32
        service.runUntil(200_000)
        val pairs = service.numbers(A).zipWithNext()
        pairs.forEach { (former, next) -> next shouldBeGreaterThanOrEqual former - former / 4 }
        val falls = pairs.withIndex().filter { (_, pair) -> pair.second < pair.first }
        falls.zipWithNext { a, b -> b.index - a.index }.forEach { it shouldBeGreaterThanOrEqual 8 }
        service.numbers(A).last() shouldBe servers(20.0)
    }

    test("demand that moves to another domain gets its servers there before they go in the former one") {
        val moved = { now: Long -> ramp(100.0, 10.0, startsAt = 60_000, millis = BOOT_MILLIS)(now) }
        val service = ScaleSimulation(listOf(A, B), start = 10) { domain, now ->
            if (domain == A) moved(now) else 110 - moved(now)
        }
        service.runUntil(60_000)
        service.numbers(A).last() shouldBeGreaterThanOrEqual servers(100.0)
        val before = service.numbers(A).last()
        service.runUntil(60_000 + 2 * BOOT_MILLIS)
        service.numbers(B).last() shouldBeGreaterThanOrEqual servers(80.0)
        service.numbers(A).last() shouldBe before
        service.runUntil(240_000)
        service.numbers(B).last() shouldBeGreaterThanOrEqual servers(100.0)
        service.numbers(A).last() shouldBeLessThanOrEqual servers(20.0)
        service.longestWaitMillis shouldBe 0
    }

    test("the other domains take the part of servers that do not come, until these come") {
        val service = ScaleSimulation(listOf(A, B, C), start = 5) { _, now -> if (now < 30_000) 20.0 else 60.0 }
        service.barren = setOf(B)
        service.runUntil(30_000 + 2 * BOOT_MILLIS - 1_000)
        service.numbers(A).last() shouldBe servers(60.0)
        service.runUntil(30_000 + 5 * BOOT_MILLIS)
        service.numbers(B).last() shouldBe servers(60.0)
        service.numbers(A).last() + service.numbers(C).last() + 5 shouldBeGreaterThanOrEqual servers(180.0)
        service.barren = emptySet()
        service.runUntil(200_000)
        service.total() shouldBe servers(180.0)
    }

    test("what does not fit in one domain goes to the others") {
        val service = ScaleSimulation(listOf(A, B), start = 10, maximum = 16) { domain, _ ->
            if (domain == A) 120.0 else 6.0
        }
        service.runUntil(120_000)
        service.numbers(A).last() shouldBe 16
        service.numbers(B).last() shouldBe servers(126.0) - 16
    }

    listOf(1_000L, 5_000L, 20_000L).forEach { at ->
        test("a holder that changes $at ms into a fall keeps the recorded order, and rises with the demand") {
            val service = ScaleSimulation(listOf(A), start = 30) { _, now ->
                if (now < 30_000) 170.0 else if (now < 120_000) 40.0 else 200.0
            }
            service.runUntil(30_000 + 2 * BOOT_MILLIS + at)
            val recorded = service.numbers(A).last()
            service.changeHolder()
            service.runUntil(service.now + BOOT_MILLIS)
            service.numbers(A).takeLast(8).distinct() shouldBe listOf(recorded)
            service.runUntil(119_000)
            service.numbers(A).last() shouldBeLessThanOrEqual servers(60.0)
            service.runUntil(140_000)
            service.numbers(A).last() shouldBeGreaterThanOrEqual servers(200.0)
        }
    }

    test("nothing changes while inputs are too old, and falls start anew afterwards") {
        val service = ScaleSimulation(listOf(A), start = 30) { _, now -> if (now < 20_000) 178.0 else 300.0 }
        service.runUntil(19_000)
        service.ageMillis = 5_001
        service.runUntil(60_000)
        service.numbers(A).last() shouldBe 30
        service.decided.last().domains.getValue(A).reason shouldBe ScaleReason.STALE
        service.ageMillis = 5_000
        service.runUntil(61_000)
        service.decided.last().domains.getValue(A).reason shouldBe ScaleReason.RISES

        val falling = ScaleSimulation(listOf(A), start = 30) { _, _ -> 10.0 }
        falling.runUntil(2 * BOOT_MILLIS - 1_000)
        falling.ageMillis = 9_000
        falling.runUntil(40_000)
        falling.ageMillis = 0
        falling.runUntil(40_000 + 2 * BOOT_MILLIS)
        falling.numbers(A).distinct() shouldBe listOf(30)
        falling.runUntil(41_000 + 2 * BOOT_MILLIS)
        falling.numbers(A).last() shouldBe 23
    }

    test("a drained domain keeps its number, and the others take its part") {
        val service = ScaleSimulation(listOf(A, B), start = 10) { _, _ -> 50.0 }
        service.runUntil(40_000)
        val before = service.numbers(B).last()
        service.drained = setOf(B)
        service.runUntil(120_000)
        service.numbers(B).last() shouldBe before
        service.numbers(A).last() shouldBeGreaterThanOrEqual servers(100.0)
        service.drained = emptySet()
        service.runUntil(120_000 + BOOT_MILLIS)
        service.numbers(B).last() shouldBe before
    }

    test("no server goes whose engine holds adapters that have no place at the others") {
        val service = ScaleSimulation(listOf(A, B), start = 10) { _, _ -> 5.0 }
        service.places = AdapterPlaces(inUse = 130, perServer = 8)
        service.runUntil(120_000)
        service.total() shouldBe 17
        service.decided.flatMap { it.domains.values }.map { it.reason } shouldContain ScaleReason.ADAPTERS
        service.places = AdapterPlaces(inUse = 20, perServer = 8)
        service.runUntil(300_000)
        service.total() shouldBe 4
    }

    test("the log line of a domain is one line of bounded length with the inputs") {
        val service = ScaleSimulation(listOf(A), start = 4) { _, _ -> 170.0 }
        service.runUntil(1_000)
        val fields = service.decided.last().logFields(A).toMap()
        fields["desired"] shouldBe servers(170.0)
        fields["reason"] shouldBe "the need has risen"
        fields.toString().length shouldBeLessThanOrEqual 500
    }
})
