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

private val client = PeerIdentity(VmId("vm-1"), Incarnation(1))
private val server = PeerIdentity(VmId("vm-2"), Incarnation(7))
private val fleet = secretOf("a fleet secret for tests")
private val answering = PeerHandler { _, _ -> PeerAnswer.Done }
private val notice = PeerRequest.RevisionNotice(1)

private fun withLengthPrefix(length: Int, bytes: ByteArray = ByteArray(0)) =
    ByteBuffer.allocate(PREFIX_BYTES + bytes.size).putInt(length).put(bytes).array()

private fun framed(bytes: ByteArray) = withLengthPrefix(bytes.size, bytes)

private fun hello(version: Int = 1, expected: String = "vm-2") =
    framed(peerCbor.encodeToByteArray(Hello(version, client.vm, client.incarnation, VmId(expected), ByteArray(32))))

private suspend fun TcpConnection.put(bytes: ByteArray) {
    output.writeFully(bytes)
    output.flush()
}

/** A protocol violation of a client, before or after it is authenticated ([isAuthenticated]). */
private class Violation(val reason: CutReason, val isAuthenticated: Boolean, val act: suspend (TcpConnection) -> Unit)

/**
 * Guards against a faulty or hostile client that stays connected, gets an answer, or affects other connections, and
 * against a client that sends requests to the wrong VM or fleet.
 */
class PeerProtocolTest : FunSpec({
    mapOf(
        "a first frame longer than a handshake frame" to
            Violation(CutReason.OVERSIZE, false) { it.put(withLengthPrefix(MAXIMUM_HANDSHAKE_BYTES + 1)) },
        "a negative length" to Violation(CutReason.OVERSIZE, false) { it.put(withLengthPrefix(-1)) },
        "an HTTP request" to
            Violation(CutReason.OVERSIZE, false) { it.put("GET / HTTP/1.1\r\n\r\n".encodeToByteArray()) },
        "a frame that is not a hello" to Violation(CutReason.MALFORMED, false) { it.put(framed(ByteArray(40) { 1 })) },
        "another protocol version" to Violation(CutReason.WRONG_VERSION, false) { it.put(hello(version = 2)) },
        "a hello for another VM" to Violation(CutReason.WRONG_VM, false) { it.put(hello(expected = "vm-3")) },
        "an invalid proof" to Violation(CutReason.UNAUTHENTICATED, false) {
            it.put(hello())
            it.input.readFrameBytes()
            it.put(framed(peerCbor.encodeToByteArray(HelloProof(ByteArray(32)))))
        },
        "the server's own proof sent back" to Violation(CutReason.UNAUTHENTICATED, false) {
            it.put(hello())
            val answer = decodePeer<org.lentilquay.protocol.HelloAnswer>(it.input.readFrameBytes())
            it.put(framed(peerCbor.encodeToByteArray(HelloProof(answer.proof))))
        },
        "no handshake in time" to Violation(CutReason.STALLED, false) { },
        "a frame above the maximum length" to
            Violation(CutReason.OVERSIZE, true) { it.put(withLengthPrefix((1 shl 20) + 1)) },
        "a frame of length 0" to Violation(CutReason.OVERSIZE, true) { it.put(withLengthPrefix(0)) },
        "a frame that is not CBOR" to Violation(CutReason.MALFORMED, true) { it.put(framed(ByteArray(9) { 7 })) },
        "a frame without request and answer" to
            Violation(CutReason.MALFORMED, true) { it.put(framed(peerCbor.encodeToByteArray(PeerFrame(1)))) },
        "an answer from the client" to Violation(CutReason.MALFORMED, true) {
            it.put(framed(peerCbor.encodeToByteArray(PeerFrame(1, answer = PeerAnswer.Done))))
        },
    ).forEach { (name, violation) ->
        test("a connection with $name is closed and counted") {
            val traffic = PeerTrafficCounters()
            val network = TcpNetwork()
            startPeerServer("127.0.0.1:0", server, fleet, answering, traffic).use { running ->
                val address = checkNotNull(ipAddressOf(running.address))
                val connection = checkNotNull(network.connect(address, 1_000))
                if (violation.isAuthenticated) {
                    openingHandshake(connection.input, connection.output, client, server.vm, fleet)
                }
                violation.act(connection)
                withTimeout(5.seconds) {
                    while (
                        runSuspendCatching { connection.input.readAvailable(ByteArray(256)) }.getOrDefault(-1) >= 0
                    ) {
                        Unit
                    }
                }
                eventually(2.seconds) { traffic.cuts shouldBe mapOf(violation.reason to 1L) }
                PeerClient(client, fleet).use {
                    it.call(server.vm, running.address, notice, 2_000) shouldBe
                        PeerCallResult.Answered(PeerAnswer.Done)
                }
            }
            network.close()
        }
    }

    mapOf(
        "the server has another fleet secret" to (PeerClient(client, secretOf("another secret!!")) to server.vm),
        "the address belongs to another VM" to (PeerClient(client, fleet) to VmId("vm-3")),
    ).forEach { (name, case) ->
        test("a client sends no request if $name") {
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

    test("decoding a damaged frame succeeds or fails as a protocol violation, never with another exception") {
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

    test("proofs differ if the secret, the role or a hello differs") {
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
