package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import org.lentilquay.transport.TcpNetwork
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val BUDGET_BYTES = 1_000_000L
private const val HALF = 500_000L
private const val WAIT_MILLIS = 200L
private const val LONG_BODY_BYTES = 4_000_000
private const val CALLERS = 20

/** The bodies of [LONG_BODY_BYTES] that fit into the memory for all bodies, 24 MiB. */
private const val BODIES_AT_ONCE = 6

/** Guards against a burst of long bodies, each within its limit, that exhausts the memory of the process (review/3). */
class RequestBodyBudgetTest : FunSpec({
    test("short bodies never wait, and long ones wait until earlier ones have returned their memory") {
        val budget = RequestBodyBudget(BUDGET_BYTES, WAIT_MILLIS)
        val first = budget.Reservation()
        first.reserve(BUDGET_BYTES) shouldBe true
        budget.Reservation().reserve(UNCOUNTED_BODY_BYTES.toLong()) shouldBe true
        val late = budget.Reservation()
        late.reserve(HALF) shouldBe false
        late.close()
        first.close()
        val second = budget.Reservation()
        second.reserve(HALF) shouldBe true
        budget.Reservation().reserve(HALF) shouldBe true
        budget.Reservation().reserve(HALF) shouldBe false
    }

    test("bodies wait in order, and one that gives up makes room for the next") {
        val budget = RequestBodyBudget(BUDGET_BYTES, maximumWaitMillis = 5_000)
        val admitted = CopyOnWriteArrayList<String>()
        coroutineScope {
            val first = budget.Reservation().apply { reserve(HALF) }
            val waiting = listOf("long" to BUDGET_BYTES, "short" to HALF).map { (name, bytes) ->
                launch { budget.Reservation().apply { if (reserve(bytes)) admitted += name } }.also { delay(50) }
            }
            admitted.toList() shouldBe emptyList()
            waiting.first().cancelAndJoin()
            eventually(2.seconds) { admitted.toList() shouldContainExactly listOf("short") }
            first.close()
        }
    }

    test("a body that is longer than the budget has it alone") {
        val budget = RequestBodyBudget(BUDGET_BYTES, WAIT_MILLIS)
        val reservation = budget.Reservation()
        reservation.reserve(2 * BUDGET_BYTES) shouldBe true
        budget.Reservation().reserve(HALF) shouldBe false
        reservation.close()
        budget.Reservation().reserve(HALF) shouldBe true
    }

    listOf(
        "Content-Length: $LONG_BODY_BYTES" to false,
        "Transfer-Encoding: chunked" to true,
    ).forEach { (framing, chunked) ->
        test("a burst of long bodies is answered with few of them in memory at once, $framing") {
            val inMemory = AtomicInteger()
            val most = AtomicInteger()
            val handler = CallerHandler { request, writer ->
                most.accumulateAndGet(inMemory.incrementAndGet(), ::maxOf)
                delay(30)
                inMemory.decrementAndGet()
                writer.respond(200, emptyList(), request.body.size.toString().encodeToByteArray())
            }
            val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
            val port = ServerSocket(0).use { it.localPort }
            GatewayListener(TcpNetwork(), handler, { null }, { false }, scope) { System.nanoTime() / 1_000_000 }
                .start("127.0.0.1:$port")
            val head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n$framing\r\n\r\n"
            val body = ByteArray(LONG_BODY_BYTES)
            val answers = withContext(Dispatchers.IO) {
                List(CALLERS) {
                    async {
                        Socket("127.0.0.1", port).use { socket ->
                            socket.soTimeout = 10_000
                            val output = socket.getOutputStream()
                            output.write(head.encodeToByteArray())
                            if (chunked) output.write("${LONG_BODY_BYTES.toString(16)}\r\n".encodeToByteArray())
                            output.write(body)
                            if (chunked) output.write("\r\n0\r\n\r\n".encodeToByteArray())
                            socket.getInputStream().readAllBytes().decodeToString().substringAfter("\r\n\r\n")
                        }
                    }
                }.awaitAll()
            }
            scope.cancel()
            answers shouldBe List(CALLERS) { "$LONG_BODY_BYTES" }
            most.get() shouldBeLessThanOrEqual BODIES_AT_ONCE
        }
    }
})
