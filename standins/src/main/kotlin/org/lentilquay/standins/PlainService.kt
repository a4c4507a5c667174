/*
 * A stand-in for a plain service: bookings, deposits and the like, whose POST calls must not be repeated, and device
 * status. Every effect is recorded under the `reference` of its body, so that tests can count how often a call ran.
 * All times are milliseconds.
 */
package org.lentilquay.standins

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.path
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
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
import kotlinx.serialization.SerialName
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

private const val WORK_MILLIS = 20L

/** Sizes and timing of a plain service. */
data class ServiceOptions(
    val port: Int = 0,
    val maximumInFlight: Int = 32,
    /** Requests in flight that a cold service bears. */
    val coldInFlight: Int = 4,
    val coldMillis: Long = 2_000,
    /** How long the listener is closed after the service fell over. */
    val downMillis: Long = 500,
    /** Time between the effect of a call and its answer. */
    val workMillis: Long = WORK_MILLIS,
)

/** Body of `POST /control` of a plain service; absent fields change nothing. */
@Serializable
data class ServiceControl(
    /** Restarts at once: requests in flight are cut, and the new incarnation is cold. Records are kept. */
    val restart: Boolean = false,
    @SerialName("delay_ms") val delayMillis: Long? = null,
    /** The next this many POST calls take effect, but their connections are cut in place of an answer. */
    @SerialName("lose_answers") val loseAnswers: Int? = null,
    val leaving: Boolean? = null,
)

/** One call that took effect. */
@Serializable
data class ServiceRun(
    @SerialName("request_id") val requestId: String?,
    val path: String,
    val reference: String,
    val headers: Map<String, List<String>>,
    val incarnation: Long,
)

/** Answer of `GET /runs` of a plain service. */
@Serializable
data class ServiceRuns(
    val incarnation: Long,
    val runs: List<ServiceRun>,
    @SerialName("by_reference") val byReference: Map<String, Int>,
    val counters: Map<String, Long>,
)

/** A running plain service stand-in. */
interface PlainService : AutoCloseable {
    val port: Int

    /** Sets the switches that are present in [control]. */
    fun control(control: ServiceControl)

    /** The answer of `GET /runs`, which can be had here while the listener is closed. */
    fun runs(): ServiceRuns
    fun stop()
    override fun close() = stop()
}

/** Starts a plain service stand-in on the loopback address. */
fun plainService(options: ServiceOptions = ServiceOptions()): PlainService = RunningService(options)

@Serializable
private data class Booking(val reference: String, val path: String, val count: Int)

private class RunningService(private val options: ServiceOptions) : PlainService {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val listener = Listener(options.port) { routes() }
    private val counters = Counters()
    private val incarnations = Incarnations(options.coldMillis)
    private val runs = ArrayList<ServiceRun>()
    private var inFlight = 0
    private var switches = ServiceControl(delayMillis = 0, loseAnswers = 0, leaving = false)

    /** Completes when the present incarnation ends. */
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
        )
    }

    @Synchronized
    override fun runs(): ServiceRuns = ServiceRuns(
        incarnations.current,
        runs.toList(),
        runs.groupingBy { it.reference }.eachCount(),
        counters.snapshot(),
    )

    override fun stop() {
        scope.cancel()
        listener.close()
    }

    private fun Route.routes() {
        get("/load") { call.respondJson(report()) }
        get("/runs") { call.respondJson(runs()) }
        post("/control") {
            control(call.receiveJson())
            call.respondJson(emptyMap<String, String>())
        }
        get("/devices/{id}") {
            call.serve { call.respondJson(mapOf("device" to call.parameters["id"].orEmpty(), "status" to "ready")) }
        }
        get("/{path...}") { call.serve { call.respondJson(bookings(call.parameters.getAll("path").orEmpty())) } }
        post("/{path...}") { call.serve { call.book() } }
    }

    /** Applies delay, limits and cold start to a call before [answer] runs. */
    private suspend fun ApplicationCall.serve(answer: suspend () -> Unit) {
        delay(synchronized(this@RunningService) { switches.delayMillis ?: 0 })
        request.header(EngineHeaders.REQUEST_ID)?.let { response.header(EngineHeaders.REQUEST_ID, it) }
        val (admission, endOfThis) = synchronized(this@RunningService) {
            response.header(EngineHeaders.INCARNATION, incarnations.current.toString())
            admit() to end
        }
        when (admission) {
            Admission.FELL_OVER -> cutConnection()
            Admission.OVERLOADED -> refuse(HttpStatusCode.ServiceUnavailable, EngineErrorCodes.OVERLOADED)
            Admission.ADMITTED -> try {
                answer()
            } finally {
                synchronized(this@RunningService) { if (end === endOfThis) inFlight-- }
            }
        }
    }

    private fun admit(): Admission {
        val isCold = incarnations.isCold(monotonicMillis())
        if (isCold) counters.maximum("in_flight_while_cold", inFlight + 1)
        return when {
            isCold && inFlight >= options.coldInFlight -> {
                counters.count("fallen_over_cold")
                endIncarnation()
                if (options.downMillis > 0) listener.closeFor(options.downMillis, scope)
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

    private suspend fun ApplicationCall.book() {
        val body = runCatching { wireJson.parseToJsonElement(receiveText()) as? JsonObject }.getOrNull()
        val reference = (body?.get("reference") as? JsonPrimitive)?.contentOrNull
            ?: return refuse(HttpStatusCode.BadRequest, "reference_missing")
        val (loses, endOfThis) = synchronized(this@RunningService) {
            runs += ServiceRun(
                request.header(EngineHeaders.REQUEST_ID),
                request.path(),
                reference,
                request.headers.toMap(),
                incarnations.current,
            )
            takeLostAnswer() to end
        }
        val isEnded = withTimeoutOrNull(options.workMillis) { endOfThis.await() } != null
        if (loses || isEnded) cutConnection()
        val count = synchronized(this@RunningService) { runs.count { it.reference == reference } }
        respondJson(Booking(reference, request.path(), count), HttpStatusCode.Created)
    }

    @Synchronized
    private fun bookings(path: List<String>): List<Booking> = runs
        .groupBy { it.reference }
        .filterKeys { path.size < 2 || it == path.last() }
        .map { (reference, calls) -> Booking(reference, calls.first().path, calls.size) }

    private fun takeLostAnswer(): Boolean {
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
