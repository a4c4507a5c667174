package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.gateway.RouteKind
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The part that crashes servers, in the spelling of the headers below. */
private const val GUILTY = "bad0"

/** The platform's time after the fifth crash from which requests with the part must not reach servers. */
private const val TOUCH_MILLIS = 3_000

/** Guards against requests that share one part of their prompt, no two alike, and crash one server after another. */
class PromptPartQuarantineTest : FunSpec({
    fun servers(count: Int) = List(count) { number ->
        Backend("s$number") { socket, request ->
            if (GUILTY in request.header("Parts").orEmpty()) crash(socket) else answer(socket, request)
        }
    }

    test("after five crashes, requests with the part they share reach no server, and those with its other parts run") {
        val backends = servers(8)
        ForwarderFixture(backends, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            var sent = 0
            suspend fun askSound() {
                val parts = "5a:800,d0c${++sent}:40,c1:90,f$sent:20"
                fixture.ask("sound$sent", "sound $sent", parts) shouldContain "200 OK"
            }
            suspend fun askGuilty(): String {
                val parts = "5a:800,$GUILTY:40,c1:90,e${++sent}:20"
                return fixture.ask("guilty$sent", "guilty $sent", parts)
            }
            repeat(5) { crash ->
                askGuilty() shouldContain "502"
                eventually(5.seconds) {
                    fixture.received.count { it is PeerRequest.SuspectNotice } shouldBe crash + 1
                }
                fixture.removeCrashed()
                askSound()
            }
            delay(TOUCH_MILLIS.milliseconds)

            fun reached() = backends.sumOf { it.requests.get() }
            repeat(4) {
                val before = reached()
                askGuilty() shouldContain "503"
                reached() shouldBe before
                askSound()
            }
        }
    }
})
