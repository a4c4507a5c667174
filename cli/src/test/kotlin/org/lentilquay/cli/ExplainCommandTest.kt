package org.lentilquay.cli

import com.github.ajalt.clikt.testing.test
import io.kotest.core.spec.style.FunSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain

private fun line(at: Long, event: String, vararg fields: Pair<String, String>): String {
    val pairs = fields.joinToString(",") { (name, value) -> """{"$name":"$value"}""" }
    return """{"timestamp":$at,"level":"INFO","kvpList": [$pairs],"message":"$event"}"""
}

/** Guards against `explain` stopping at the first unreadable file, or not reporting that files are missing. */
class ExplainCommandTest : FunSpec({
    val directory = tempdir().toPath()
    val first = directory.resolve("vm-1.log")
    val second = directory.resolve("vm-2.log")
    first.toFile().writeText(
        listOf(
            "not a log line",
            line(10_500, "request", "id" to "r1", "status" to "503", "millis" to "500", "steps" to "load on i-7; full"),
        ).joinToString("\n"),
    )
    second.toFile().writeText(line(9_000, "backend server is gone", "server" to "i-7"))

    test("with one file missing, the timeline from the other files is printed and the file is reported") {
        val missing = directory.resolve("vm-3.log")
        val result = lentilquayCommand().test("explain r1 $first $missing $second")
        result.statusCode shouldBe 0
        result.stderr shouldContain "vm-3.log is not a readable file"
        result.stdout shouldContain "request r1 at vm-1: 503 after 500 ms"
        result.stdout shouldContain "  load on i-7\n  full\n"
        result.stdout shouldContain "-1000 vm-2: backend server is gone (server i-7)"
    }

    test("an unknown request id or only unreadable files give exit code REFUSED") {
        val result = lentilquayCommand().test("explain r2 $first")
        result.statusCode shouldBe ExitCode.REFUSED.number
        result.stderr shouldContain "no log line of request r2"
        lentilquayCommand().test("explain r1 $directory").statusCode shouldBe ExitCode.REFUSED.number
    }
})
