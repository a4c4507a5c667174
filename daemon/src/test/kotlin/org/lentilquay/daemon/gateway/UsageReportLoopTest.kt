package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldContainAll
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import org.lentilquay.state.gateway.usageWindowKey

private const val VMS = 5

/** A request of each VM every 200 ms. */
private const val FULL_WINDOW = VMS * 25L

private suspend fun fleet(hasEras: Boolean = false, test: suspend DutyFleet.() -> Unit) =
    DutyFleet(VMS, hasEras).use { it.test() }

/** The whole windows from [from] until [until], in milliseconds of the test. */
private fun DutyFleet.windows(from: Long, until: Long) = (window(from) until window(until)).toList()

private fun DutyFleet.countOf(window: Long) = api.reports.last { it.window == window }.counts[KITCHEN]

private fun DutyFleet.shouldNotContradict() = api.distinct.map { it.first }.let { it shouldBe it.distinct() }

/** Guards against usage reports that are wrong, contradict each other, come late or are missing. */
class UsageReportLoopTest : FunSpec({
    test("each window is reported once, in time and in full, with one scan and one write") {
        fleet {
            pass(60_000)
            api.reports.map { it.window } shouldBe windows(0, 55_000)
            windows(5_000, 50_000).forEach { countOf(it) shouldBe FULL_WINDOW }
            val earlier = api.reports.size
            table.scans.clear()
            table.writes.clear()
            pass(60_000)
            api.reports.size shouldBe earlier + 12
            table.scans shouldBe List(12) { "usage/" }
            table.writes.count { it.startsWith("usage-windows/") } shouldBe 12
        }
    }

    test("wall clocks that differ by seconds, and jump, change nothing") {
        fleet {
            vms[0].clockError = 4_000
            vms[1].clockError = -7_000
            pass(20_000)
            vms[1].clockError = 9_000
            pass(20_000)
            windows(5_000, 30_000).forEach { countOf(it) shouldBe FULL_WINDOW }
        }
    }

    test("a VM that dies in the middle of a window loses at most the requests since its last renewal") {
        fleet {
            pass(22_000)
            vms[3].isAlive = false
            pass(18_000)
            val expected = FULL_WINDOW - 15
            (countOf(window(20_000)) ?: 0) shouldBeInRange expected - 10..expected
            windows(25_000, 30_000).forEach { countOf(it) shouldBe FULL_WINDOW - 25 }
        }
    }

    test("the counts of both processes of a VM that restarts are reported") {
        fleet {
            pass(22_400)
            restart(2)
            pass(20_000)
            (countOf(window(20_000)) ?: 0) shouldBeInRange FULL_WINDOW - 10..FULL_WINDOW
            countOf(window(25_000)) shouldBe FULL_WINDOW
        }
    }

    test("the holder changes before a window is fixed") {
        fleet {
            pass(27_000)
            holder = null
            pass(3_000)
            holder = 1
            fence = 2
            pass(20_000)
            shouldNotContradict()
            windows(5_000, 40_000).forEach { countOf(it) shouldBe FULL_WINDOW }
        }
    }

    test("the holder changes between fixing and sending") {
        fleet {
            pass(20_000)
            api.outcome = DutyOutcome.NOT_SENT
            pass(8_000)
            table.text(usageWindowKey(window(20_000))).orEmpty() shouldContain "\"kitchen\":$FULL_WINDOW"
            holder = null
            pass(2_000)
            api.outcome = DutyOutcome.ACCEPTED
            holder = 1
            fence = 2
            pass(400)
            api.reports.last().fence shouldBe 2
            countOf(window(20_000)) shouldBe FULL_WINDOW
            shouldNotContradict()
        }
    }

    test("the answer of the write that fixes a window is lost") {
        fleet {
            pass(22_400)
            table.losesAnswers = true
            pass(7_000)
            table.losesAnswers = false
            pass(10_000)
            countOf(window(20_000)) shouldBe FULL_WINDOW
            api.reports.map { it.window } shouldBe windows(0, 35_000)
        }
    }

    test("a window is reported after the API was slow, cut off or refused calls") {
        listOf(DutyOutcome.LOST, DutyOutcome.NOT_SENT, DutyOutcome.THROTTLED, DutyOutcome.REFUSED).forEach { failure ->
            fleet {
                pass(20_000)
                api.outcome = failure
                pass(20_000)
                api.outcome = DutyOutcome.ACCEPTED
                pass(5_000)
                shouldNotContradict()
                api.reports.map { it.window } shouldContainAll windows(0, 40_000)
            }
        }
    }

    test("an API that is down for long costs the windows of that time, and each is counted as missed") {
        fleet {
            pass(20_000)
            api.outcome = DutyOutcome.REFUSED
            pass(60_000)
            val tried = api.reports.count { it.window == window(20_000) }
            tried shouldBeInRange 3..20
            metrics.text().decodeToString() shouldContain "lentilquay_gateway_usage_windows_total{result=\"missed\"}"
        }
    }

    test("the table service is away for 4 s") {
        fleet {
            pass(27_000)
            table.isReachable = false
            pass(4_000)
            table.isReachable = true
            pass(20_000)
            windows(5_000, 40_000).forEach { countOf(it) shouldBe FULL_WINDOW }
            shouldNotContradict()
        }
    }

    test("a return of the table service after a window was sent leaves its row to the holder, which writes it again") {
        fleet(hasEras = true) {
            pass(28_000)
            api.reports.map { it.window } shouldContain window(20_000)
            table.returnFrom(6_000)
            table.keys("usage-windows/").contains(usageWindowKey(window(20_000))) shouldBe false
            pass(1_000)
            table.keys("usage-windows/") shouldContain usageWindowKey(window(20_000))
            fence = 2
            pass(20_000)
            shouldNotContradict()
            windows(5_000, 40_000).forEach { countOf(it) shouldBe FULL_WINDOW }
        }
    }

    test("two returns 1 s apart and a new holder lead to no second report of a window") {
        fleet(hasEras = true) {
            pass(28_000)
            // The counts that this VM published last are in no copy, so that the window cannot be collected again.
            vms[4].isAlive = false
            table.returnFrom(6_000)
            holder = null
            pass(1_000, isBusy = false)
            table.returnFrom(7_000)
            pass(2_200)
            holder = 3
            fence = 2
            pass(20_000)
            shouldNotContradict()
            windows(30_000, 40_000).forEach { api.reports.map { report -> report.window } shouldContain it }
        }
    }

    // The write of a former holder may be executed after a return, with counts that another VM has not reported.
    test("a late write of a former holder is not reported by a new one") {
        fleet(hasEras = true) {
            pass(27_400)
            table.delaysWrites = true
            pass(1_000, isBusy = false)
            holder = null
            table.delaysWrites = false
            pass(3_000)
            holder = 1
            fence = 2
            pass(1_000)
            countOf(window(20_000)) shouldBe FULL_WINDOW
            table.returnFrom(8_000)
            table.executeLate()
            holder = null
            pass(3_400)
            holder = 2
            fence = 3
            pass(10_000)
            shouldNotContradict()
        }
    }

    test("a VM that may no longer call sends nothing") {
        fleet {
            pass(26_000)
            val before = api.reports.size
            holder = null
            pass(10_000)
            api.reports.drop(before).shouldBeEmpty()
        }
    }

    test("rows that nobody needs any more are removed with later writes") {
        fleet {
            pass(10_000)
            restart(1)
            pass(80_000)
            table.keys("usage/").size shouldBe VMS
            table.keys("usage-windows/").size shouldBeInRange 5..10
        }
    }
})
