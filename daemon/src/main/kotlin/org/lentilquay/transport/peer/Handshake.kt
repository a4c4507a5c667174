/*
 * Mutual authentication of a connection between VMs with an HMAC over the fleet secret; PeerHandshake in the protocol
 * package defines the frames. The accepting side proves itself first, so a client with another secret detects that
 * before it sends a request. Frames after the handshake are not authenticated individually: the network between the
 * VMs is trusted not to alter an open TCP connection, but not to keep unauthorized clients out.
 */
package org.lentilquay.transport.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlinx.serialization.encodeToByteArray
import org.lentilquay.protocol.Hello
import org.lentilquay.protocol.HelloAnswer
import org.lentilquay.protocol.HelloProof
import org.lentilquay.protocol.PEER_PROTOCOL_VERSION
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId
import org.lentilquay.transport.Secret
import java.nio.ByteBuffer
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Maximum frame length before the other side is authenticated. */
internal const val MAXIMUM_HANDSHAKE_BYTES: Int = 1_024

private const val NONCE_BYTES = 32
private const val ALGORITHM = "HmacSHA256"
private const val OPENING_ROLE = "lentilquay-peer-open"
private const val ACCEPTING_ROLE = "lentilquay-peer-accept"
private val random = SecureRandom()

/** A VM and the incarnation of its process, as announced in the handshake. */
data class PeerIdentity(val vm: VmId, val incarnation: Incarnation)

/** Performs the handshake as the side that opened the connection to [expected]. */
internal suspend fun openingHandshake(
    input: ByteReadChannel,
    output: ByteWriteChannel,
    own: PeerIdentity,
    expected: VmId,
    secret: Secret,
): PeerIdentity {
    val ownHello = encodedHello(own, expected)
    output.writeFrameBytes(ownHello)
    output.flush()
    val answer = decodePeer<HelloAnswer>(input.readFrameBytes(MAXIMUM_HANDSHAKE_BYTES))
    val hello = decodePeer<Hello>(answer.hello)
    requireVersion(hello)
    if (hello.vm != expected) throw PeerProtocolException(CutReason.WRONG_VM, "reached VM ${hello.vm}, not $expected")
    requireProof(answer.proof, proof(secret, ACCEPTING_ROLE, ownHello, answer.hello))
    output.writeFrameBytes(peerCbor.encodeToByteArray(HelloProof(proof(secret, OPENING_ROLE, ownHello, answer.hello))))
    output.flush()
    return PeerIdentity(hello.vm, hello.incarnation)
}

/** Performs the handshake as the side that accepted the connection. */
internal suspend fun acceptingHandshake(
    input: ByteReadChannel,
    output: ByteWriteChannel,
    own: PeerIdentity,
    secret: Secret,
): PeerIdentity {
    val helloBytes = input.readFrameBytes(MAXIMUM_HANDSHAKE_BYTES)
    val hello = decodePeer<Hello>(helloBytes)
    val ownHello = encodedHello(own, expected = null)
    val isAcceptable = hello.version == PEER_PROTOCOL_VERSION && hello.expected == own.vm
    val ownProof = if (isAcceptable) proof(secret, ACCEPTING_ROLE, helloBytes, ownHello) else ByteArray(0)
    // A rejected client gets the hello as well, so that it can report the reason.
    output.writeFrameBytes(peerCbor.encodeToByteArray(HelloAnswer(ownHello, ownProof)))
    if (!isAcceptable) {
        output.flushAndClose()
        requireVersion(hello)
        throw PeerProtocolException(CutReason.WRONG_VM, "VM ${hello.vm} expected to reach VM ${hello.expected}")
    }
    output.flush()
    val answer = decodePeer<HelloProof>(input.readFrameBytes(MAXIMUM_HANDSHAKE_BYTES))
    requireProof(answer.proof, proof(secret, OPENING_ROLE, helloBytes, ownHello))
    return PeerIdentity(hello.vm, hello.incarnation)
}

private fun encodedHello(own: PeerIdentity, expected: VmId?): ByteArray {
    val nonce = ByteArray(NONCE_BYTES).also(random::nextBytes)
    return peerCbor.encodeToByteArray(Hello(PEER_PROTOCOL_VERSION, own.vm, own.incarnation, expected, nonce))
}

private fun requireVersion(hello: Hello) {
    if (hello.version != PEER_PROTOCOL_VERSION) {
        throw PeerProtocolException(CutReason.WRONG_VERSION, "VM ${hello.vm} uses protocol version ${hello.version}")
    }
}

/** Compares in constant time, so that the duration does not reveal where the proofs differ. */
private fun requireProof(given: ByteArray, expected: ByteArray) {
    if (!MessageDigest.isEqual(given, expected)) {
        throw PeerProtocolException(CutReason.UNAUTHENTICATED, "the other side uses another fleet secret")
    }
}

/**
 * The HMAC with [secret] over [role] and both hellos. The length of each part is part of the input, so that no two
 * different pairs of hellos give the same bytes.
 */
internal fun proof(secret: Secret, role: String, opening: ByteArray, accepting: ByteArray): ByteArray {
    val mac = Mac.getInstance(ALGORITHM)
    secret.reveal { mac.init(SecretKeySpec(it, ALGORITHM)) }
    listOf(role.encodeToByteArray(), opening, accepting).forEach { part ->
        mac.update(ByteBuffer.allocate(PREFIX_BYTES).putInt(part.size).array())
        mac.update(part)
    }
    return mac.doFinal()
}
