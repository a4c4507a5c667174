package org.lentilquay.daemon.control

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.protocol.TableItem
import org.lentilquay.state.gateway.MemberRecord

private const val RECORD = """{"p":"10.0.0.1:80","d":"z","i":1,"n":1}"""

/** Guards against records of the fleet that another writer replaced and that end the loops which read them. */
class TableRecordsTest : FunSpec({
    test("a record is decoded") { decodeOrNull<MemberRecord>(TableItem("members/vm", RECORD, 1))?.renewal shouldBe 1 }

    listOf(
        "arrays" to "[".repeat(200_000),
        "an unknown field" to RECORD.replace("{", "{\"x\":${"[".repeat(200_000)},"),
        "engines" to RECORD.replace("{", "{\"e\":${"[".repeat(200_000)},"),
        "a number out of range" to RECORD.replace("\"n\":1", "\"n\":1e400"),
        "no text" to "",
    ).forEach { (name, text) ->
        test("an odd record is skipped: $name") {
            decodeOrNull<MemberRecord>(TableItem("members/vm", text, 1)) shouldBe null
        }
    }
})
