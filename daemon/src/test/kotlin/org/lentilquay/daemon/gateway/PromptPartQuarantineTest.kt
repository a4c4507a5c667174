package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.ServerId
import org.lentilquay.state.gateway.RouteKind
import org.lentilquay.transport.peer.peerCbor
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** The part that crashes servers, in the spelling of the headers below. */
private const val GUILTY = "bad0"

/** The platform's time after the fifth crash from which requests with the part must not reach servers. */
private const val TOUCH_MILLIS = 3_000

/** The number of crashes of which the other VM was told. */
private fun ForwarderFixture.crashNotices() =
    received.count { it is PeerRequest.SuspectNotice && it.fingerprints.isNotEmpty() }

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
                    fixture.crashNotices() shouldBe crash + 1
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

    test("after the crashes, other VMs are told that the parts of answered requests are clear") {
        val backends = servers(5)
        ForwarderFixture(backends, RouteKind.RUN_ONCE).use { fixture ->
            fixture.open()
            repeat(3) { crash ->
                fixture.ask("guilty$crash", "guilty $crash", "5a:800,$GUILTY:40,e$crash:20") shouldContain "502"
                eventually(5.seconds) { fixture.crashNotices() shouldBe crash + 1 }
                fixture.removeCrashed()
            }
            fixture.ask("sound", "sound", "5a:800,c1:90,f:20") shouldContain "200 OK"
            eventually(5.seconds) {
                val notices = fixture.received.filterIsInstance<PeerRequest.SuspectNotice>()
                notices.map { it.clearedAgeMillis.keys }.filter { it.isNotEmpty() } shouldBe listOf(setOf("5a"))
            }
        }
    }

    listOf(
        "5c1e07a2:800,91bd3f06:410,e4402b7d:250" to setOf("5c1e07a2", "91bd3f06"),
        "5C1E:800, 91bd:410 ,e4:250" to setOf("5c1e", "91bd"),
        "e4402b7d:250" to emptySet(),
        "" to emptySet(),
        null to emptySet(),
        "not hexadecimal:1,e4:2" to emptySet(),
        List(500) { "a$it:1" }.joinToString(",") to List(32) { "a$it" }.toSet(),
    ).forEach { (header, parts) ->
        test("the shared parts of the header ${header?.take(40)} are those before the last, at most 32") {
            sharedPromptParts(header) shouldBe parts
        }
    }

    // A message that cannot be decoded closes the connection between two VMs and fails all calls on it.
    test("a notice of this build is read by one that knows no prompt parts, and the other way round") {
        val parts = listOf(setOf("a", "b"))
        val notice = PeerRequest.SuspectNotice(ServerId("e1"), 7, listOf("f"), 9, parts, mapOf("c" to 1))
        val bytes = peerCbor.encodeToByteArray(PeerRequest.SuspectNotice.serializer(), notice)
        val earlier = peerCbor.decodeFromByteArray(EarlierNotice.serializer(), bytes)
        earlier shouldBe EarlierNotice(ServerId("e1"), 7, listOf("f"))
        val earlierBytes = peerCbor.encodeToByteArray(EarlierNotice.serializer(), earlier)
        peerCbor.decodeFromByteArray(PeerRequest.SuspectNotice.serializer(), earlierBytes) shouldBe
            PeerRequest.SuspectNotice(ServerId("e1"), 7, listOf("f"))
    }
})

/** The notice of builds that know no prompt parts. */
@Serializable
private data class EarlierNotice(val server: ServerId, val serverIncarnation: Long, val fingerprints: List<String>)
