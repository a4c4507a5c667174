/*
 * One connection of a caller over a local socket, with the gateway's side of it.
 */
package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import org.lentilquay.state.gateway.CallerLimits
import org.lentilquay.transport.TcpNetwork
import org.lentilquay.transport.http.IpAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val DEFAULT_BODY_MILLIS = 20_000L

/** One connection of a caller, which is served once [serve] is called. */
internal class ServedCaller(
    @Volatile var limits: CallerLimits,
    private val handler: CallerHandler? = null,
    private val isStopping: () -> Boolean = { false },
) : AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val network = TcpNetwork()
    private val answered = AtomicInteger()
    private val limitReads = AtomicInteger()
    private val port = ServerSocket(0).use { it.localPort }
    val handled: Int get() = answered.get()
    lateinit var connection: CallerConnection
        private set
    lateinit var socket: Socket
        private set
    lateinit var served: Job
        private set

    suspend fun serve(maximumBodyMillis: Long = DEFAULT_BODY_MILLIS) {
        val listener = network.listen(IpAddress("127.0.0.1", port))
        socket = Socket("127.0.0.1", port).apply { soTimeout = 10_000 }
        val accepted = network.accept(listener)
        val now = { System.nanoTime() / 1_000_000 }
        val handler = handler ?: CallerHandler { _, writer ->
            answered.incrementAndGet()
            writer.respond(200, emptyList(), ByteArray(0))
        }
        val bodies = RequestBodyBudget(now = now)
        val readLimits = { limits.also { limitReads.incrementAndGet() } }
        connection = CallerConnection(
            accepted,
            handler,
            readLimits,
            isStopping,
            now,
            bodies,
            maximumBodyMillis = maximumBodyMillis,
        )
        served = scope.launch { connection.serve() }
        listener.close()
        // A test that changes the limits does so while the connection waits for a request.
        eventually(5.seconds) { limitReads.get() shouldBeGreaterThan 0 }
    }

    /** Waits until the first bytes of a request have been read. */
    suspend fun awaitReading() = eventually(5.seconds) { connection.isBusy shouldBe true }

    /** The status line of the next answer; empty if the connection ends without one. */
    fun statusLine(): String = line()

    /** All lines of the next head; empty if the connection ends without one. */
    fun head(): List<String> = generateSequence { line().trim().ifEmpty { null } }.toList()

    private fun line(): String {
        val line = StringBuilder()
        var byte = runCatching { socket.getInputStream().read() }.getOrDefault(-1)
        while (byte >= 0 && byte != '\n'.code) {
            line.append(byte.toChar())
            byte = runCatching { socket.getInputStream().read() }.getOrDefault(-1)
        }
        return line.toString()
    }

    override fun close() {
        socket.close()
        scope.cancel()
        network.close()
    }
}
