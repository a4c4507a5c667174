/*
 * Frames on a connection between VMs: a length of 4 bytes in network order, then that many bytes of CBOR.
 */
package org.lentilquay.transport.peer

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeFully
import io.ktor.utils.io.writeInt
import kotlinx.serialization.cbor.Cbor
import kotlinx.serialization.decodeFromByteArray
import org.lentilquay.protocol.MAXIMUM_PEER_FRAME_BYTES
import org.lentilquay.protocol.PeerFrame

/** Bytes of the length before each frame. */
internal const val PREFIX_BYTES: Int = 4

internal val peerCbor = Cbor {
    // A later build may add fields with defaults to messages of the same version.
    ignoreUnknownKeys = true
}

/** The other side violated the protocol, so the connection must be closed. */
internal class PeerProtocolException(val reason: CutReason, message: String, cause: Throwable? = null) :
    Exception(message, cause)

/** Reads the bytes of the next frame. A frame longer than [maximumBytes] is rejected before its content is buffered. */
internal suspend fun ByteReadChannel.readFrameBytes(maximumBytes: Int = MAXIMUM_PEER_FRAME_BYTES): ByteArray {
    val length = readInt()
    if (length !in 1..maximumBytes) {
        throw PeerProtocolException(CutReason.OVERSIZE, "frame length $length is not between 1 and $maximumBytes bytes")
    }
    return readByteArray(length)
}

/** Writes one frame without flushing. */
internal suspend fun ByteWriteChannel.writeFrameBytes(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
}

/**
 * Decodes [bytes] as a value of type [T]. For invalid CBOR the library throws exceptions of several types, not only
 * its own; all of them are reported as a malformed frame.
 */
internal inline fun <reified T> decodePeer(bytes: ByteArray): T =
    runCatching { peerCbor.decodeFromByteArray<T>(bytes) }.getOrElse { failure ->
        if (failure is Error) throw failure
        throw PeerProtocolException(CutReason.MALFORMED, "the frame is not a valid CBOR message", failure)
    }

/** Decodes a frame that holds either a request or an answer. */
internal fun decodeFrame(bytes: ByteArray): PeerFrame = decodePeer<PeerFrame>(bytes).also { frame ->
    if ((frame.request == null) == (frame.answer == null)) {
        throw PeerProtocolException(CutReason.MALFORMED, "the frame must hold either a request or an answer")
    }
}
