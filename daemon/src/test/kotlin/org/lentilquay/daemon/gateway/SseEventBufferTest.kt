package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun event(number: Int) = "id: $number\ndata: text $number\n\n"

/** Guards against events that reach the caller in part or twice, and against resuming after the wrong event. */
class SseEventBufferTest : FunSpec({
    test("however the stream is split, each whole event is returned once and the last id is kept") {
        val text = (1..40).joinToString("") { event(it) }
        repeat(50) { seed ->
            val random = Random(seed)
            val buffer = SseEventBuffer()
            val passed = StringBuilder()
            var rest = text + "id: 41\ndata: half"
            while (rest.isNotEmpty()) {
                val size = random.nextInt(1, 90).coerceAtMost(rest.length)
                buffer.append(rest.take(size).encodeToByteArray())?.let { passed.append(it.decodeToString()) }
                rest = rest.drop(size)
            }
            passed.toString() shouldBe text
            buffer.lastEventId shouldBe "40"
            buffer.isWithinEvent shouldBe true
        }
    }

    test("events that end in CRLF and events without an id are recognized") {
        val buffer = SseEventBuffer()
        val text = "id: 7\r\ndata: x\r\n\r\ndata: y\n\n"
        buffer.append(text.encodeToByteArray())?.decodeToString() shouldBe text
        buffer.lastEventId shouldBe "7"
        buffer.isWithinEvent shouldBe false
    }

    test("line ends and whole comment lines after the last event are not inside an event, any other bytes are") {
        fun isWithinEvent(text: String) =
            SseEventBuffer().apply { append(text.encodeToByteArray()) }.isWithinEvent
        listOf("", "\n", "\r", "\r\n", "\n\n", ": comment\n", ": comment\r\n").forEach {
            isWithinEvent("data: x\n\n$it") shouldBe false
            isWithinEvent("data: x\r\n\r\n$it") shouldBe false
        }
        listOf("d", "data: y", "data: y\n", "id: 2\r\n", ": comm", ": comment\nid: 2\n").forEach {
            isWithinEvent("data: x\n\n$it") shouldBe true
        }
    }

    test("events that end in bare carriage returns are recognized") {
        val buffer = SseEventBuffer()
        val text = "id: 7\rdata: x\r\rid: 8\rdata: y\r\r"
        buffer.append(text.encodeToByteArray())?.decodeToString() shouldBe text
        buffer.lastEventId shouldBe "8"
        buffer.isWithinEvent shouldBe false
    }
})
