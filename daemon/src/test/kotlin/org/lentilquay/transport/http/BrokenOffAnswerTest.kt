package org.lentilquay.transport.http

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import org.lentilquay.transport.engine.BodyStep
import org.lentilquay.transport.engine.ServiceCall
import org.lentilquay.transport.engine.ServiceCallResult
import org.lentilquay.transport.engine.ServiceClient

/** Whether the reset arrives before the reader looks varies, so each case is repeated. */
private const val REPETITIONS = 60
private const val TIMEOUT_MILLIS = 4_000L
private const val PART = "part"

/** A server that sends [PART] of an answer without a length and resets the connection at once. */
private fun breakingOff() = ScriptedServer { _, socket ->
    socket.write("HTTP/1.1 200 OK\n\n$PART")
    socket.setSoLinger(true, 0)
    socket.close()
}

/** Guards against answers without a length that are reset on the way and count as complete, in each HTTP client. */
class BrokenOffAnswerTest : FunSpec({
    test("a call over a kept connection is lost when its answer is reset") {
        breakingOff().use { server ->
            val client = PooledHttpClient(TIMEOUT_MILLIS)
            repeat(REPETITIONS) {
                client.call(server.address, HttpCall("GET", "/"), TIMEOUT_MILLIS)
                    .shouldBeInstanceOf<HttpCallResult.Lost>()
            }
        }
    }

    test("a body that is read whole is lost when its answer is reset") {
        breakingOff().use { server ->
            UnpooledHttpClient(TIMEOUT_MILLIS).use { client ->
                repeat(REPETITIONS) {
                    val answer = client.open(server.address, HttpRequest("GET", "/"), TIMEOUT_MILLIS)
                    if (answer is UnpooledExchange.Answered) {
                        answer.use { it.readFully(100, TIMEOUT_MILLIS) }.shouldBeInstanceOf<BodyReadResult.Lost>()
                    }
                }
            }
        }
    }

    test("a body of a service that is read in parts does not end in order when its answer is reset") {
        breakingOff().use { server ->
            ServiceClient().use { client ->
                repeat(REPETITIONS) {
                    val answer = client.forward(server.address, ServiceCall("GET", "/", emptyList(), ByteArray(0)))
                    if (answer is ServiceCallResult.Answered) {
                        answer.body.use { body ->
                            var step = body.next()
                            while (step is BodyStep.Bytes) step = body.next()
                            (step is BodyStep.Lost) shouldBe true
                        }
                    }
                }
            }
        }
    }
})
