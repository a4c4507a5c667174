/*
 * Writes the response of a route to the connection of its caller. The writer of the connection determines the framing.
 */
package org.lentilquay.daemon.requests.engine

import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.http.content.OutgoingContent
import io.ktor.server.application.PipelineCall
import io.ktor.server.engine.BaseApplicationResponse
import io.ktor.server.response.ResponseHeaders
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.InternalAPI
import io.ktor.utils.io.readRemaining
import kotlinx.io.Buffer
import kotlinx.io.IOException
import kotlinx.io.Sink
import kotlinx.io.readByteArray
import org.lentilquay.daemon.gateway.ResponseWriter

/** Headers that the writer of the connection sets. */
private val FRAMING_HEADERS = setOf("content-length", "transfer-encoding", "connection")
private val NO_BYTES = ByteArray(0)

internal class EngineResponse(call: PipelineCall, private val writer: ResponseWriter) : BaseApplicationResponse(call) {
    private val collected = CollectedHeaders()
    private var statusCode = HttpStatusCode.OK
    override val headers: ResponseHeaders get() = collected

    override fun setStatus(statusCode: HttpStatusCode) {
        this.statusCode = statusCode
    }

    override suspend fun respondFromBytes(bytes: ByteArray) =
        writer.respond(statusCode.value, collected.withoutFraming(), bytes)

    override suspend fun respondNoContent(content: OutgoingContent.NoContent) {
        val statedLength = collected[HttpHeaders.ContentLength]?.toLongOrNull()
        writer.respond(statusCode.value, collected.withoutFraming(), NO_BYTES, statedLength ?: 0)
    }

    override suspend fun respondWriteChannelContent(content: OutgoingContent.WriteChannelContent) {
        val channel = responseChannel()
        content.writeTo(channel)
        channel.flushAndClose()
    }

    override suspend fun respondFromChannel(readChannel: ByteReadChannel) =
        respondFromBytes(readChannel.readRemaining().readByteArray())

    override suspend fun responseChannel(): ByteWriteChannel {
        writer.startChunked(statusCode.value, collected.withoutFraming())
        return ChunkedResponse(writer)
    }

    override suspend fun respondUpgrade(upgrade: OutgoingContent.ProtocolUpgrade) =
        throw UnsupportedOperationException("no route upgrades its connection")
}

private class CollectedHeaders : ResponseHeaders() {
    private val entries = mutableListOf<Pair<String, String>>()

    fun withoutFraming() = entries.filter { it.first.lowercase() !in FRAMING_HEADERS }

    override fun engineAppendHeader(name: String, value: String) {
        entries += name to value
    }

    override fun getEngineHeaderNames(): List<String> = entries.map { it.first }

    override fun getEngineHeaderValues(name: String): List<String> =
        entries.filter { it.first.equals(name, ignoreCase = true) }.map { it.second }
}

/** Writes what was written before each flush as one chunk. */
@OptIn(InternalAPI::class)
private class ChunkedResponse(private val writer: ResponseWriter) : ByteWriteChannel {
    private val unflushed = Buffer()

    override var closedCause: Throwable? = null
        private set
    override val isClosedForWrite: Boolean get() = writer.isEnded || closedCause != null
    override val writeBuffer: Sink
        get() {
            closedCause?.let { throw it }
            if (writer.isEnded) throw IOException("the response has ended")
            return unflushed
        }

    override suspend fun flush() {
        closedCause?.let { throw it }
        if (!unflushed.exhausted()) writer.writeChunk(unflushed.readByteArray())
    }

    override suspend fun flushAndClose() {
        if (isClosedForWrite) return
        flush()
        writer.endChunked()
    }

    override fun cancel(cause: Throwable?) {
        closedCause = closedCause ?: cause ?: IOException("the response was cancelled")
    }
}
