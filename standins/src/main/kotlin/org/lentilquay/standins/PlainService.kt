/*
 * A stand-in for a plain service with bookings and deposits, whose POST calls must not be repeated, and device status.
 * Every effect is recorded under the `reference` of its request body, so that tests can count how often a call ran.
 * All times are milliseconds.
 */
package org.lentilquay.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.httpMethod
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.util.toMap
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull
import org.lentilquay.protocol.EngineErrorCodes
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.EngineState
import org.lentilquay.protocol.LoadReport
import org.lentilquay.standins.internal.Counters
import org.lentilquay.standins.internal.Incarnations
import org.lentilquay.standins.internal.Listener
import org.lentilquay.standins.internal.cutConnection
import org.lentilquay.standins.internal.monotonicMillis
import org.lentilquay.standins.internal.receiveJson
import org.lentilquay.standins.internal.refuse
import org.lentilquay.standins.internal.respondJson
import org.lentilquay.standins.internal.wireJson

/** A running plain service stand-in. */
interface PlainService : AutoCloseable {
    val port: Int

    /** Sets the switches that are present in [control]. */
    fun control(control: ServiceControl)

    /** The content of `GET /runs`; also available while the listener is closed. */
    fun runs(): ServiceRuns
    fun stop()
    override fun close() = stop()
}

/** Starts a plain service stand-in on the loopback address. */
fun plainService(options: ServiceOptions = ServiceOptions()): PlainService = RunningService(options)

@Serializable
private data class Booking(val reference: String, val path: String, val count: Int)

private data class Reply(val status: HttpStatusCode, val body: String) {
    companion object {
        inline fun <reified T> of(value: T, status: HttpStatusCode = HttpStatusCode.OK): Reply =
            Reply(status, wireJson.encodeToString(value))
    }
}

private class RunningService(private val options: ServiceOptions) : PlainService {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val listener = Listener(options.port) { routes() }
    private val counters = Counters()
    private val incarnations = Incarnations(options.coldMillis)
    private val runs = ArrayList<ServiceRun>()
    private val bookings = LinkedHashMap<String, Booking>()
    private var inFlight = 0
    private var switches = ServiceControl(delayMillis = 0, loseAnswers = 0, leaving = false)

    /** Completes when the current incarnation ends. */
    private var end = CompletableDeferred<Unit>()

    init {
        listener.open()
    }

    override val port: Int get() = listener.port

    @Synchronized
    override fun control(control: ServiceControl) {
        if (control.restart) {
            counters.count("restarts")
            endIncarnation()
        }
        switches = ServiceControl(
            delayMillis = control.delayMillis ?: switches.delayMillis,
            loseAnswers = control.loseAnswers ?: switches.loseAnswers,
            leaving = control.leaving ?: switches.leaving,
            retryAfter = control.retryAfter ?: switches.retryAfter,
        )
    }

    @Synchronized
    override fun runs(): ServiceRuns = ServiceRuns(
        incarnations.current,
        runs.toList(),
        bookings.mapValues { it.value.count },
        counters.snapshot(),
    )

    override fun stop() {
        scope.cancel()
        listener.close()
    }

    private fun Route.routes() {
        get("/load") { call.respondJson(report()) }
        get("/runs") { call.respondJson(runs()) }
        get("/counters") { call.respondJson(counters.snapshot()) }
        post("/control") {
            control(call.receiveJson())
            call.respondJson(emptyMap<String, String>())
        }
        get("/devices/{id}") {
            call.serve {
                record(null)
                Reply.of(mapOf("device" to call.parameters["id"].orEmpty(), "status" to "ready"))
            }
        }
        get("/{path...}") {
            call.serve {
                record(null)
                Reply.of(bookings(call.parameters.getAll("path").orEmpty()))
            }
        }
        post("/{path...}") { call.serve { book() } }
    }

    /** Applies the delay, the concurrency limits and the cold start to a call before [work] runs. */
    private suspend fun ApplicationCall.serve(work: suspend ApplicationCall.() -> Reply) {
        delay(synchronized(this@RunningService) { switches.delayMillis ?: 0 })
        request.header(EngineHeaders.REQUEST_ID)?.let { response.header(EngineHeaders.REQUEST_ID, it) }
        val (admission, endOfThis) = synchronized(this@RunningService) {
            response.header(EngineHeaders.INCARNATION, incarnations.current.toString())
            if (switches.leaving == true) response.header(EngineHeaders.LEAVING, "1")
            admit() to end
        }
        when (admission) {
            Admission.FELL_OVER -> cutConnection()
            Admission.OVERLOADED -> {
                val retryAfter = synchronized(this@RunningService) { switches.retryAfter }
                retryAfter?.takeIf { it.isNotEmpty() }?.let { response.header(HttpHeaders.RetryAfter, it) }
                refuse(HttpStatusCode.ServiceUnavailable, EngineErrorCodes.OVERLOADED)
            }
            Admission.ADMITTED -> {
                val reply = try {
                    work()
                } finally {
                    // Counted down before the response is sent, as its receiver may send the next call immediately.
                    synchronized(this@RunningService) { if (end === endOfThis) inFlight-- }
                }
                respondText(reply.body, ContentType.Application.Json, reply.status)
            }
        }
    }

    private fun admit(): Admission {
        val isCold = incarnations.isCold(monotonicMillis())
        if (isCold) counters.maximum("in_flight_while_cold", inFlight + 1)
        return when {
            isCold && inFlight >= options.coldInFlight -> {
                counters.count("fallen_over_cold")
                fallOver()
                Admission.FELL_OVER
            }
            inFlight >= options.maximumInFlight -> {
                counters.count("refused_overloaded")
                Admission.OVERLOADED
            }
            else -> {
                inFlight++
                counters.count("accepted")
                if (switches.leaving == true) counters.count("accepted_while_leaving")
                counters.maximum("in_flight", inFlight)
                Admission.ADMITTED
            }
        }
    }

    private suspend fun ApplicationCall.book(): Reply {
        val text = receiveText()
        val body = runCatching { wireJson.parseToJsonElement(text) as? JsonObject }.getOrNull()
        val reference = (body?.get("reference") as? JsonPrimitive)?.contentOrNull
            ?: return Reply(HttpStatusCode.BadRequest, wireJson.encodeToString(mapOf("error" to "reference_missing")))
        val (booking, isLost, endOfThis) = synchronized(this@RunningService) {
            record(reference)
            val count = (bookings[reference]?.count ?: 0) + 1
            val booking = Booking(reference, request.path(), count).also { bookings[reference] = it }
            Triple(booking, consumeAnswerLoss(), end)
        }
        if (options.crashMarker in text) crash()
        val isEnded = withTimeoutOrNull(options.workMillis) { endOfThis.await() } != null
        if (isLost || isEnded) cutConnection()
        return Reply.of(booking, HttpStatusCode.Created)
    }

    private fun ApplicationCall.record(reference: String?) = synchronized(this@RunningService) {
        runs += ServiceRun(
            requestId = request.header(EngineHeaders.REQUEST_ID),
            method = request.httpMethod.value,
            path = request.path(),
            reference = reference,
            headers = request.headers.toMap(),
            incarnation = incarnations.current,
        )
    }

    /** All bookings, or for a path of several segments the booking whose reference is the last segment. */
    @Synchronized
    private fun bookings(path: List<String>): List<Booking> =
        bookings.values.filter { path.size < 2 || it.reference == path.last() }

    @Synchronized
    private fun crash() {
        counters.count("crashes")
        fallOver()
    }

    private fun fallOver() {
        endIncarnation()
        if (options.downMillis > 0) listener.closeFor(options.downMillis, scope)
    }

    private fun consumeAnswerLoss(): Boolean {
        val left = switches.loseAnswers ?: 0
        if (left > 0) {
            switches = switches.copy(loseAnswers = left - 1)
            counters.count("answers_lost")
        }
        return left > 0
    }

    private fun endIncarnation() {
        incarnations.renew(monotonicMillis())
        inFlight = 0
        end.complete(Unit)
        end = CompletableDeferred()
    }

    @Synchronized
    private fun report() = LoadReport(
        incarnation = incarnations.current,
        asOfMillis = monotonicMillis(),
        state = when {
            switches.leaving == true -> EngineState.LEAVING
            incarnations.isCold(monotonicMillis()) -> EngineState.COLD
            else -> EngineState.WARM
        },
        slots = 0,
        loaded = emptyList(),
        running = mapOf("" to inFlight),
        maximumInFlight = options.maximumInFlight,
    )

    private enum class Admission { ADMITTED, OVERLOADED, FELL_OVER }
}
