package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.CompletableDeferred
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
import org.lentilquay.coordination.callers.SHORT_BODY_BYTES
import org.lentilquay.transport.TcpNetwork
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val BUDGET_BYTES = 1_000_000L
private const val HALF = 500_000L
private const val WAIT_MILLIS = 200L

/** The budget of the tests of a burst; its part for long bodies and the reserve are 24 MiB. */
private const val BURST_BUDGET_BYTES = 32L shl 20
private const val LONG_BODY_BYTES = 4_000_000
private const val CALLERS = 20

/** The bodies of [LONG_BODY_BYTES] that fit into the memory for all bodies, 24 MiB. */
private const val BODIES_AT_ONCE = 6

/** Guards against a burst of long bodies, each within its limit, that exhausts the memory of the process (review/3). */
class RequestBodyBudgetTest : FunSpec({
    fun budget(maximumWaitMillis: Long) =
        RequestBodyBudget(BUDGET_BYTES, maximumWaitMillis) { System.nanoTime() / 1_000_000 }

    fun RequestBodyBudget.body(bytes: Long) = Reservation(bytes) {}

    test("short bodies go on while long ones have their memory, and long ones wait until it is returned") {
        val budget = budget(WAIT_MILLIS)
        val first = budget.body(HALF)
        first.growTo(HALF) shouldBe true
        first.arrived()
        budget.body(SHORT_BODY_BYTES.toLong()).growTo(SHORT_BODY_BYTES.toLong()) shouldBe true
        val owner = budget.body(HALF)
        owner.growTo(HALF / 2) shouldBe true
        val late = budget.body(HALF)
        late.growTo(HALF / 4) shouldBe false
        late.close()
        first.close()
        budget.body(HALF / 4).growTo(HALF / 4) shouldBe true
    }

    test("the memory of a body goes to those that wait, the shorter one first") {
        val budget = budget(maximumWaitMillis = 5_000)
        val grown = CopyOnWriteArrayList<String>()
        coroutineScope {
            val first = budget.body(HALF).apply { growTo(HALF) }
            val owner = budget.body(HALF).apply { growTo(HALF / 2) }
            val waiting = listOf("long" to HALF * 2, "short" to HALF / 4).map { (name, bytes) ->
                launch { budget.body(bytes).apply { if (growTo(bytes)) grown += name } }.also { delay(50) }
            }
            grown.toList() shouldBe emptyList()
            first.close()
            eventually(2.seconds) { grown.firstOrNull() shouldBe "short" }
            owner.close()
            waiting.forEach { it.cancelAndJoin() }
        }
    }

    test("a body whose caller has fallen silent gives way to one that waits") {
        val budget = budget(maximumWaitMillis = 5_000)
        val silentGivesWay = CompletableDeferred<Unit>()
        val silent = budget.Reservation(HALF * 2) { silentGivesWay.complete(Unit) }
        silent.growTo(HALF * 3 / 2) shouldBe true
        coroutineScope {
            val ordinary = async { budget.body(HALF).growTo(HALF) }
            silentGivesWay.await()
            silent.hasGivenWay shouldBe true
            silent.close()
            ordinary.await() shouldBe true
        }
    }

    test("a body that is longer than the budget has it alone") {
        val budget = budget(WAIT_MILLIS)
        val reservation = budget.body(2 * BUDGET_BYTES)
        reservation.growTo(2 * BUDGET_BYTES) shouldBe true
        budget.body(HALF).growTo(HALF) shouldBe false
        reservation.close()
        budget.body(HALF).growTo(HALF) shouldBe true
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
            val now = { System.nanoTime() / 1_000_000 }
            val capacity = CallerCapacity(now, bodies = RequestBodyBudget(BURST_BUDGET_BYTES, now = now))
            GatewayListener(TcpNetwork(), handler, { null }, { false }, scope, now, capacity).start("127.0.0.1:$port")
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
