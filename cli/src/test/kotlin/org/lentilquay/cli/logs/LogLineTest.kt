package org.lentilquay.cli.logs

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/**
 * Guards against log lines that are lost because of truncated lines, lines of other programs, or collector prefixes.
 */
class LogLineTest : FunSpec({
    val line = """{"timestamp":17,"level":"INFO","kvpList": [{"id":"r1"},{"status":"503"}],"message":"request"}"""
    val fields = mapOf("id" to "r1", "status" to "503")

    test("the origin of a line is the collector prefix, or the file name without a prefix") {
        parseLogLine(line, "vm-1") shouldBe LogLine(17, "vm-1", "request", fields)
        parseLogLine("  12.5 vm-2 $line", "all") shouldBe LogLine(17, "vm-2", "request", fields)
    }

    listOf(
        "" to "an empty line",
        "Picked up JAVA_TOOL_OPTIONS" to "a message of the Java runtime",
        line.dropLast(9) to "a truncated line",
        """{"level":"INFO","message":"request"}""" to "a line without a timestamp",
        """{"timestamp":"soon","message":"request"}""" to "a line whose timestamp is not a number",
        """{"timestamp":1}""" to "a line without a message",
        """{"timestamp":1,"message":"x","kvpList":7}""" to "a line whose kvpList is not an array",
    ).forEach { (text, what) ->
        test("$what is skipped") { parseLogLine(text, "vm-1") shouldBe null }
    }
})
