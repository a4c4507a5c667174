package org.lentilquay.daemon.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.engine.EngineOptions
import org.lentilquay.transport.http.ScriptedServer
import org.lentilquay.transport.http.answering
import org.lentilquay.transport.http.write
import java.net.Socket
import java.util.concurrent.atomic.AtomicInteger

private const val IDLE_MILLIS = 300L

/** Longer than [IDLE_MILLIS]. */
private const val SILENCE_MILLIS = 500L
private const val CHUNKS = 4

/** Searches for a slot elsewhere before a silent engine is given up. */
private const val SEARCHES = 3

private fun streamHead(id: String) =
    "HTTP/1.1 200 OK\nContent-Type: text/event-stream\nX-Request-Id: $id\nX-Incarnation: 7\n\n"

private fun Socket.chunk(id: String, index: Int) = write(
    """data: {"id":"$id","index":$index,"model":"stove@3","choices":[{"index":0,"delta":{"content":"$index"}}]}""" +
        "\n\n",
)

/**
 * An engine that falls silent before each of the chunks [silentBefore]. The silence lasts for [resumes] connections,
 * which it accepts; the last one gets the rest of the stream.
 */
private class SilentEngine(private val silentBefore: Set<Int>, private val resumes: Int) : AutoCloseable {
    private val server = ScriptedServer { request, socket ->
        when {
            request.head.startsWith("POST /v1/cancel") -> socket.write("HTTP/1.1 200 OK\nContent-Length: 0\n\n")
            else -> stream(request.body, request.head, socket)
        }
    }
    private val silences = AtomicInteger()
    val address get() = server.address

    override fun close() = server.close()

    private fun stream(body: String, head: String, socket: Socket) {
        val id = Regex(""""request_id":"([^"]+)"""").find(body)?.groupValues?.get(1)
            ?: Regex("(?i)x-request-id: (\\S+)").find(head)?.groupValues?.get(1).orEmpty()
        val from = Regex(""""from_index":(\d+)""").find(body)?.groupValues?.get(1)?.toInt() ?: 0
        socket.write(streamHead(id))
        for (index in from until CHUNKS) {
            if (index in silentBefore && silences.getAndIncrement() % (resumes + 1) < resumes) {
                Thread.sleep(SILENCE_MILLIS)
                return
            }
            socket.chunk(id, index)
        }
        socket.write("data: [DONE]\n\n")
    }
}

private class Ended(val events: List<RunEvent>, val outcomes: List<RunOutcome>) {
    val text: String get() = events.filterIsInstance<RunEvent.Part>().joinToString("") { it.chunk.text }
}

private suspend fun runAt(
    vararg addresses: String,
    suspects: SuspectRequests = NoCrashes,
    withoutSlot: IntRange = IntRange.EMPTY,
): Ended {
    val reservations = GrantingReservations(addresses.toList(), incarnation = 7, withoutSlot)
    val events = ArrayList<RunEvent>()
    EngineClient(EngineOptions(idleMillis = IDLE_MILLIS)).use { engines ->
        val dependencies = InferenceDependencies(reservations, engines, suspects) { 0 }
        val run = InferenceRun(admitted(), dependencies, ActiveCalls().begin(null), RequestMetricsRecorder(Metrics()))
        do events += run.next() while (events.last() is RunEvent.Part)
    }
    return Ended(events, reservations.outcomes)
}

/** Guards against a stream that leaves a sound engine, which pauses, before another one has sent the next chunk. */
class SilentEngineTest : FunSpec({
    test("an engine that pauses twice completes its stream") {
        SilentEngine(silentBefore = setOf(1, 3), resumes = 1).use { engine ->
            val ended = runAt(engine.address)
            ended.text shouldBe "0123"
            ended.events.last() shouldBe RunEvent.Done
            ended.outcomes shouldContainExactly listOf(RunOutcome.COMPLETED)
        }
    }

    listOf(
        "refuses" to answering(503, """{"error":{"message":"m","type":"t","code":"engine_overloaded"}}"""),
        "fails" to answering(500, ""),
        "closes the connection" to ScriptedServer { _, _ -> },
    ).forEach { (name, second) ->
        test("an engine that pauses for long completes its stream if the other engine $name") {
            SilentEngine(silentBefore = setOf(1), resumes = 3).use { engine ->
                val ended = second.use { runAt(engine.address, second.address) }
                ended.text shouldBe "0123"
                ended.events.last() shouldBe RunEvent.Done
            }
        }
    }

    test("an engine that pauses for long is replaced by one that sends the next chunk") {
        SilentEngine(silentBefore = setOf(1), resumes = 9).use { silent ->
            SilentEngine(silentBefore = emptySet(), resumes = 0).use { second ->
                val ended = runAt(silent.address, second.address)
                ended.events.last() shouldBe RunEvent.Done
                ended.outcomes shouldContainExactly listOf(RunOutcome.CONNECTION_LOST, RunOutcome.COMPLETED)
            }
        }
    }

    // A request that crashes servers must be found out also if it crashes them only as a replacement.
    test("a crash of the engine that is to replace a silent one counts, and the silent one goes on") {
        val suspects = CountedCrashes()
        val second = ScriptedServer { request, socket ->
            // The stream breaks off after its head, and nothing answers the question whether the process still runs.
            if (request.head.startsWith("POST /v1/chat")) socket.write(streamHead("r-1"))
        }
        SilentEngine(silentBefore = setOf(1), resumes = 3).use { engine ->
            second.use { runAt(engine.address, second.address, suspects = suspects).text shouldBe "0123" }
        }
        suspects.count shouldBe 1
    }

    // Each search for a free slot counted as an attempt, so none was left when the silent engine was given up.
    test("a stream of an engine that sends nothing more goes on elsewhere once a slot is free there") {
        SilentEngine(silentBefore = setOf(1), resumes = 99).use { silent ->
            SilentEngine(silentBefore = emptySet(), resumes = 0).use { second ->
                val addresses = List(SEARCHES + 1) { silent.address } + second.address
                runAt(*addresses.toTypedArray(), withoutSlot = 1..SEARCHES).events.last() shouldBe RunEvent.Done
            }
        }
    }

    test("an engine that accepts each resume order and sends nothing ends the stream after some of them") {
        SilentEngine(silentBefore = setOf(1), resumes = 99).use { silent ->
            runAt(silent.address, silent.address).events.last()::class shouldBe RunEvent.Failed::class
        }
    }
})
