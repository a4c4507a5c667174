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

/** The other side broke the protocol; the connection must be cut. */
internal class PeerProtocolException(val reason: CutReason, message: String, cause: Throwable? = null) :
    Exception(message, cause)

/** Reads the bytes of the next frame. A longer frame than [maximumBytes] is refused before any of it is kept. */
internal suspend fun ByteReadChannel.readFrameBytes(maximumBytes: Int = MAXIMUM_PEER_FRAME_BYTES): ByteArray {
    val length = readInt()
    if (length !in 1..maximumBytes) {
        throw PeerProtocolException(CutReason.OVERSIZE, "frame of $length bytes; at most $maximumBytes are accepted")
    }
    return readByteArray(length)
}

/** Writes one frame without flushing. */
internal suspend fun ByteWriteChannel.writeFrameBytes(bytes: ByteArray) {
    writeInt(bytes.size)
    writeFully(bytes)
}

/**
 * Reads [bytes] as a value of type [T]. For bytes that are not valid CBOR the library throws exceptions of several
 * kinds, not only its own; all of them mean the same here.
 */
internal inline fun <reified T> decodePeer(bytes: ByteArray): T =
    runCatching { peerCbor.decodeFromByteArray<T>(bytes) }.getOrElse { failure ->
        if (failure is Error) throw failure
        throw PeerProtocolException(CutReason.MALFORMED, "unreadable frame", failure)
    }

/** Reads a frame that holds either a request or an answer. */
internal fun decodeFrame(bytes: ByteArray): PeerFrame = decodePeer<PeerFrame>(bytes).also { frame ->
    if ((frame.request == null) == (frame.answer == null)) {
        throw PeerProtocolException(CutReason.MALFORMED, "frame without exactly one message")
    }
}
