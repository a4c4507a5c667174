package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.transport.platform.ReadResult
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private val FIRST = WatchedRows(5, mapOf("a" to "1", "b" to "2"))

/** Returns [all] for reads and [answers] one after the other for changes; a further request is held. */
private class ScriptedSource(private val all: ReadResult<WatchedRows>, private vararg val answers: WatchResult) :
    WatchSource {
    val requestedVersions = CopyOnWriteArrayList<Long>()

    override suspend fun readAll(table: WatchedTableName) = all

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult {
        requestedVersions += after
        return answers.getOrNull(requestedVersions.size - 1) ?: awaitCancellation()
    }
}

private suspend fun expectCopies(source: WatchSource, peer: PeerAnswer.Watched? = null, expected: List<WatchedRows>) {
    val seen = CopyOnWriteArrayList<WatchedRows>()
    val now = { System.nanoTime() / 1_000_000 }
    val loop = WatchLoop(WatchedTableName.OPERATOR, source, { _, _ -> peer }, now) { rows, _ -> seen += rows }
    coroutineScope {
        val job = launch { loop.run() }
        eventually(5.seconds) { seen.toList() shouldBe expected }
        job.cancel()
    }
}

/** Guards against copies that miss a change, return to an older version, or stay old during an outage. */
class WatchLoopTest : FunSpec({
    test("changed rows are updated and removed rows are deleted in the copy") {
        val change = WatchResult.Changes(7, mapOf("a" to null, "c" to "3"))
        val source = ScriptedSource(ReadResult.Read(FIRST), change)
        expectCopies(source, expected = listOf(FIRST, WatchedRows(7, mapOf("b" to "2", "c" to "3"))))
        source.requestedVersions.first() shouldBe 5
    }

    test("when the history is lost, the table is read again") {
        val source = ScriptedSource(ReadResult.Read(FIRST), WatchResult.HistoryLost)
        expectCopies(source, expected = listOf(FIRST))
    }

    test("during an outage, a newer copy of another VM replaces the copy, and an older one does not") {
        val refused = ReadResult.Unavailable("status 503")
        val newer = mapOf("a" to "9")
        expectCopies(ScriptedSource(refused), PeerAnswer.Watched(9, newer), listOf(WatchedRows(9, newer)))
        val failing = ScriptedSource(ReadResult.Read(FIRST), WatchResult.Unavailable("silent"))
        expectCopies(failing, PeerAnswer.Watched(4, mapOf("a" to "0")), listOf(FIRST))
    }

    // A row that a decoder could not take ended the loop: the VM kept the servers that it knew until its restart.
    listOf(IllegalArgumentException("odd row"), StackOverflowError()).forEach { failure ->
        test("a failure to apply a change does not end the loop: ${failure::class.simpleName}") {
            val changes = (6L..7L).map { WatchResult.Changes(it, mapOf("a" to "$it")) }.toTypedArray()
            val seen = CopyOnWriteArrayList<Long>()
            val source = ScriptedSource(ReadResult.Read(FIRST), *changes)
            val now = { System.nanoTime() / 1_000_000 }
            val loop = WatchLoop(WatchedTableName.OPERATOR, source, { _, _ -> null }, now) { rows, _ ->
                seen += rows.version
                if (rows.version < 7) throw failure
            }
            coroutineScope {
                val job = launch(SupervisorJob() + CoroutineExceptionHandler { _, _ -> }) { loop.run() }
                eventually(5.seconds) { seen.toList() shouldBe listOf(5L, 6L, 7L) }
                job.cancel()
            }
        }
    }
})
