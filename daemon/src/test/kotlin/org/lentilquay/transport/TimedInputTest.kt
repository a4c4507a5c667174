package org.lentilquay.transport

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import io.ktor.utils.io.readByte
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readLineStrict
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.seconds

private const val SHORT_MILLIS = 300L
private const val LONG_MILLIS = 10_000L
private const val LATE_BYTES = 100_000L

private suspend fun awaitingFails(connection: TcpConnection) =
    shouldThrow<InputTimeoutException> { connection.input.within({ SHORT_MILLIS }) { connection.input.awaitContent() } }

/** Guards against waits that end though their bytes have arrived, and against waits that do not end. */
class TimedInputTest : FunSpec({
    // The timer ran first and ended the wait when the process had no processor time.
    test("bytes that are in the socket when the time ends are taken") {
        connected { connection, other ->
            withStalledReceivers {
                other.getOutputStream().write("late\n".encodeToByteArray())
                val line = connection.input.within({ SHORT_MILLIS }) {
                    delay(2 * SHORT_MILLIS)
                    connection.input.readLineStrict(10)
                }
                line shouldBe "late"
            }
        }
    }

    test("the end of the input that is in the socket when the time ends is seen") {
        connected { connection, other ->
            withStalledReceivers {
                other.shutdownOutput()
                connection.input.within({ SHORT_MILLIS }) { connection.input.awaitContent() } shouldBe false
            }
        }
    }

    test("a wait for which nothing arrives fails after its time, and the input can be read on") {
        connected { connection, other ->
            other.getOutputStream().write("ab".encodeToByteArray())
            connection.input.within({ LONG_MILLIS }) { connection.input.readByte() } shouldBe 'a'.code.toByte()
            val failure = shouldThrow<InputTimeoutException> {
                connection.input.within({ SHORT_MILLIS }) { connection.input.awaitContent(2) }
            }
            failure.limitMillis shouldBe SHORT_MILLIS
            failure.lateMillis shouldBeGreaterThanOrEqual 0
            other.getOutputStream().write("c".encodeToByteArray())
            connection.input.readByteArray(2).decodeToString() shouldBe "bc"
        }
    }

    test("the limit that ends first holds") {
        connected { connection, _ ->
            shouldThrow<InputTimeoutException> {
                connection.input.within({ SHORT_MILLIS }) {
                    connection.input.within({ LONG_MILLIS }) { connection.input.awaitContent() }
                }
            }.limitMillis shouldBe SHORT_MILLIS
            shouldThrow<InputTimeoutException> {
                connection.input.within({ LONG_MILLIS }) { awaitingFails(connection) }
                connection.input.within({ 1 }) { connection.input.awaitContent() }
            }.limitMillis shouldBe 1
        }
    }

    // The limit was read once, and a configuration that raised it came too late.
    test("a limit that is raised during the wait holds, and a review ends a wait whose limit was lowered") {
        connected { connection, other ->
            val limit = AtomicLong(SHORT_MILLIS)
            val waiting = CoroutineScope(Dispatchers.Default).async {
                connection.input.within(limit::get) { connection.input.awaitContent() }
            }
            limit.set(LONG_MILLIS)
            delay(2 * SHORT_MILLIS)
            other.getOutputStream().write(1)
            waiting.await() shouldBe true
            connection.input.readByte()
            val second = CoroutineScope(Dispatchers.Default).async {
                runCatching { connection.input.within(limit::get) { connection.input.awaitContent() } }
            }
            delay(SHORT_MILLIS)
            limit.set(0)
            connection.input.reviewLimits()
            second.await().exceptionOrNull()!!::class shouldBe InputTimeoutException::class
        }
    }

    // Otherwise a side that keeps sending would never be stopped.
    listOf(1 to 10L, 50_000 to 1L).forEach { (bytes, pauseMillis) ->
        test("a side that sends $bytes bytes every $pauseMillis ms is read no further some bytes after the limit") {
            connected { connection, other ->
                thread(isDaemon = true) {
                    runCatching {
                        while (true) {
                            other.getOutputStream().write(ByteArray(bytes))
                            Thread.sleep(pauseMillis)
                        }
                    }
                }
                shouldThrow<InputTimeoutException> {
                    connection.input.within({ SHORT_MILLIS }, LATE_BYTES) { while (true) connection.input.readByte() }
                }
            }
        }
    }

    test("unread bytes are counted before and after they were received") {
        connected { connection, other ->
            withStalledReceivers {
                other.getOutputStream().write(ByteArray(5))
                eventually(5.seconds) { connection.input.unreadBytes() shouldBe 5 }
            }
            connection.input.readByte()
            connection.input.unreadBytes() shouldBe 4
        }
    }
})
