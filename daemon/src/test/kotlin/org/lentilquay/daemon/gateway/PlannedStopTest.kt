package org.lentilquay.daemon.gateway

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import org.lentilquay.transport.TcpNetwork
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicBoolean
import kotlin.time.measureTime

/** Fewer than the threads of the dispatcher on which the callers block. */
private const val CALLERS = 60
private const val REQUEST = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

private class StopFixture : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val isStopping = AtomicBoolean()
    private val port = ServerSocket(0).use { it.localPort }
    private val handler = CallerHandler { _, writer ->
        delay(20)
        writer.respond(200, emptyList(), "ok".encodeToByteArray())
    }
    private val now = { System.nanoTime() / 1_000_000 }
    val listener = GatewayListener(TcpNetwork(), handler, { null }, isStopping::get, scope, now)

    suspend fun start() = listener.start("127.0.0.1:$port")

    fun connect() = Socket("127.0.0.1", port).apply { soTimeout = 5_000 }

    /** Ends as a planned stop of the gateway does. */
    suspend fun stop() {
        isStopping.set(true)
        listener.stopAccepting()
        while (listener.openConnections > 0) {
            listener.closeIdle()
            delay(10)
        }
    }

    override fun close() = scope.cancel()
}

private fun Socket.ask(): String = use {
    it.getOutputStream().write(REQUEST.encodeToByteArray())
    runCatching { it.getInputStream().readAllBytes().decodeToString() }.getOrElse { failure -> failure.toString() }
}

private fun isWhole(answer: String) = answer.startsWith("HTTP/1.1 200") && answer.endsWith("ok")

/** Guards against requests that a planned stop cuts off, and against stops that do not end. */
class PlannedStopTest : FunSpec({
    // The stop closed connections that had no request yet, while their first one was on its way.
    listOf(0L, 30L, 100L, 250L).forEach { millis ->
        test("requests on connections that were accepted when the stop began are answered after $millis ms") {
            StopFixture().use { fixture ->
                fixture.start()
                val sockets = List(CALLERS) { fixture.connect() }
                val answers = withContext(Dispatchers.IO) {
                    // Not on a thread of the callers, which all block while they wait for their answers.
                    val stopped = async(Dispatchers.Default) { fixture.stop() }
                    val asked = sockets.map { socket ->
                        async {
                            delay(millis)
                            socket.ask()
                        }
                    }
                    asked.awaitAll().also { stopped.await() }
                }
                answers.filterNot(::isWhole) shouldBe emptyList()
            }
        }
    }

    // Closing the listener resets the connections that wait to be accepted.
    test("connections that arrive until the listener closes are answered or not accepted") {
        StopFixture().use { fixture ->
            fixture.start()
            val results = withContext(Dispatchers.IO) {
                val asked = List(CALLERS) { number ->
                    async {
                        delay(number.toLong())
                        runCatching { fixture.connect() }.getOrNull()?.ask()
                    }
                }
                delay(CALLERS / 2L)
                withContext(Dispatchers.Default) { fixture.stop() }
                asked.awaitAll()
            }
            results.filterNotNull().filterNot(::isWhole) shouldBe emptyList()
        }
    }

    test("idle connections do not hold up a stop") {
        StopFixture().use { fixture ->
            fixture.start()
            val sockets = List(10) { fixture.connect() }
            measureTime { fixture.stop() }.inWholeMilliseconds shouldBeLessThan 2_000
            sockets.forEach { it.close() }
        }
    }
})
