/*
 * The first three frames of a connection between VMs, each CBOR in a length-prefixed frame: the opening side sends
 * [Hello]; the accepting side answers [HelloAnswer] with its own hello and a proof; the opening side sends
 * [HelloProof]. A proof is the HMAC-SHA-256, under the fleet secret, of the role of the prover and of both hellos as
 * they were sent. The nonces make it fresh, and the role keeps one side's proof from serving as the other's.
 */
package org.lentilquay.protocol

import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import org.lentilquay.state.Incarnation
import org.lentilquay.state.VmId

/** Who a VM is and which protocol version it speaks. Fields may be added, never removed: any version must read it. */
@Serializable
class Hello(
    val version: Int,
    val vm: VmId,
    val incarnation: Incarnation,
    /** The VM that the opening side means to reach; null in an answer. */
    val expected: VmId? = null,
    @ByteString val nonce: ByteArray,
)

/** [hello] is the CBOR of the accepting side's [Hello]; [proof] is empty when it refuses the connection. */
@Serializable
class HelloAnswer(@ByteString val hello: ByteArray, @ByteString val proof: ByteArray)

@Serializable
class HelloProof(@ByteString val proof: ByteArray)
