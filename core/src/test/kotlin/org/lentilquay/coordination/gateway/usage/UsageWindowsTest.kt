package org.lentilquay.coordination.gateway.usage

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.state.Incarnation
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.state.gateway.GatewayProcess
import org.lentilquay.state.gateway.UsageRecord
import org.lentilquay.state.gateway.UsageWindowRecord

private val KITCHEN = TeamId("kitchen")
private val A = GatewayProcess(VmId("a"), Incarnation(1))
private val B = GatewayProcess(VmId("b"), Incarnation(1))
private val B_RESTARTED = GatewayProcess(VmId("b"), Incarnation(2))

/** The window under test, and its end. */
private const val WINDOW = 20L
private const val END = 105_000L

private fun windows() = UsageWindows(UsageOptions(5_000, 10_000, 0.05))

private fun row(completeMillis: Long, count: Long, beganMillis: Long = 0) =
    UsageRecord(completeMillis, beganMillis, teams = listOf(KITCHEN), windows = mapOf(WINDOW to listOf(count)))

private fun fixedRow(count: Long, isReported: Boolean = false, era: Long? = null, window: Long = WINDOW) =
    UsageWindowRecord(window, mapOf(KITCHEN to count), isReported, fence = 1, era)

/** A holder that took the duty when all windows before [WINDOW] were reported. */
private fun holder(era: Long? = null) = windows().apply {
    adopt((14L until WINDOW).map { fixedRow(1, isReported = true, era, it) }, era, null, END - 1_000)
}

private fun UsageWindows.collect(
    rows: Map<GatewayProcess, UsageRecord>,
    now: Long,
    live: Set<GatewayProcess> = setOf(A, B),
    era: Long? = null,
): List<CollectedWindow> {
    expire(now)
    next(now) shouldBe UsageStep.Collect(listOf(WINDOW))
    return collected(listOf(WINDOW), rows, live, fence = 1, era, now)
}

private fun UsageWindows.fixNow(now: Long, count: Long, era: Long? = null): UsageWindowRecord {
    collect(mapOf(A to row(END, count), B to row(END, 0)), now, era = era)
    return next(now).shouldBeInstanceOf<UsageStep.Fix>().record.also { fixed(it) }
}

/** Guards against windows that are reported twice with different counts, too early, or not at all. */
class UsageWindowsTest : FunSpec({
    test("a window is read once the renewals after its end are due, and sent only when its row is confirmed") {
        val windows = holder()
        windows.expire(END + 2_699).shouldBeEmpty()
        windows.next(END + 2_699) shouldBe UsageStep.Wait
        val now = END + 2_700
        windows.collect(mapOf(A to row(END, 3), B to row(END + 1, 4)), now).single().missing.shouldBeEmpty()
        val record = windows.next(now).shouldBeInstanceOf<UsageStep.Fix>().record
        record.counts shouldBe mapOf(KITCHEN to 7L)
        windows.notFixed(WINDOW, now)
        windows.next(now) shouldBe UsageStep.Wait
        windows.next(now + 1_000) shouldBe UsageStep.Fix(record)
        windows.fixed(record)
        windows.next(now + 1_000) shouldBe UsageStep.Send(record)
        windows.accepted(WINDOW)
        windows.next(now + 1_000) shouldBe UsageStep.Wait
        windows.unmarked() shouldBe listOf(record.copy(isReported = true))
    }

    test("a VM that dies in the middle of a window is waited for until 3 s before the report is due") {
        val windows = holder()
        val rows = mapOf(A to row(END, 3), B to row(END - 2_000, 2))
        windows.collect(rows, END + 2_700).shouldBeEmpty()
        windows.next(END + 3_600) shouldBe UsageStep.Wait
        windows.collect(rows, END + 3_700).shouldBeEmpty()
        val collected = windows.collect(rows, END + 7_000).single()
        collected.missing shouldBe setOf(B)
        collected.counts shouldBe mapOf(KITCHEN to 5L)
    }

    test("the counts of both processes of a VM that restarts belong to the window") {
        val rows = mapOf(A to row(END, 3), B to row(END - 2_000, 2), B_RESTARTED to row(END, 1, END - 1_000))
        val collected = holder().collect(rows, END + 2_700, live = setOf(A, B_RESTARTED)).single()
        collected.counts shouldBe mapOf(KITCHEN to 6L)
        collected.missing.shouldBeEmpty()
    }

    test("a VM that stops in order is complete with its last row") {
        val rows = mapOf(A to row(END, 3), B to row(END - 2_000, 2).copy(isFinal = true))
        holder().collect(rows, END + 2_700).single().missing.shouldBeEmpty()
    }

    test("nothing is reported for the time before the first VM counted") {
        val windows = holder()
        windows.collect(mapOf(A to row(END + 2_600, 0, END + 100)), END + 2_700, setOf(A)).shouldBeEmpty()
        windows.next(END + 2_700) shouldBe UsageStep.Wait
    }

    // The first holder of a new fleet reads before the first renewals and reported windows that nobody had counted.
    test("nothing is fixed while no VM has written a row") {
        val windows = holder()
        windows.collect(emptyMap(), END + 7_500).shouldBeEmpty()
        windows.next(END + 7_500) shouldBe UsageStep.Wait
    }

    test("a holder that changes between fixing and sending leaves the row to its successor, which sends it as it is") {
        val successor = windows()
        successor.adopt(listOf(fixedRow(9)), null, null, END + 5_000).shouldBeEmpty()
        successor.next(END + 5_000) shouldBe UsageStep.Send(fixedRow(9))
    }

    test("a holder that changes before fixing leaves the window to its successor") {
        val successor = windows()
        successor.adopt((14L until WINDOW).map { fixedRow(1, isReported = true, window = it) }, null, null, END + 5_000)
        successor.collect(mapOf(A to row(END, 3)), END + 5_000, setOf(A)).single().counts shouldBe mapOf(KITCHEN to 3L)
    }

    test("a new holder does not repeat what is marked as reported") {
        val successor = windows()
        successor.adopt((14L..WINDOW).map { fixedRow(1, isReported = true, window = it) }, null, null, END + 4_000)
        successor.expire(END + 4_000).shouldBeEmpty()
        successor.next(END + 4_000) shouldBe UsageStep.Wait
    }

    test("after a return of the table service the holder writes its rows again, and a new holder skips lost ones") {
        val windows = holder(era = 1)
        val record = windows.fixNow(END + 2_700, 4, era = 1)
        windows.accepted(WINDOW)
        windows.eraChanged(END + 3_000)
        windows.next(END + 3_000).shouldBeInstanceOf<UsageStep.Restore>().records.last() shouldBe record
        val successor = windows()
        val known = (14L until WINDOW).map { fixedRow(1, isReported = true, 1, it) }
        successor.adopt(known, 2, END + 3_000, END + 3_100) shouldBe
            listOf(MissedWindow(WINDOW, MissedReason.FORMER_ERA))
        successor.expire(END + 3_100).shouldBeEmpty()
        successor.next(END + 3_100) shouldBe UsageStep.Wait
    }

    // The write of a former holder that got no answer can be executed in the next era with other counts.
    test("a new holder does not send a row of a former era") {
        val successor = windows()
        val skipped = successor.adopt(listOf(fixedRow(8, era = 1)), 2, END + 3_000, END + 3_100)
        skipped.last() shouldBe MissedWindow(WINDOW, MissedReason.FORMER_ERA)
        successor.next(END + 3_100) shouldBe UsageStep.Wait
    }

    test("what a VM has confirmed itself replaces a row that a late write has left in the next era") {
        val windows = holder(era = 1)
        val record = windows.fixNow(END + 2_700, 4, era = 1)
        windows.adopt(listOf(fixedRow(8, era = 1)), 2, END + 3_000, END + 3_100)
        windows.next(END + 3_100).shouldBeInstanceOf<UsageStep.Restore>().records shouldBe
            (14L until WINDOW).map { fixedRow(1, isReported = true, 1, it) } + record
        windows.restored()
        windows.next(END + 3_100) shouldBe UsageStep.Send(record)
    }

    test("a refused report is repeated after 0.5 s, doubling to 2 s, and given up after 30 s") {
        val windows = holder()
        var now = END + 2_700
        windows.fixNow(now, 4)
        val waits = List(5) {
            windows.notAccepted(now)
            val from = now
            while (windows.next(now) !is UsageStep.Send) now += 100
            now - from
        }
        waits shouldBe listOf(500L, 1_000L, 2_000L, 2_000L, 2_000L)
        windows.expire(END + 30_000).none { it.window == WINDOW } shouldBe true
        windows.expire(END + 30_001).first() shouldBe MissedWindow(WINDOW, MissedReason.NOT_ACCEPTED)
    }

    test("after an outage of the API, windows that can still be in time go before late ones") {
        val windows = windows()
        val late = fixedRow(1, window = WINDOW - 3)
        windows.adopt(listOf(late, fixedRow(2)), null, null, END + 3_000)
        windows.next(END + 3_000) shouldBe UsageStep.Send(fixedRow(2))
        windows.accepted(WINDOW)
        windows.next(END + 3_000) shouldBe UsageStep.Send(late)
    }

    test("a table service that is away for 4 s delays a window, and does not lose it") {
        val windows = holder()
        (0..3).forEach { second ->
            val now = END + 2_700 + second * 1_000
            windows.expire(now).shouldBeEmpty()
            windows.next(now) shouldBe UsageStep.Collect(listOf(WINDOW))
            windows.notCollected(listOf(WINDOW), now)
        }
        windows.collect(mapOf(A to row(END, 3)), END + 6_700, setOf(A)).single().counts shouldBe mapOf(KITCHEN to 3L)
    }

    test("a window whose counts are no longer in the rows is given up") {
        holder().expire(END + 25_001).first() shouldBe MissedWindow(WINDOW, MissedReason.NOT_FIXED)
    }
})
