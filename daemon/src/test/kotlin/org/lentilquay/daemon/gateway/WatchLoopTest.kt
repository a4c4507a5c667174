package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.transport.platform.ReadResult
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.time.Duration.Companion.seconds

private val FIRST = WatchedRows(5, mapOf("a" to "1", "b" to "2"))

/** Answers reads with [all] and questions for changes in turn with [answers], the last of which is held. */
private class ScriptedSource(private val all: ReadResult<WatchedRows>, private vararg val answers: WatchResult) :
    WatchSource {
    val questions = CopyOnWriteArrayList<Long>()

    override suspend fun readAll(table: WatchedTableName) = all

    override suspend fun changes(table: WatchedTableName, after: Long, waitMillis: Long): WatchResult {
        questions += after
        return answers.getOrNull(questions.size - 1) ?: awaitCancellation()
    }
}

private suspend fun copies(source: WatchSource, peer: PeerAnswer.Watched? = null, expected: List<WatchedRows>) {
    val seen = CopyOnWriteArrayList<WatchedRows>()
    val now = { System.nanoTime() / 1_000_000 }
    val loop = WatchLoop(WatchedTableName.OPERATOR, source, { _, _ -> peer }, now) { seen += it }
    coroutineScope {
        val job = launch { loop.run() }
        eventually(5.seconds) { seen.toList() shouldBe expected }
        job.cancel()
    }
}

/** Guards against copies of a table that miss a change, go back, or stay old while this VM is refused. */
class WatchLoopTest : FunSpec({
    test("changed and removed rows are taken over") {
        val change = WatchResult.Changes(7, mapOf("a" to null, "c" to "3"))
        val source = ScriptedSource(ReadResult.Read(FIRST), change)
        copies(source, expected = listOf(FIRST, WatchedRows(7, mapOf("b" to "2", "c" to "3"))))
        source.questions.first() shouldBe 5
    }

    test("after a lost history the table is read again") {
        val source = ScriptedSource(ReadResult.Read(FIRST), WatchResult.HistoryLost)
        copies(source, expected = listOf(FIRST))
    }

    test("while the platform does not answer, a newer copy of another VM is taken and an older one is not") {
        val refused = ReadResult.Unavailable("status 503")
        val newer = mapOf("a" to "9")
        copies(ScriptedSource(refused), PeerAnswer.Watched(9, newer), listOf(WatchedRows(9, newer)))
        val failing = ScriptedSource(ReadResult.Read(FIRST), WatchResult.Unavailable("silent"))
        copies(failing, PeerAnswer.Watched(4, mapOf("a" to "0")), listOf(FIRST))
    }
})
