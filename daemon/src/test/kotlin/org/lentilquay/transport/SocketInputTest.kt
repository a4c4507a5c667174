package org.lentilquay.transport

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.availableForRead
import io.ktor.utils.io.readAvailable
import kotlinx.coroutines.delay
import java.io.ByteArrayOutputStream
import kotlin.concurrent.thread

private const val FLOOD_BYTES = 16 shl 20

/** Far below the MiB that Ktor's reader receives for a connection that nobody reads. */
private const val MAXIMUM_BUFFERED_BYTES = 256 shl 10
private const val FLOOD_MILLIS = 500L

private suspend fun readToEnd(connection: TcpConnection): ByteArray {
    val read = ByteArrayOutputStream()
    val block = ByteArray(10_000)
    var count = connection.input.readAvailable(block)
    while (count >= 0) {
        read.write(block, 0, count)
        count = connection.input.readAvailable(block)
    }
    return read.toByteArray()
}

/** Guards against memory that grows with the bytes that another side sends while nobody reads them. */
class SocketInputTest : FunSpec({
    test("a connection that is not read buffers few bytes, and all of them arrive in order once it is read") {
        val sent = ByteArray(FLOOD_BYTES) { (it % 251).toByte() }
        connected { connection, other ->
            thread(isDaemon = true) {
                other.getOutputStream().write(sent)
                other.shutdownOutput()
            }
            delay(FLOOD_MILLIS)
            connection.input.availableForRead shouldBeGreaterThan 0
            delay(FLOOD_MILLIS)
            connection.input.availableForRead shouldBeLessThan MAXIMUM_BUFFERED_BYTES
            readToEnd(connection).contentEquals(sent) shouldBe true
            connection.input.closedCause shouldBe null
        }
    }

    test("more content than the buffer takes can be awaited") {
        connected { connection, other ->
            thread(isDaemon = true) { other.getOutputStream().write(ByteArray(FLOOD_BYTES)) }
            connection.input.awaitContent(MAXIMUM_BUFFERED_BYTES) shouldBe true
        }
    }

    test("a reader that waits is resumed by the end, by a reset and by a local close") {
        connected { connection, other ->
            thread(isDaemon = true) {
                Thread.sleep(FLOOD_MILLIS)
                other.shutdownOutput()
            }
            connection.input.awaitContent() shouldBe false
            connection.input.isClosedForRead shouldBe true
        }
        connected { connection, other ->
            thread(isDaemon = true) {
                Thread.sleep(FLOOD_MILLIS)
                other.setSoLinger(true, 0)
                other.close()
            }
            runSuspendCatching { connection.input.awaitContent() }.isFailure shouldBe true
        }
        connected { connection, _ ->
            thread(isDaemon = true) {
                Thread.sleep(FLOOD_MILLIS)
                connection.close()
            }
            runSuspendCatching { connection.input.awaitContent() }.isFailure shouldBe true
        }
    }
})
