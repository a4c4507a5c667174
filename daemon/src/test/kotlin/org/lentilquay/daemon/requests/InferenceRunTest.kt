package org.lentilquay.daemon.requests

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.quota.Charge
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.Route
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import org.lentilquay.transport.engine.EngineClient
import org.lentilquay.transport.http.AnswerNotice
import org.lentilquay.transport.http.RequestedPause
import org.lentilquay.transport.http.ScriptedServer
import org.lentilquay.transport.http.answer
import org.lentilquay.transport.http.answering
import org.lentilquay.transport.http.closedAddress
import org.lentilquay.transport.http.write

private val adapter = AdapterVersion("stove", 3)

/** Grants a slot at each of [addresses] in turn, and then none. */
internal class GrantingReservations(
    private val addresses: List<String>,
    private val incarnation: Long? = null,
    /** The numbers of the reservations for which no slot is free. */
    private val withoutSlot: IntRange = IntRange.EMPTY,
) : ReservationClient {
    private var next = 0
    val outcomes = ArrayList<RunOutcome>()
    val notices = ArrayList<Pair<ServerId, AnswerNotice>>()

    override suspend fun reserve(request: ReservationRequest): Outcome<Reservation> {
        val number = next++
        if (number >= addresses.size || number in withoutSlot) {
            return Outcome.Failed(Failure(ErrorKind.NO_CAPACITY, "no free slot"))
        }
        val reservation = Reservation(
            attemptId = request.attemptId,
            server = ServerId("e$number"),
            address = addresses[number],
            fence = 1,
            adapter = adapter,
            waitedForLoad = false,
            dispatchDeadline = 1_000,
            incarnation = incarnation,
        )
        return Outcome.Success(reservation)
    }

    override fun progress(reservation: Reservation, incarnation: Long?) = Unit

    override fun noticed(reservation: Reservation, incarnation: Long?, notice: AnswerNotice) {
        notices += reservation.server to notice
    }

    override fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?) {
        outcomes += outcome
    }
}

/** Never grants a reservation; [isAsked] is completed by the first request. */
private class PendingReservations : ReservationClient {
    val isAsked = CompletableDeferred<Unit>()

    override suspend fun reserve(request: ReservationRequest): Outcome<Reservation> {
        isAsked.complete(Unit)
        awaitCancellation()
    }

    override fun progress(reservation: Reservation, incarnation: Long?) = Unit

    override fun noticed(reservation: Reservation, incarnation: Long?, notice: AnswerNotice) = Unit

    override fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?) = Unit
}

internal object NoCrashes : SuspectRequests {
    override suspend fun quarantineStatus(fingerprint: String) = QuarantineStatus.CLEAR

    override suspend fun serverLost(reservation: Reservation, incarnation: Long?, fingerprint: String) = Unit
}

internal class CountedCrashes : SuspectRequests {
    var count = 0

    override suspend fun quarantineStatus(fingerprint: String) = QuarantineStatus.CLEAR

    override suspend fun serverLost(reservation: Reservation, incarnation: Long?, fingerprint: String) {
        count++
    }
}

/** Closes the connections of runs without a response, and reports incarnation 7. */
private fun losingEngine() = ScriptedServer { request, socket ->
    if (request.head.startsWith("GET")) {
        val report = LoadReport(7, 1, EngineState.WARM, 2, emptyList(), emptyMap(), 8)
        socket.answer(200, Json.encodeToString(report))
    }
}

private fun refusal(code: String) = """{"error":{"message":"m","type":"t","code":"$code"}}"""

/** Answers each run with two chunks that carry its request id. */
private fun engine() = ScriptedServer { request, socket ->
    val id = Regex("(?i)x-request-id: (\\S+)").find(request.head)?.groupValues?.get(1)
    val chunks = (0..1).joinToString("") {
        """data: {"id":"$id","index":$it,"model":"stove@3","choices":[{"index":0,"delta":{"content":"w"}}]}""" + "\n\n"
    }
    val body = chunks + "data: [DONE]\n\n"
    val length = body.length + body.count { it == '\n' }
    socket.write(
        "HTTP/1.1 200 OK\nContent-Type: text/event-stream\nX-Request-Id: $id\nContent-Length: $length\n\n$body",
    )
}

internal fun admitted(): AdmittedInference {
    val body = """{"model":"stove","messages":[{"role":"user","content":"hello"}]}"""
    val read = readInferenceRequest(InferenceForm.CHAT, body.encodeToByteArray())
    return AdmittedInference(
        requestId = "r",
        request = (read as Outcome.Success).value,
        route = Route(RouteId("stove"), RouteTarget.AdapterTarget("stove")),
        team = TeamId("t"),
        baseModel = "llama",
        adapter = adapter,
        fingerprint = "f",
        isSuspect = false,
        charge = Charge(TeamId("t"), 1, 10),
    )
}

/** Guards against retries that the metrics attribute to the wrong reason. */
class InferenceRunTest : FunSpec({
    test("each retry is counted with its reason, and each further chunk with the gap before it") {
        val servers = listOf(
            answering(404, refusal("adapter_not_loaded")),
            answering(503, refusal("engine_overloaded")),
            engine(),
        )
        val reservations = GrantingReservations(listOf(closedAddress()) + servers.map { it.address })
        val metrics = Metrics()
        EngineClient().use { engines ->
            val dependencies = InferenceDependencies(reservations, engines, NoCrashes) { 0 }
            val run = InferenceRun(admitted(), dependencies, ActiveCalls().begin(null), RequestMetricsRecorder(metrics))
            repeat(2) { run.next().shouldBeInstanceOf<RunEvent.Part>() }
            run.next() shouldBe RunEvent.Done
        }
        servers.forEach { it.close() }
        val text = metrics.text()
        text.lines().filter { it.startsWith("lentilquay_retries_total") } shouldContainExactlyInAnyOrder
            listOf("not_connected", "adapter_missing", "server_overloaded")
                .map { "lentilquay_retries_total{reason=\"$it\"} 1.0" }
        text shouldContain "lentilquay_token_gap_seconds_count 1"
        reservations.outcomes shouldContainExactly listOf(
            RunOutcome.CONNECTION_LOST,
            RunOutcome.ADAPTER_MISSING,
            RunOutcome.SERVER_OVERLOADED,
            RunOutcome.COMPLETED,
        )
    }

    // The owner learned that a server leaves from its next report only, and nothing of a pause.
    test("what the answers say of their servers is reported to the owners") {
        val servers = listOf(
            answering(503, refusal("engine_overloaded"), "Retry-After: 2\n"),
            answering(404, refusal("adapter_not_loaded"), "X-Leaving: 1\n"),
            engine(),
        )
        val reservations = GrantingReservations(servers.map { it.address })
        EngineClient().use { engines ->
            val dependencies = InferenceDependencies(reservations, engines, NoCrashes) { 0 }
            val call = ActiveCalls().begin(null)
            InferenceRun(admitted(), dependencies, call, RequestMetricsRecorder(Metrics())).next()
        }
        servers.forEach { it.close() }
        reservations.notices shouldContainExactly listOf(
            ServerId("e0") to AnswerNotice(false, RequestedPause(2_000, "2", isReadable = true)),
            ServerId("e1") to AnswerNotice(true, pause = null),
        )
    }

    // Guards against quarantining requests that only lost a connection, and against missing those that crash a server.
    mapOf(7L to 0, 6L to 1, null to 1).forEach { (granted, crashes) ->
        test("with incarnation $granted reserved and incarnation 7 answering, a lost run counts as $crashes crashes") {
            val (lossy, whole) = losingEngine() to engine()
            val suspects = CountedCrashes()
            EngineClient().use { engines ->
                val dependencies = InferenceDependencies(
                    GrantingReservations(listOf(lossy.address, whole.address), granted),
                    engines,
                    suspects,
                ) { 0 }
                val run = InferenceRun(
                    admitted(),
                    dependencies,
                    ActiveCalls().begin(null),
                    RequestMetricsRecorder(Metrics()),
                )
                run.next().shouldBeInstanceOf<RunEvent.Part>()
            }
            suspects.count shouldBe crashes
            listOf(lossy, whole).forEach { it.close() }
        }
    }

    // Guards against requests with a withdrawn key that keep waiting and then fail with no_capacity.
    test("a call that is aborted while it waits for a reservation fails at once with the abort reason") {
        val reservations = PendingReservations()
        val call = ActiveCalls().begin(null)
        EngineClient().use { engines ->
            val dependencies = InferenceDependencies(reservations, engines, NoCrashes) { 0 }
            val run = InferenceRun(admitted(), dependencies, call, RequestMetricsRecorder(Metrics()))
            val event = async { run.next() }
            reservations.isAsked.await()
            call.abort(Failure(ErrorKind.KEY_WITHDRAWN, "the key was withdrawn"))
            event.await() shouldBe RunEvent.Failed(Failure(ErrorKind.KEY_INVALID, "the key was withdrawn"))
        }
    }
})
