package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

private fun event(number: Int) = "id: $number\ndata: text $number\n\n"

/** Guards against events that reach the caller in part, twice or with a wrong id to go on from. */
class EventRelayTest : FunSpec({
    test("however the bytes are cut, whole events are passed on once and the last id is known") {
        val text = (1..40).joinToString("") { event(it) }
        repeat(50) { seed ->
            val random = Random(seed)
            val relay = EventRelay()
            val passed = StringBuilder()
            var rest = text + "id: 41\ndata: half"
            while (rest.isNotEmpty()) {
                val size = random.nextInt(1, 90).coerceAtMost(rest.length)
                relay.next(rest.take(size).encodeToByteArray())?.let { passed.append(it.decodeToString()) }
                rest = rest.drop(size)
            }
            passed.toString() shouldBe text
            relay.lastEventId shouldBe "40"
            relay.isWithinEvent shouldBe true
        }
    }

    test("events with carriage returns and without ids") {
        val relay = EventRelay()
        val text = "id: 7\r\ndata: x\r\n\r\ndata: y\n\n"
        relay.next(text.encodeToByteArray())?.decodeToString() shouldBe text
        relay.lastEventId shouldBe "7"
        relay.isWithinEvent shouldBe false
    }
})
