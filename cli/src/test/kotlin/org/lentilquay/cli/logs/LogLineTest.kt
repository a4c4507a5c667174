package org.lentilquay.cli.logs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against a log that is torn, mixed with other programs' lines or prefixed by a collector. */
class LogEntryTest : FunSpec({
    val line = """{"timestamp":17,"level":"INFO","kvpList": [{"id":"r1"},{"status":"503"}],"message":"request"}"""
    val facts = mapOf("id" to "r1", "status" to "503")

    test("a line has the origin of its file, or the one that a collector put before it") {
        logEntry(line, "vm-1") shouldBe LogEntry(17, "vm-1", "request", facts)
        logEntry("  12.5 vm-2 $line", "all") shouldBe LogEntry(17, "vm-2", "request", facts)
    }

    listOf(
        "" to "an empty line",
        "Picked up JAVA_TOOL_OPTIONS" to "a line of the runtime",
        line.dropLast(9) to "a torn line",
        """{"level":"INFO","message":"request"}""" to "no time",
        """{"timestamp":"soon","message":"request"}""" to "a time that is no number",
        """{"timestamp":1}""" to "no event",
        """{"timestamp":1,"message":"x","kvpList":7}""" to "facts of another type",
    ).forEach { (text, what) ->
        test("$what is skipped") { logEntry(text, "vm-1") shouldBe null }
    }
})
