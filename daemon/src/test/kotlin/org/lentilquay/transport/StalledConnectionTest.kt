package org.lentilquay.transport

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import java.lang.management.ManagementFactory

/** More than the socket buffers on both sides and the output channel take. */
private const val LONG_BYTES = 32 shl 20
private const val STALL_MILLIS = 1_500L

/** A busy thread uses all of the time of the stall. */
private const val MAXIMUM_BUSY_MILLIS = STALL_MILLIS / 3
private const val SHORT_BYTES = 200
private const val HANDSHAKES = 20
private const val NANOS_PER_MILLI = 1_000_000L

/** The processor time of the threads that do input and output, in milliseconds. */
private fun dispatcherMillis(): Long {
    val threads = ManagementFactory.getThreadMXBean()
    return threads.getThreadInfo(threads.allThreadIds).filterNotNull()
        .filter { it.threadName.startsWith("DefaultDispatcher-worker") }
        .sumOf { threads.getThreadCpuTime(it.threadId).coerceAtLeast(0) } / NANOS_PER_MILLI
}

/** Guards against a connection whose other side takes no data and that occupies a thread, and so stops all others. */
class StalledConnectionTest : FunSpec({
    test("a write for which the other side takes no data uses no processor time") {
        connected { connection, _ ->
            coroutineScope {
                val writing = launch {
                    runSuspendCatching {
                        connection.output.writeFully(ByteArray(LONG_BYTES))
                        connection.output.flush()
                    }
                }
                delay(STALL_MILLIS)
                val before = dispatcherMillis()
                delay(STALL_MILLIS)
                dispatcherMillis() - before shouldBeLessThan MAXIMUM_BUSY_MILLIS
                connection.close()
                writing.join()
            }
        }
    }

    test("all bytes arrive in order and then the end, once the other side takes data again") {
        val sent = ByteArray(LONG_BYTES) { (it % 251).toByte() }
        connected { connection, other ->
            coroutineScope {
                val received = async(Dispatchers.IO) {
                    Thread.sleep(STALL_MILLIS)
                    other.getInputStream().readNBytes(sent.size).also { other.getInputStream().read() shouldBe -1 }
                }
                connection.output.writeFully(sent)
                connection.output.flushAndClose()
                received.await().contentEquals(sent) shouldBe true
            }
        }
    }

    // A VM that rejects a handshake says why and closes at once, and a caller may be slow to take its last response.
    test("the bytes before an orderly close arrive, though the connection is closed right after it") {
        val sent = ByteArray(LONG_BYTES) { (it % 251).toByte() }
        accepted { connection, other ->
            coroutineScope {
                val received = async(Dispatchers.IO) {
                    Thread.sleep(STALL_MILLIS)
                    other.getInputStream().readAllBytes()
                }
                connection.output.writeMessage(ByteArray(0), sent)
                connection.finish(lingerMillis = 10, maximumDiscardedBytes = 1_000)
                received.await().contentEquals(sent) shouldBe true
            }
        }
    }

    repeat(HANDSHAKES) { number ->
        test("a short message before an orderly close arrives, attempt $number") {
            accepted { connection, other ->
                connection.output.writeFully(ByteArray(SHORT_BYTES))
                connection.output.flushAndClose()
                connection.close()
                withContext(Dispatchers.IO) { other.getInputStream().readAllBytes() }.size shouldBe SHORT_BYTES
            }
        }
    }

    test("a write to a connection that was reset fails") {
        connected { connection, other ->
            other.setSoLinger(true, 0)
            other.close()
            var failures = 0L
            repeat(20) {
                val written = runSuspendCatching {
                    connection.output.writeFully(ByteArray(1_000))
                    connection.output.flush()
                }
                if (written.isFailure) failures++
                delay(20)
            }
            failures shouldBeGreaterThan 0
        }
    }
})
