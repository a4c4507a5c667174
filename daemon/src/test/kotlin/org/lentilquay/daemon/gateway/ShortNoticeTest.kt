package org.lentilquay.daemon.gateway

import io.kotest.assertions.nondeterministic.eventually
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotEndWith
import kotlinx.coroutines.delay
import org.lentilquay.protocol.PeerRequest
import org.lentilquay.state.gateway.RouteKind
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration.Companion.seconds

private const val EVENT_MILLIS = 30L

/** A stream of this many events takes longer than any of the servers that leave is there. */
private const val EVENTS = 110

/** Less than the time before the end at which streams go on elsewhere, so that they do at once. */
private const val LEFT_MILLIS = 2_000L

/** The time of one test in which the gateway has seen a notice. */
private const val NOTICE_MILLIS = 300L

private fun event(number: Int) = "id: $number\ndata: e$number\n\n"

private fun events(numbers: IntRange) = numbers.joinToString("") { event(it) }.removeSuffix("\r\n")

/** Servers that stream events, each until the end that [leave] sets, after which it is gone. */
private class Streamers(
    count: Int,
    private val events: Int = EVENTS,
    private val act: (arrival: Int, socket: Socket) -> Boolean = { _, _ -> false },
) {
    private val arrivals = AtomicInteger()
    private val endsAt = java.util.concurrent.ConcurrentHashMap<String, Long>()

    /** The servers in the order in which they got requests. */
    val arrived = CopyOnWriteArrayList<Backend>()

    /** The streams that a server that leaves was still sending when it was gone. */
    val cut = AtomicInteger()
    val all: List<Backend> = List(count) { number ->
        Backend("s$number") { socket, request ->
            arrived += this
            if (!act(arrivals.getAndIncrement(), socket)) stream("s$number", socket, request)
        }
    }

    private fun Backend.stream(id: String, socket: Socket, request: CallerHead) {
        val first = (request.header("Last-Event-Id")?.toInt() ?: 0) + 1
        socket.sendHead(request.header("Request").orEmpty(), "Transfer-Encoding: chunked\r\n")
        for (number in first..events) {
            socket.send(chunk(event(number)))
            Thread.sleep(EVENT_MILLIS)
            if (System.nanoTime() / 1_000_000 > (endsAt[id] ?: Long.MAX_VALUE)) {
                cut.incrementAndGet()
                crash(socket)
                return
            }
        }
        socket.use { it.send("0\r\n\r\n") }
    }

    /** Registers the servers that got requests so far as leaving. */
    suspend fun leave(fixture: ForwarderFixture) {
        val leaving = arrived.distinct()
        leaving.forEach {
            endsAt.putIfAbsent("s${all.indexOf(it)}", System.nanoTime() / 1_000_000 + LEFT_MILLIS)
        }
        fixture.announceLeaving(leaving.associateWith { LEFT_MILLIS })
    }

    suspend fun awaitArrivals(number: Int) = eventually(5.seconds) { arrived shouldHaveSize number }
}

private suspend fun Streamers.use(
    isResumable: Boolean = true,
    maximumAttempts: Int = 2,
    targetLatencyMillis: Long = 500,
    act: suspend (ForwarderFixture) -> Unit,
) = ForwarderFixture(all, RouteKind.STREAM, isResumable, maximumAttempts, targetLatencyMillis).use {
    it.open()
    act(it)
}

private fun wholeBody(answer: String) = bodyOf(answer.removeSuffix(LAST_CHUNK)).trimEnd()

/** Guards against streams that are cut, repeat events or lose events when their server leaves at short notice. */
class ShortNoticeTest : FunSpec({
    test("a stream whose server sends events all the time goes on elsewhere before the server is gone") {
        val servers = Streamers(2)
        servers.use { fixture ->
            fixture.allowRetries()
            val answer = fixture.askOverSocket("r1") {
                servers.awaitArrivals(1)
                delay(NOTICE_MILLIS)
                servers.leave(fixture)
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..EVENTS).trimEnd()
        }
        servers.arrived.distinct() shouldHaveSize 2
        servers.arrived shouldHaveSize 2
        servers.cut.get() shouldBe 0
    }

    test("a stream goes on though two servers leave one after the other") {
        val servers = Streamers(3)
        servers.use(maximumAttempts = 3) { fixture ->
            fixture.allowRetries()
            val answer = fixture.askOverSocket("r1") {
                repeat(2) {
                    servers.awaitArrivals(it + 1)
                    delay(NOTICE_MILLIS)
                    servers.leave(fixture)
                }
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..EVENTS).trimEnd()
        }
        servers.arrived.distinct() shouldHaveSize 3
        servers.cut.get() shouldBe 0
    }

    // An attempt that was refused had ended the old one, or the old one had waited for it in vain.
    test("a stream stays at its server while no other one has room, and is whole") {
        val servers = Streamers(2, events = 40) { arrival, socket ->
            if (arrival > 0) {
                socket.use { it.send("HTTP/1.1 503 Full\r\nRequest: r1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n") }
            }
            arrival > 0
        }
        servers.use { fixture ->
            fixture.allowRetries()
            val answer = fixture.askOverSocket("r1") {
                servers.awaitArrivals(1)
                servers.leave(fixture)
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..40).trimEnd()
        }
        // The most attempts to send one request.
        servers.arrived.size shouldBeLessThan 6
    }

    test("a stream stays at its server while the other one hangs, and goes on there once that sends events") {
        // More events than the first server sends before it is gone.
        val servers = Streamers(2, events = 75) { arrival, _ ->
            if (arrival == 1) Thread.sleep(LEFT_MILLIS / 2)
            false
        }
        servers.use { fixture ->
            fixture.allowRetries()
            val answer = fixture.askOverSocket("r1") {
                servers.awaitArrivals(1)
                servers.leave(fixture)
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..75).trimEnd()
        }
        servers.arrived shouldHaveSize 2
    }

    test("a stream that may not be resumed stays, and its cut is no crash of the server") {
        val servers = Streamers(2)
        servers.use(isResumable = false) { fixture ->
            fixture.allowRetries()
            fixture.askOverSocket("r1") {
                servers.awaitArrivals(1)
                servers.leave(fixture)
            } shouldNotEndWith LAST_CHUNK
            delay(NOTICE_MILLIS)
            fixture.received.filterIsInstance<PeerRequest.SuspectNotice>().shouldBeEmpty()
        }
        servers.arrived shouldHaveSize 1
    }

    test("a stream stays while the retry budget is used up") {
        val servers = Streamers(2, events = 40) { arrival, socket ->
            if (arrival % 2 == 0 && arrival < 6) {
                socket.sendHead("used${arrival / 2}", "Transfer-Encoding: chunked\r\n")
                socket.send(chunk(event(39)))
                Thread.sleep(ANSWER_PAUSE_MILLIS)
                socket.setSoLinger(true, 0)
                socket.close()
            }
            arrival % 2 == 0 && arrival < 6
        }
        servers.use { fixture ->
            repeat(3) { fixture.askOverSocket("used$it") shouldEndWith LAST_CHUNK }
            val answer = fixture.askOverSocket("r1") {
                servers.awaitArrivals(7)
                fixture.announceLeaving(mapOf(servers.arrived.last() to LEFT_MILLIS))
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..40).trimEnd()
        }
        servers.arrived shouldHaveSize 7
    }

    test("a request without a first event goes on at another server before its server is gone") {
        val servers = Streamers(2, events = 5) { arrival, _ ->
            if (arrival == 0) Thread.sleep(3 * LEFT_MILLIS)
            arrival == 0
        }
        // A target latency with which the server is slow only after its end.
        servers.use(targetLatencyMillis = 1_000) { fixture ->
            fixture.allowRetries()
            val startedAt = System.nanoTime()
            val answer = fixture.askOverSocket("r1") {
                servers.awaitArrivals(1)
                servers.leave(fixture)
            }
            answer shouldEndWith LAST_CHUNK
            wholeBody(answer) shouldBe events(1..5).trimEnd()
            (System.nanoTime() - startedAt) / 1_000_000 shouldBeLessThan LEFT_MILLIS - NOTICE_MILLIS
        }
    }
})
