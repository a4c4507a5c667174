package org.lentilquay.transport.http

import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.ByteChannel
import io.ktor.utils.io.writeFully
import kotlinx.io.IOException

private const val CHUNKED_START = "4\r\nhalf\r\n"

/** A channel with [text] whose connection was then reset, as Ktor leaves it for a reader that comes later. */
private suspend fun resetAfter(text: String) = ByteChannel().apply {
    writeFully(text.encodeToByteArray())
    flush()
    cancel(IOException("Connection reset"))
}

/** Guards against a truncated body that counts as complete because its connection was reset before it was read. */
class BodyReaderTest : FunSpec({
    listOf(
        Triple("without a length", BodyFraming.UntilClose, "half"),
        Triple("without a length and without a byte", BodyFraming.UntilClose, ""),
        Triple("with a length", BodyFraming.Length(8), "half"),
        Triple("in chunks", BodyFraming.Chunked, CHUNKED_START),
    ).forEach { (name, framing, text) ->
        test("a body $name that was reset is truncated for a reader of parts and of lines") {
            shouldThrow<IOException> { BodyReader(resetAfter(text), framing).next() }
            shouldThrow<IOException> { BodyReader(resetAfter(text), framing).line(100) }
        }
    }

    test("a body without a length is complete when its connection was closed in order") {
        val channel = ByteChannel().apply {
            writeFully("whole".encodeToByteArray())
            flushAndClose()
        }
        val body = BodyReader(channel, BodyFraming.UntilClose)
        body.next()?.decodeToString() shouldBe "whole"
        body.next() shouldBe null
    }
})
