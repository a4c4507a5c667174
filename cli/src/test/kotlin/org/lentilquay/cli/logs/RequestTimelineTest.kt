package org.lentilquay.cli.logs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe

private const val STEPS =
    "load on i-7 by vm-2 200 ms: Timeout; i-8 30 ms failed: EOFException; backend_failed: EOFException"
private val request = LogLine(
    epochMillis = 50_400,
    origin = "vm-1",
    event = "request",
    fields = mapOf("id" to "r1", "status" to "502", "millis" to "400", "team" to "boye00", "steps" to STEPS),
)

private fun change(at: Long, origin: String, event: String, vararg fields: Pair<String, String>) =
    LogLine(at, origin, event, mapOf(*fields))

/** Guards against a state change in the log of another VM that explains a request but is missing from its timeline. */
class RequestTimelineTest : FunSpec({
    test("state changes of the servers, VMs and team of a request are listed, oldest first") {
        val related = listOf(
            change(42_000, "vm-2", "lease lapsed", "engines" to "[i-7]"),
            change(44_000, "vm-1", "quota seats changed", "seats" to "[]"),
            change(45_000, "vm-3", "team rate changed", "team" to "boye00", "rate" to "5"),
            change(49_000, "vm-3", "backend server is gone", "server" to "i-8"),
            change(49_500, "vm-3", "control of an engine taken", "server" to "i-9", "former" to "vm-2"),
        )
        val others = listOf(
            change(20_000, "vm-1", "configuration changed", "version" to "3"),
            change(44_000, "vm-3", "lease lapsed", "engines" to "[i-9]"),
            change(44_000, "vm-3", "backend server is gone", "server" to "i-77"),
            change(60_000, "vm-1", "members changed"),
        )
        val timeline = requestTimeline(request, (others + related.reversed() + request).asSequence())
        timeline.changes shouldContainExactly related
        timeline.arrivedAtEpochMillis shouldBe 50_000
    }

    test("a request without a log line is not found, and one without steps has no related servers") {
        findRequestLine("r2", sequenceOf(request)) shouldBe null
        findRequestLine("r1", sequenceOf(request)) shouldBe request
        val early = request.copy(fields = mapOf("id" to "r3", "status" to "cut"))
        requestTimeline(early, sequenceOf(change(50_000, "vm-3", "backend server is gone", "server" to "i-8")))
            .changes.shouldBeEmpty()
    }
})
