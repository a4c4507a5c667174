/*
 * The mutual authentication of a connection between VMs: three CBOR messages in length-prefixed frames. The client
 * sends [Hello], the server answers [HelloAnswer] with its own hello and a proof, and the client sends [HelloProof].
 * A proof is the HMAC-SHA-256, keyed with the fleet secret, of the prover's role and of both hellos as sent. The nonces
 * prevent replay, and the role prevents reflection of one side's proof to that side.
 */
package org.lentilquay.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/**
 * The identity of a VM and its protocol version. Fields may be added but never removed, because a VM of any version
 * must be able to decode it.
 */
@Serializable
class Hello(
    val version: Int,
    val vm: VmId,
    val incarnation: Incarnation,
    /** The VM that the client intends to reach; null in the server's hello. */
    val expected: VmId? = null,
    @ByteString val nonce: ByteArray,
)

/** The server's answer: [hello] is the CBOR of its [Hello]; an empty [proof] means that it refuses the connection. */
@Serializable
class HelloAnswer(@ByteString val hello: ByteArray, @ByteString val proof: ByteArray)

/** The client's proof, which ends the handshake. */
@Serializable
class HelloProof(@ByteString val proof: ByteArray)
