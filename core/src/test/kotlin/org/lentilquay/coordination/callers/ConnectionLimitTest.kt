package org.lentilquay.coordination.callers

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import org.lentilquay.coordination.callers.ConnectionStage.ENDING
import org.lentilquay.coordination.callers.ConnectionStage.HANDLING
import org.lentilquay.coordination.callers.ConnectionStage.IDLE
import org.lentilquay.coordination.callers.ConnectionStage.READING_BODY
import org.lentilquay.coordination.callers.ConnectionStage.READING_HEAD
import org.lentilquay.coordination.callers.ConnectionStage.WAITING_FOR_MEMORY
import org.lentilquay.coordination.callers.RoomDecision.Close

/** Guards against a crowd of connections without requests that keeps ordinary callers from connecting. */
class ConnectionLimitTest : FunSpec({
    fun room(now: Long, vararg states: Pair<ConnectionStage, Long>) =
        roomForConnection(states.toList(), now) { (stage, since) -> ConnectionState(stage, since) }

    test("connections that are idle longest go first") {
        room(2_000, IDLE to 5, IDLE to 3, HANDLING to 1, READING_HEAD to 0) shouldBe Close(IDLE to 3L)
        room(2_000, IDLE to 5, ENDING to 9) shouldBe Close(ENDING to 9L)
    }

    test("without idle ones, unfinished heads go before unfinished bodies") {
        room(2_000, READING_BODY to 1, READING_HEAD to 8, READING_HEAD to 7, HANDLING to 0) shouldBe
            Close(READING_HEAD to 7L)
        room(2_000, READING_BODY to 1, HANDLING to 0) shouldBe Close(READING_BODY to 1L)
    }

    test("a body that has stopped goes before a connection that was opened just now") {
        room(2_000, IDLE to 1_500, READING_BODY to 900) shouldBe Close(READING_BODY to 900L)
    }

    test("a new connection waits while each caller may still be sending") {
        room(2_000, IDLE to 1_500, READING_HEAD to 1_001, HANDLING to 0) shouldBe RoomDecision.Wait
    }

    test("a body that waits for memory is not taken for one that has stopped") {
        room(2_000, WAITING_FOR_MEMORY to 500, READING_BODY to 900) shouldBe Close(READING_BODY to 900L)
        room(2_000, WAITING_FOR_MEMORY to 500, HANDLING to 0) shouldBe RoomDecision.Wait
    }

    test("requests in progress are never closed") {
        room(60_000, HANDLING to 0, HANDLING to 1) shouldBe RoomDecision.Refuse
    }

    listOf(
        Triple(4_100, 160, 2_600),
        Triple(3_075, 160, 1_916),
        Triple(8_192, 160, 2_730),
        Triple(400, 64, 133),
        Triple(50, 64, 16),
    ).forEach { (descriptors, heapMebibytes, connections) ->
        test("a process with $descriptors descriptors and $heapMebibytes MiB of heap has $connections connections") {
            maximumCallerConnections(descriptors, heapMebibytes.toLong() shl 20) shouldBe connections
        }
    }
})
