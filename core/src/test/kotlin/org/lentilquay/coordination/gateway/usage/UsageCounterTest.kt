package org.lentilquay.coordination.gateway.usage

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.lentilquay.state.TeamId
import org.lentilquay.state.gateway.DemandRecord

private val KITCHEN = TeamId("kitchen")
private val VANS = TeamId("vans")

/** Guards against requests that are counted in another window, twice, or not at all. */
class UsageCounterTest : FunSpec({
    test("requests are counted by team in the window of true time in which they began") {
        val counter = UsageCounter(5_000)
        counter.setOffset(100_000, now = 0)
        counter.began(KITCHEN, 4_999)
        counter.began(VANS, 5_000)
        counter.began(KITCHEN, 5_001)
        val record = counter.record(6_000, isFinal = false).shouldNotBeNull()
        record.completeMillis shouldBe 106_000
        record.counts(20) shouldBe mapOf(KITCHEN to 1L)
        record.counts(21) shouldBe mapOf(KITCHEN to 1L, VANS to 1L)
    }

    test("requests before the true time is known are counted once it is") {
        val counter = UsageCounter(5_000)
        counter.began(KITCHEN, 10)
        counter.record(20, isFinal = false).shouldBeNull()
        counter.setOffset(100_000, now = 30)
        counter.record(40, isFinal = false).shouldNotBeNull().counts(20) shouldBe mapOf(KITCHEN to 1L)
    }

    // The holder may have fixed a window on the word of this VM.
    test("a true time that is set back adds nothing to a time that was called complete") {
        val counter = UsageCounter(5_000)
        counter.setOffset(100_000, now = 0)
        counter.record(5_100, isFinal = false)
        counter.setOffset(97_000, now = 5_200)
        counter.began(KITCHEN, 5_300)
        val record = counter.record(5_400, isFinal = false).shouldNotBeNull()
        record.completeMillis shouldBe 105_100
        record.counts(20) shouldBe emptyMap()
        record.counts(21) shouldBe mapOf(KITCHEN to 1L)
    }

    test("a record repeats the last six windows, and drops older ones") {
        val counter = UsageCounter(5_000)
        counter.setOffset(0, now = 0)
        (0..8).forEach { counter.began(KITCHEN, it * 5_000L) }
        counter.record(40_000, isFinal = false).shouldNotBeNull().windows.keys shouldBe (2L..8L).toSet()
    }

    test("demand is told for the time since the last record, and what waits as it is now") {
        val counter = UsageCounter(5_000)
        counter.setOffset(0, now = 0)
        repeat(3) { counter.arrived("models") }
        counter.waitingChanged("models", 2)
        counter.refused("models")
        counter.record(1_000, isFinal = false)?.demand shouldBe mapOf("models" to DemandRecord(3, 2, 1))
        val next = counter.record(3_000, isFinal = false).shouldNotBeNull()
        next.demand shouldBe mapOf("models" to DemandRecord(0, 2, 0))
        next.spanMillis shouldBe 2_000
    }

    test("wall clocks that differ or jump by seconds do not move the true time of the fleet") {
        medianOf(listOf(1_000, 1_002, 1_001, 6_000, -9_000)) shouldBe 1_001
        medianOf(listOf(1_000, 1_002)) shouldBe 1_001
        medianOf(emptyList()).shouldBeNull()
    }

    test("late answers of the table service do not set its clock back, and a drift ends with the observation") {
        val clock = TableClockEstimate()
        clock.observe(10_000, now = 1_000)
        clock.observe(11_000, now = 2_700)
        clock.offsetMillis shouldBe 9_000
        // The monotonic clock is 5 ms ahead after 70 s.
        (1..70).forEach { clock.observe(11_000 + it * 1_000L, now = 2_005 + it * 1_000L) }
        clock.offsetMillis shouldBe 8_995
    }
})
