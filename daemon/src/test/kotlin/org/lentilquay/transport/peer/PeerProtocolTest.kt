package org.lentilquay.transport.peer

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.Hello
import org.lentilquay.protocol.HelloProof
import org.lentilquay.protocol.PeerAnswer
import org.lentilquay.protocol.PeerFrame
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.transport.TcpConnection
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.ipAddressOf
import org.lentilquay.transport.runSuspendCatching
import java.nio.ByteBuffer
import kotlin.random.Random
import kotlin.time.Duration.Companion.seconds

private val stranger = PeerIdentity(VmId("vm-1"), Incarnation(1))
private val server = PeerIdentity(VmId("vm-2"), Incarnation(7))
private val fleet = secretOf("a fleet secret for tests")
private val answering = PeerHandler { _, _ -> PeerAnswer.Done }
private val notice = PeerRequest.RevisionNotice(1)

private fun prefixed(length: Int, bytes: ByteArray = ByteArray(0)) =
    ByteBuffer.allocate(PREFIX_BYTES + bytes.size).putInt(length).put(bytes).array()

private fun framed(bytes: ByteArray) = prefixed(bytes.size, bytes)

private fun hello(version: Int = 1, expected: String = "vm-2") =
    framed(peerCbor.encodeToByteArray(Hello(version, stranger.vm, stranger.incarnation, VmId(expected), ByteArray(32))))

private suspend fun TcpConnection.put(bytes: ByteArray) {
    output.writeFully(bytes)
    output.flush()
}

/** What a hostile or broken side does, before or after it proved that it knows the secret. */
private class Misbehaviour(val reason: CutReason, val isKnown: Boolean, val act: suspend (TcpConnection) -> Unit)

/** Guards against a broken or hostile side that stays connected, gets an answer, or disturbs other connections. */
class PeerProtocolTest : FunSpec({
    mapOf(
        "a first frame longer than a handshake" to
            Misbehaviour(CutReason.OVERSIZE, false) { it.put(prefixed(MAXIMUM_HANDSHAKE_BYTES + 1)) },
        "a negative length" to Misbehaviour(CutReason.OVERSIZE, false) { it.put(prefixed(-1)) },
        "HTTP" to Misbehaviour(CutReason.OVERSIZE, false) { it.put("GET / HTTP/1.1\r\n\r\n".encodeToByteArray()) },
        "bytes that are no hello" to Misbehaviour(CutReason.MALFORMED, false) { it.put(framed(ByteArray(40) { 1 })) },
        "another version" to Misbehaviour(CutReason.WRONG_VERSION, false) { it.put(hello(version = 2)) },
        "another VM meant" to Misbehaviour(CutReason.WRONG_VM, false) { it.put(hello(expected = "vm-3")) },
        "a false proof" to Misbehaviour(CutReason.UNAUTHENTICATED, false) {
            it.put(hello())
            it.input.readFrameBytes()
            it.put(framed(peerCbor.encodeToByteArray(HelloProof(ByteArray(32)))))
        },
        "the server's own proof sent back" to Misbehaviour(CutReason.UNAUTHENTICATED, false) {
            it.put(hello())
            val answer = decodePeer<org.lentilquay.protocol.HelloAnswer>(it.input.readFrameBytes())
            it.put(framed(peerCbor.encodeToByteArray(HelloProof(answer.proof))))
        },
        "silence" to Misbehaviour(CutReason.STALLED, false) { },
        "a frame over the bound" to Misbehaviour(CutReason.OVERSIZE, true) { it.put(prefixed((1 shl 20) + 1)) },
        "a frame of nothing" to Misbehaviour(CutReason.OVERSIZE, true) { it.put(prefixed(0)) },
        "bytes that are no frame" to Misbehaviour(CutReason.MALFORMED, true) { it.put(framed(ByteArray(9) { 7 })) },
        "a frame without a message" to
            Misbehaviour(CutReason.MALFORMED, true) { it.put(framed(peerCbor.encodeToByteArray(PeerFrame(1)))) },
        "an answer nobody asked for" to Misbehaviour(CutReason.MALFORMED, true) {
            it.put(framed(peerCbor.encodeToByteArray(PeerFrame(1, answer = PeerAnswer.Done))))
        },
    ).forEach { (name, misbehaviour) ->
        test("cut and counted: $name") {
            val traffic = PeerTrafficCounters()
            val network = TcpNetwork()
            startPeerServer("127.0.0.1:0", server, fleet, answering, traffic).use { running ->
                val address = checkNotNull(ipAddressOf(running.address))
                val connection = checkNotNull(network.connect(address, 1_000))
                if (misbehaviour.isKnown) {
                    openingHandshake(connection.input, connection.output, stranger, server.vm, fleet)
                }
                misbehaviour.act(connection)
                withTimeout(5.seconds) {
                    do {
                        val bytesRead = runSuspendCatching { connection.input.readAvailable(ByteArray(256)) }
                    } while (bytesRead.getOrDefault(-1) >= 0)
                }
                eventually(2.seconds) { traffic.cuts shouldBe mapOf(misbehaviour.reason to 1L) }
                PeerClient(stranger, fleet).use {
                    it.call(server.vm, running.address, notice, 2_000) shouldBe
                        PeerCallResult.Answered(PeerAnswer.Done)
                }
            }
            network.close()
        }
    }

    mapOf(
        "another fleet secret" to (PeerClient(stranger, secretOf("another secret!!")) to server.vm),
        "another VM at the address" to (PeerClient(stranger, fleet) to VmId("vm-3")),
    ).forEach { (name, case) ->
        test("a client sends no request: $name") {
            val traffic = PeerTrafficCounters()
            startPeerServer("127.0.0.1:0", server, fleet, answering, traffic).use { running ->
                case.first.use {
                    val result = it.call(case.second, running.address, notice, 2_000)
                    result.shouldBeInstanceOf<PeerCallResult.Unreachable>().sent shouldBe false
                    result.reason shouldContain if (case.second == server.vm) "another fleet secret" else "reached VM"
                }
                traffic.received shouldBe emptyMap()
            }
        }
    }

    test("damaged frames are malformed or frames, and never another exception") {
        val random = Random(20261204)
        val frame = PeerFrame(7, request = PeerRequest.IdempotencyStatus("a nonce"))
        val bytes = peerCbor.encodeToByteArray(frame)
        decodeFrame(bytes) shouldBe frame
        repeat(20_000) {
            val damaged = bytes.copyOf(random.nextInt(1, bytes.size + 1))
            repeat(random.nextInt(1, 4)) { damaged[random.nextInt(damaged.size)] = random.nextInt().toByte() }
            runCatching { decodeFrame(damaged) }.onFailure { it.shouldBeInstanceOf<PeerProtocolException>() }
        }
    }

    test("a proof depends on the secret, the role and both hellos") {
        val hellos = listOf("ab" to "c", "a" to "bc")
        val proofs = listOf("s1", "s2").flatMap { secret ->
            listOf("open", "accept").flatMap { role ->
                hellos.map { (opening, accepting) ->
                    proof(secretOf(secret), role, opening.encodeToByteArray(), accepting.encodeToByteArray()).toList()
                }
            }
        }
        proofs.toSet().size shouldBe proofs.size
    }
})
