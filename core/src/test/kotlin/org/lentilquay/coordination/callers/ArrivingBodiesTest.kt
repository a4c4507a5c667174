package org.lentilquay.coordination.callers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.callers.ArrivingBodies.Body

private const val MAXIMUM = 1_000_000L

/** The parts of long and of short bodies, and the reserve of one long body. */
private const val LONG_PART = 500_000L
private const val SHORT_PART = 250_000L
private const val LONG = 200_000L
private const val BLOCK = 16_384L

/**
 * Guards against bodies that take the memory of a process: many of legal length at once, many that stop just short of
 * their end and stay open, and many that arrive very slowly.
 */
class ArrivingBodiesTest : FunSpec({
    listOf(LONG to "with a length", null to "in chunks").forEach { (length, name) ->
        test("many bodies that arrive at once take no more than the memory, and all of them arrive, $name") {
            val memory = ArrivingBodies(MAXIMUM)
            val bodies = List(40) { Body(length, startedAt = it / 10L) }
            val arriving = bodies.toMutableList()
            var rounds = 0
            while (arriving.isNotEmpty()) {
                check(++rounds < 10_000) { "${arriving.size} bodies wait for each other" }
                arriving.toList().forEach { body ->
                    memory.tryGrow(body, BLOCK, now = rounds.toLong())
                    if (body.heldBytes >= LONG) {
                        memory.arrived(body)
                        memory.release(body)
                        arriving -= body
                    }
                }
                bodies.sumOf { it.heldBytes } shouldBeLessThanOrEqual MAXIMUM
            }
        }
    }

    test("bodies that stop short give way to one that waits, longest silent first") {
        val memory = ArrivingBodies(MAXIMUM)
        val silent = List(5) { Body(LONG, startedAt = it.toLong()) }
        silent.forEachIndexed { index, body -> memory.tryGrow(body, LONG - 50_000, now = index.toLong()) }
        memory.giveWay(now = 900) shouldBe null
        val ordinary = Body(LONG / 2, startedAt = 100)
        memory.tryGrow(ordinary, LONG / 2, now = 100) shouldBe false
        memory.giveWay(now = 900) shouldBe null
        memory.giveWay(now = 1_050) shouldBe silent[0]
        silent[0].hasGivenWay shouldBe true
        memory.release(silent[0])
        memory.tryGrow(ordinary, LONG / 2, now = 1_060) shouldBe false
        memory.giveWay(now = 1_060) shouldBe silent[1]
        memory.release(silent[1])
        memory.tryGrow(ordinary, LONG / 2, now = 1_070) shouldBe true
    }

    test("nothing gives way while no body waits") {
        val memory = ArrivingBodies(MAXIMUM)
        memory.tryGrow(Body(LONG, startedAt = 0), LONG - 1, now = 0) shouldBe true
        memory.giveWay(now = 60_000) shouldBe null
    }

    test("a body that arrives a few bytes at a time gives way") {
        val memory = ArrivingBodies(MAXIMUM)
        val slow = Body(LONG, startedAt = 0)
        memory.tryGrow(slow, 100_000, now = 0) shouldBe true
        val handled = Body(MAXIMUM, startedAt = 0)
        memory.tryGrow(handled, LONG_PART - 101_000, now = 0) shouldBe true
        memory.arrived(handled)
        memory.tryGrow(slow, 1, now = 2_500) shouldBe true
        val owner = Body(LONG, startedAt = 1)
        memory.tryGrow(owner, LONG, now = 2_500) shouldBe true
        memory.tryGrow(Body(LONG, startedAt = 2_000), LONG, now = 2_500) shouldBe false
        memory.giveWay(now = 2_600) shouldBe slow
    }

    test("a body that has arrived never gives way, nor does one that waits") {
        val memory = ArrivingBodies(MAXIMUM)
        val handled = Body(LONG_PART, startedAt = 0)
        memory.tryGrow(handled, LONG_PART, now = 0) shouldBe true
        memory.arrived(handled)
        val first = Body(LONG, startedAt = 0)
        memory.tryGrow(first, LONG, now = 0) shouldBe true
        memory.tryGrow(Body(LONG, startedAt = 1), LONG, now = 1) shouldBe false
        memory.arrived(first)
        memory.giveWay(now = 60_000) shouldBe null
    }

    test("short bodies go on while long ones have all of their memory, and the other way round") {
        val memory = ArrivingBodies(MAXIMUM)
        memory.tryGrow(Body(LONG_PART, startedAt = 0), LONG_PART, now = 0) shouldBe true
        memory.tryGrow(Body(LONG, startedAt = 1), LONG, now = 1) shouldBe true
        val long = Body(LONG * 2, startedAt = 2)
        memory.tryGrow(long, LONG, now = 2) shouldBe false
        val middle = Body(LONG, startedAt = 3)
        memory.tryGrow(middle, LONG, now = 3) shouldBe false
        memory.waiting shouldContainExactly listOf(middle, long)
        val shorts = List(20) { Body(20_000, startedAt = 4) }
        shorts.count { memory.tryGrow(it, 20_000, now = 4) } shouldBe (SHORT_PART / 20_000).toInt()
    }

    test("a body with a length goes before many of unknown length that have arrived in part") {
        val memory = ArrivingBodies(MAXIMUM)
        val chunked = List(60) { Body(null, startedAt = it.toLong()) }
        repeat(10) { chunked.forEach { memory.tryGrow(it, BLOCK, now = 100) } }
        val ordinary = Body(LONG / 2, startedAt = 200)
        memory.tryGrow(ordinary, BLOCK, now = 200) shouldBe false
        memory.waiting.first() shouldBe ordinary
    }

    test("short bodies that stop short give way to others") {
        val memory = ArrivingBodies(MAXIMUM)
        val silent = List((SHORT_PART / 25_000).toInt()) { Body(26_000, startedAt = 0) }
        silent.forEach { memory.tryGrow(it, 25_000, now = 0) shouldBe true }
        val ordinary = Body(2_000, startedAt = 500)
        memory.tryGrow(ordinary, 2_000, now = 500) shouldBe false
        val first = memory.giveWay(now = 1_500)
        first shouldBe silent.first()
        memory.release(silent.first())
        memory.tryGrow(ordinary, 2_000, now = 1_500) shouldBe true
    }

    test("a single body of any length fits in calm") {
        val memory = ArrivingBodies(MAXIMUM)
        val body = Body(4 * MAXIMUM, startedAt = 0)
        repeat(4) { memory.tryGrow(body, MAXIMUM, now = it.toLong()) shouldBe true }
    }
})
