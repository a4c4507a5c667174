package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.RowChange

private const val WAIT = 5_000L

private class Reader {
    var now = 0L
    val copy = TableCopy { now }

    fun change(after: Long, upTo: Long, vararg rows: Pair<String, String?>) {
        val changes = rows.associate { (key, text) -> key to RowChange(text, upTo) }
        copy.change(after, changes, upTo, tableMillis = upTo * 10)
    }

    suspend fun after(version: Long, wait: Long = 0) = copy.changesAfter(version, wait)
}

/** Guards against followers that miss a change of their reader, wait too long for it, or trust an old copy. */
class TableCopyTest : FunSpec({
    fun whole() = Reader().apply { copy.replace(WatchedRows(5, mapOf("a" to "1", "b" to "2")), tableMillis = 50) }

    test("a follower gets the rows that changed and vanished after its version") {
        val world = whole()
        world.change(5, 7, "a" to null, "c" to "3")
        world.after(5) shouldBe
            PeerAnswer.TableChanges(7, 70, mapOf("a" to RowChange(null, 7), "c" to RowChange("3", 7)))
        world.after(7) shouldBe PeerAnswer.TableChanges(7, 70, emptyMap())
    }

    test("a follower that is ahead of its reader keeps its version and gets the next changes") {
        val world = whole()
        world.after(9) shouldBe PeerAnswer.TableChanges(9, 50, emptyMap())
        world.change(5, 12, "a" to "4")
        world.after(9) shouldBe PeerAnswer.TableChanges(12, 120, mapOf("a" to RowChange("4", 12)))
    }

    test("a question is answered as soon as there is a change") {
        val world = whole()
        coroutineScope {
            val answer = async { world.after(5, WAIT) }
            world.change(5, 6, "b" to "9")
            answer.await()?.rows shouldBe mapOf("b" to RowChange("9", 6))
        }
    }

    listOf<Pair<String, suspend (Reader) -> PeerAnswer.TableChanges?>>(
        "before the first reading" to { Reader().after(5) },
        "for a version from before the copy" to { it.after(4) },
        "while the store does not answer the reader" to {
            it.copy.lost()
            it.after(5)
        },
        "after a gap in what the reader saw" to {
            it.change(8, 9, "a" to "4")
            it.after(5)
        },
        "when the reader has not asked the store for long" to {
            it.now = 2_501
            it.after(5)
        },
    ).forEach { (case, ask) ->
        test("there is no answer $case") { ask(whole()) shouldBe null }
    }
})
