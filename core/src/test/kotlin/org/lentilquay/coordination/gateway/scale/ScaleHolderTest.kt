package org.lentilquay.coordination.gateway.scale

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

private const val SHORT_BOOT_MILLIS = 2_000L

/** At [second], requests and servers as seen, and what follows; [isNew] if another VM holds the duty from here on. */
private class Row(
    val second: Int,
    val running: Int,
    val servers: ServerCounts,
    val wanted: Int,
    val reason: ScaleReason,
    val order: ScaleOrder? = null,
    val isNew: Boolean = false,
)

@Suppress("MagicNumber") // The numbers are a table, for servers of 10 slots and a boot time of 2 s.
private val ROWS = listOf(
    Row(0, 60, ServerCounts(10), 10, ScaleReason.STEADY),
    Row(1, 30, ServerCounts(10), 10, ScaleReason.STEADY),
    Row(4, 30, ServerCounts(10), 10, ScaleReason.STEADY),
    Row(5, 30, ServerCounts(10), 8, ScaleReason.FALLS),
    // The next holder knows only the order, and waits two boot times itself.
    Row(6, 30, ServerCounts(8), 8, ScaleReason.NOT_HELD, ScaleOrder(8, 5_000), isNew = true),
    Row(9, 30, ServerCounts(8), 8, ScaleReason.NOT_HELD),
    Row(10, 30, ServerCounts(8), 6, ScaleReason.FALLS),
    Row(11, 30, ServerCounts(6), 6, ScaleReason.FELL),
    Row(12, 30, ServerCounts(6), 5, ScaleReason.FALLS),
    Row(13, 30, ServerCounts(5), 5, ScaleReason.STEADY),
    Row(14, 90, ServerCounts(5), 15, ScaleReason.RISES),
    // The next holders find the order, or in a copy of the table service none, while its servers boot.
    Row(15, 90, ServerCounts(5, cold = 10), 15, ScaleReason.STEADY, ScaleOrder(15, 14_000), isNew = true),
    Row(16, 90, ServerCounts(5, cold = 10), 15, ScaleReason.STEADY, isNew = true),
    // A holder that finds an order below the need raises it at once.
    Row(17, 90, ServerCounts(5), 15, ScaleReason.RISES, ScaleOrder(5, 12_000), isNew = true),
)

private fun inputs(row: Row): ScaleInputs {
    val at = row.second * 1_000L
    val demand = CallerDemand(row.running.toDouble())
    return ScaleInputs(
        ScaleLimits(1, 20, SHORT_BOOT_MILLIS),
        SLOTS,
        mapOf(A to DomainInputs(row.servers, EngineOccupancy(row.running), demand, order = row.order)),
        AdapterPlaces(0, 0),
        InputTimes(at, at, at, at, at),
    )
}

/** Guards against a new holder that takes servers away because it does not know what its predecessor saw. */
class ScaleHolderTest : FunSpec({
    test("each holder follows from the recorded order, row by row") {
        var decision = ScaleDecision()
        val decided = ROWS.map { row ->
            if (row.isNew) decision = ScaleDecision()
            val number = decision.decide(inputs(row), row.second * 1_000L).domains.getValue(A)
            Triple(row.second, number.wanted, number.reason)
        }
        decided shouldBe ROWS.map { Triple(it.second, it.wanted, it.reason) }
    }
})
