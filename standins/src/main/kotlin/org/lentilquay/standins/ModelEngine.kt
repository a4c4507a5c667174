/*
 * HTTP interface of the model engine stand-in, which serves LoRA adapters behind an OpenAI-compatible API. Interface:
 * docs/design.md, section 5.2, with the fields of chat and text completion that published engines have.
 */
package org.lentilquay.standins

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.request.receiveText
import io.ktor.server.response.header
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import io.ktor.util.toMap
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.first
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.lentilquay.protocol.CancelOrder
import org.lentilquay.protocol.EngineErrorCodes
import org.lentilquay.protocol.EngineHeaders
import org.lentilquay.protocol.LoadAdapterOrder
import org.lentilquay.protocol.ResumeOrder
import org.lentilquay.protocol.UnloadAdapterOrder
import org.lentilquay.standins.internal.Acceptance
import org.lentilquay.standins.internal.EngineCore
import org.lentilquay.standins.internal.Listener
import org.lentilquay.standins.internal.LoadResult
import org.lentilquay.standins.internal.Run
import org.lentilquay.standins.internal.chunk
import org.lentilquay.standins.internal.completeAnswer
import org.lentilquay.standins.internal.cutConnection
import org.lentilquay.standins.internal.inferenceRequest
import org.lentilquay.standins.internal.receiveJson
import org.lentilquay.standins.internal.refuse
import org.lentilquay.standins.internal.respondJson

private const val RUN_UNKNOWN = "run_unknown"

/** A running model engine stand-in. */
interface ModelEngine : AutoCloseable {
    val port: Int

    /** Sets the switches that are present in [control]. */
    fun control(control: EngineControl)

    /** The content of `GET /runs`; also available while the listener is closed. */
    fun runs(): EngineRuns
    fun stop()
    override fun close() = stop()
}

/** Starts a model engine stand-in on the loopback address. */
fun modelEngine(options: EngineOptions = EngineOptions()): ModelEngine = RunningEngine(options)

@Serializable
private data class RoleOrder(val role: String)

@Serializable
private data class ClaimAnswer(val incarnation: Long, @SerialName("fencing_token") val fencingToken: Long)

@Serializable
private data class ModelList(val data: List<ModelEntry>)

@Serializable
private data class ModelEntry(val id: String)

private class RunningEngine(options: EngineOptions) : ModelEngine {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val listener = Listener(options.port) { routes() }
    private val core = EngineCore(options, scope) { listener.closeFor(it, scope) }

    init {
        listener.open()
    }

    override val port: Int get() = listener.port

    override fun control(control: EngineControl) = core.control(control)

    override fun runs(): EngineRuns = core.runs()

    override fun stop() {
        scope.cancel()
        listener.close()
        core.close()
    }

    private fun Route.routes() {
        post("/v1/chat/completions") { call.infer(isChat = true) }
        post("/v1/completions") { call.infer(isChat = false) }
        post("/v1/resume") { call.resume() }
        post("/v1/cancel") {
            call.respondResult(core.cancel(call.receiveJson<CancelOrder>().requestId), RUN_UNKNOWN)
        }
        orderRoutes()
        get("/load") { call.respondJson(core.laggingReport()) }
        get("/cache_events") {
            call.respondJson(core.cacheEvents(call.request.queryParameters["after"]?.toLong() ?: 0))
        }
        get("/v1/models") { call.respondJson(ModelList(core.models.map(::ModelEntry))) }
        get("/runs") { call.respondJson(runs()) }
        get("/counters") { call.respondJson(core.counts()) }
        post("/control") {
            control(call.receiveJson())
            call.respondJson(emptyMap<String, String>())
        }
    }

    private fun Route.orderRoutes() {
        post("/v1/load_lora_adapter") {
            call.order("load") {
                when (core.load(call.receiveJson<LoadAdapterOrder>())) {
                    LoadResult.LOADED -> call.respondResult(true, "")
                    LoadResult.FAILED -> call.refuse(HttpStatusCode.InternalServerError, EngineErrorCodes.LOAD_FAILED)
                    LoadResult.NO_FREE_SLOT -> call.refuse(HttpStatusCode.BadRequest, EngineErrorCodes.NO_FREE_SLOT)
                    LoadResult.ENGINE_RESTARTED -> cutConnection()
                }
            }
        }
        post("/v1/unload_lora_adapter") {
            call.order("unload") {
                val name = call.receiveJson<UnloadAdapterOrder>().name
                call.respondResult(core.unload(name), EngineErrorCodes.ADAPTER_NOT_LOADED)
            }
        }
        post("/v1/role") {
            call.order("role") {
                call.receiveJson<RoleOrder>()
                call.respondResult(true, "")
            }
        }
        post("/v1/claim") {
            call.order("claim") { call.respondJson(ClaimAnswer(core.incarnation, core.highestFence)) }
        }
    }

    private suspend fun ApplicationCall.order(kind: String, effect: suspend () -> Unit) {
        delay(core.delayMillis)
        val isAdmitted = core.admitOrder(kind, request.header(EngineHeaders.FENCING_TOKEN)?.toLongOrNull() ?: 0)
        response.header(EngineHeaders.ENGINE_TIME, core.engineTime.toString())
        response.header(EngineHeaders.INCARNATION, core.incarnation.toString())
        if (isAdmitted) effect() else refuse(HttpStatusCode.Conflict, EngineErrorCodes.STALE_FENCE)
    }

    private suspend fun ApplicationCall.respondResult(isDone: Boolean, refusal: String) =
        if (isDone) respondJson(mapOf("status" to "done")) else refuse(HttpStatusCode.NotFound, refusal)

    private suspend fun ApplicationCall.infer(isChat: Boolean) {
        delay(core.delayMillis)
        val id = request.header(EngineHeaders.REQUEST_ID)
        val inference = try {
            inferenceRequest(receiveText(), isChat, id, request.headers.toMap())
        } catch (failure: IllegalArgumentException) {
            return refuse(HttpStatusCode.BadRequest, "malformed_request", failure.message.orEmpty())
        }
        when (val acceptance = core.accept(inference)) {
            is Acceptance.Accepted -> {
                if (core.consumeAnswerLoss()) cutConnection()
                answer(acceptance.run, inference.fromIndex, inference.isStream)
            }
            is Acceptance.Refused -> {
                stamp(inference.id, inference.model, core.incarnation)
                val isFull = acceptance.code == EngineErrorCodes.OVERLOADED
                core.retryAfter?.takeIf { isFull }?.let { response.header(HttpHeaders.RetryAfter, it) }
                refuse(acceptance.status, acceptance.code)
            }
            Acceptance.FellOver -> cutConnection()
        }
    }

    private suspend fun ApplicationCall.resume() {
        val order = receiveJson<ResumeOrder>()
        core.count("orders_resume")
        val run = core.attach(order.requestId) ?: return refuse(HttpStatusCode.NotFound, RUN_UNKNOWN)
        answer(run, order.fromIndex, isStream = true)
    }

    /** Sends the response headers immediately, and then the output of the run as it is generated. */
    private suspend fun ApplicationCall.answer(run: Run, fromIndex: Int, isStream: Boolean) {
        var isComplete = false
        try {
            stamp(run.identity.requestId, run.identity.model, run.incarnation)
            val type = if (isStream) ContentType.Text.EventStream else ContentType.Application.Json
            respondBytesWriter(type) {
                flush()
                if (isStream) stream(run, fromIndex) else writeStringUtf8(run.awaitCompleteAnswer())
                flush()
            }
            isComplete = true
        } finally {
            core.detach(run, isComplete)
        }
    }

    private fun ApplicationCall.stamp(requestId: String, model: String, incarnation: Long) {
        response.header(EngineHeaders.REQUEST_ID, requestId)
        response.header(EngineHeaders.SERVED_MODEL, model)
        response.header(EngineHeaders.INCARNATION, incarnation.toString())
        response.header(EngineHeaders.ENGINE_TIME, core.engineTime.toString())
        if (core.isLeaving) response.header(EngineHeaders.LEAVING, "1")
    }
}

private suspend fun Run.awaitCompleteAnswer(): String = when (progress.first { it.stage.isOver }.stage) {
    RunStage.FINISHED -> completeAnswer()
    else -> cutConnection()
}

private suspend fun ByteWriteChannel.stream(run: Run, fromIndex: Int) {
    var next = fromIndex
    do {
        val progress = run.progress.first { it.end > next || it.stage.isOver }
        while (next < progress.end) {
            writeStringUtf8("data: ${run.chunk(next, isLast = next == run.totalTokens - 1)}\n\n")
            next++
        }
        flush()
    } while (!progress.stage.isOver)
    if (run.stage != RunStage.FINISHED) cutConnection()
    // A client that resumes after the last token still needs the finish reason and the usage.
    if (fromIndex >= run.totalTokens) writeStringUtf8("data: ${run.chunk(fromIndex, isLast = true)}\n\n")
    writeStringUtf8("data: [DONE]\n\n")
}
