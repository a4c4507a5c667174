package org.lentilquay.transport.peer

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.TeamId
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret

private val here = PeerIdentity(VmId("vm-1"), Incarnation(1))
private val there = PeerIdentity(VmId("vm-2"), Incarnation(7))
private const val LONG_MILLIS = 5_000L
private const val STEP_MILLIS = 20L

internal fun secretOf(text: String) = Secret(text.encodeToByteArray())

private val secret = secretOf("a fleet secret for tests")
private val answerWithAmount = PeerHandler { _, request ->
    val amount = (request as PeerRequest.TakeTokens).amount
    // Earlier requests take longer, so that answers are sent in another order than the requests.
    delay((10 - amount % 10) * STEP_MILLIS)
    PeerAnswer.Tokens(amount)
}

private fun take(amount: Long) = PeerRequest.TakeTokens(TeamId("stoves"), amount)

/** Guards against answers that reach the wrong call, calls that hang, and wrong reports of what was sent. */
class PeerCallTest : FunSpec({
    test("answers that arrive out of order reach their own calls") {
        startPeerServer("127.0.0.1:0", there, secret, answerWithAmount).use { server ->
            PeerClient(here, secret).use { client ->
                val answers = coroutineScope {
                    (0L until 50L).map { amount ->
                        async { client.call(there.vm, server.address, take(amount), LONG_MILLIS) }
                    }.awaitAll()
                }
                answers shouldContainExactly (0L until 50L).map { PeerCallResult.Answered(PeerAnswer.Tokens(it)) }
                client.openConnections shouldBe 1
            }
        }
    }

    test("a call without an answer times out, its late answer is counted, and the connection stays usable") {
        val traffic = PeerTrafficCounters()
        startPeerServer("127.0.0.1:0", there, secret, answerWithAmount).use { server ->
            PeerClient(here, secret, traffic).use { client ->
                client.call(there.vm, server.address, take(9), LONG_MILLIS)
                client.call(there.vm, server.address, take(0), 30) shouldBe PeerCallResult.TimedOut
                client.call(there.vm, server.address, take(9), LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Answered>()
                delay(10 * STEP_MILLIS)
                traffic.lateAnswers shouldBe 1
                traffic.sent.getValue("TakeTokens").messages shouldBe 3
            }
        }
    }

    test("calls fail as not sent while the server is down and succeed after it has restarted") {
        val first = startPeerServer("127.0.0.1:0", there, secret, answerWithAmount)
        PeerClient(here, secret).use { client ->
            client.call(there.vm, first.address, take(9), LONG_MILLIS).shouldBeInstanceOf<PeerCallResult.Answered>()
            first.close()
            delay(STEP_MILLIS)
            repeat(2) {
                client.call(there.vm, first.address, take(9), LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Unreachable>().sent shouldBe false
            }
            startPeerServer(first.address, there, secret, answerWithAmount).use {
                delay(1_000)
                client.call(there.vm, first.address, take(9), LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Answered>()
            }
        }
    }

    test("a call in progress when the connection fails is reported as sent") {
        val server = startPeerServer("127.0.0.1:0", there, secret, { _, _ -> awaitCancellation() })
        PeerClient(here, secret).use { client ->
            coroutineScope {
                val call = async { client.call(there.vm, server.address, take(1), LONG_MILLIS) }
                delay(200)
                server.close()
                call.await().shouldBeInstanceOf<PeerCallResult.Unreachable>().sent shouldBe true
            }
        }
    }

    test("a request whose handler throws is answered with a refusal") {
        startPeerServer("127.0.0.1:0", there, secret, { _, _ -> error("fault in the handler") }).use { server ->
            PeerClient(here, secret).use { client ->
                client.call(there.vm, server.address, take(1), LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Answered>().answer.shouldBeInstanceOf<PeerAnswer.Refused>()
            }
        }
    }

    test("an idle connection is closed and reopened by the next call") {
        startPeerServer("127.0.0.1:0", there, secret, answerWithAmount).use { server ->
            PeerClient(here, secret, options = PeerClientOptions(idleMillis = 100)).use { client ->
                client.call(there.vm, server.address, take(9), LONG_MILLIS)
                client.openConnections shouldBe 1
                delay(300)
                client.openConnections shouldBe 0
                client.call(there.vm, server.address, take(9), LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Answered>()
            }
        }
    }

    test("a request above the maximum frame length fails as not sent") {
        startPeerServer("127.0.0.1:0", there, secret, answerWithAmount).use { server ->
            PeerClient(here, secret).use { client ->
                val request = PeerRequest.IdempotencyStatus("x".repeat(1 shl 20))
                client.call(there.vm, server.address, request, LONG_MILLIS)
                    .shouldBeInstanceOf<PeerCallResult.Unreachable>().sent shouldBe false
            }
        }
    }
})
