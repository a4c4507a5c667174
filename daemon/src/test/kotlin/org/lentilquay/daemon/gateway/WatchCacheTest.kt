package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.RowChange

private const val WAIT_MILLIS = 5_000L

private class CacheFixture {
    var now = 0L
    val cache = WatchCache { now }

    fun change(after: Long, upTo: Long, vararg rows: Pair<String, String?>) {
        val changes = rows.associate { (key, text) -> key to RowChange(text, upTo) }
        cache.change(after, changes, upTo, tableMillis = upTo * 10)
    }

    suspend fun after(version: Long, wait: Long = 0) = cache.changesAfter(version, wait)
}

/** Guards against followers that miss a change, wait too long for it, or get rows from an outdated cache. */
class WatchCacheTest : FunSpec({
    fun filled() = CacheFixture().apply {
        cache.replace(WatchedRows(5, mapOf("a" to "1", "b" to "2")), tableMillis = 50)
    }

    test("a follower gets the rows that were changed or removed after its version") {
        val fixture = filled()
        fixture.change(5, 7, "a" to null, "c" to "3")
        fixture.after(5) shouldBe
            PeerAnswer.TableChanges(7, 70, mapOf("a" to RowChange(null, 7), "c" to RowChange("3", 7)))
        fixture.after(7) shouldBe PeerAnswer.TableChanges(7, 70, emptyMap())
    }

    test("a follower with a newer version than the cache keeps it, and gets the changes after it") {
        val fixture = filled()
        fixture.after(9) shouldBe PeerAnswer.TableChanges(9, 50, emptyMap())
        fixture.change(5, 12, "a" to "4")
        fixture.after(9) shouldBe PeerAnswer.TableChanges(12, 120, mapOf("a" to RowChange("4", 12)))
    }

    test("a waiting request is answered as soon as there is a change") {
        val fixture = filled()
        coroutineScope {
            val answer = async { fixture.after(5, WAIT_MILLIS) }
            fixture.change(5, 6, "b" to "9")
            answer.await()?.rows shouldBe mapOf("b" to RowChange("9", 6))
        }
    }

    listOf<Pair<String, suspend (CacheFixture) -> PeerAnswer.TableChanges?>>(
        "before the first read" to { CacheFixture().after(5) },
        "for a version from before the first read" to { it.after(4) },
        "while the table service does not answer the reader" to {
            it.cache.invalidate()
            it.after(5)
        },
        "for a version from before a gap in the changes" to {
            it.change(8, 9, "a" to "4")
            it.after(5)
        },
        "when the last read is older than 2.5 s" to {
            it.now = 2_501
            it.after(5)
        },
    ).forEach { (case, ask) ->
        test("a request gets no rows $case") { ask(filled()) shouldBe null }
    }
})
