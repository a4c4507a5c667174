/*
 * Handles one inference request: checks access, adapter version, quarantine and tokens, then runs it and either streams
 * the response to the caller or assembles it.
 */
package org.lentilquay.daemon.requests

import io.ktor.http.ContentType
import io.ktor.server.response.respondBytesWriter
import io.ktor.server.response.respondText
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeStringUtf8
import kotlinx.coroutines.NonCancellable
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import org.lentilquay.coordination.configuration.AccessDecision
import org.lentilquay.coordination.configuration.AccessView
import org.lentilquay.coordination.configuration.FreshnessState
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Configuration
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.RouteTarget
import org.lentilquay.state.failed
import java.util.UUID

/** A consistent view of the configuration, of the access rights in it, and of how far it is confirmed as current. */
data class ConfigurationView(
    val configuration: Configuration,
    val access: AccessView,
    val freshness: FreshnessState,
)

class InferenceHandler(
    private val view: () -> ConfigurationView,
    private val quota: Quota,
    private val dependencies: InferenceDependencies,
    private val activeCalls: ActiveCalls,
    private val metrics: RequestMetrics,
) {
    suspend fun handle(form: InferenceForm, received: CallerRequest) {
        val startedAt = dependencies.now()
        val request = when (val read = readInferenceRequest(form, received.body)) {
            is Outcome.Failed -> return refuse(received, read.failure)
            is Outcome.Success -> read.value
        }
        val now = view()
        val allowed = when (
            val verdict = now.access.authorize(RouteId(request.routeName), received.presentedKey, now.freshness)
        ) {
            is AccessDecision.Allowed -> verdict
            is AccessDecision.Refused -> return refuse(received, verdict.failure)
        }
        val activeCall = activeCalls.begin(allowed.key)
        try {
            when (val admitted = admit(request, allowed, now.configuration)) {
                is Outcome.Failed -> refuse(received, admitted.failure)
                is Outcome.Success -> run(received, admitted.value, activeCall, startedAt)
            }
        } finally {
            activeCalls.end(activeCall)
        }
    }

    /** Lists the adapter routes that the caller may use, in the form of the OpenAI API. */
    suspend fun listModels(received: CallerRequest) {
        val now = view()
        val names = now.configuration.routes.values
            .filter { it.target is RouteTarget.AdapterTarget }
            .filter { now.access.authorize(it.id, received.presentedKey, now.freshness) is AccessDecision.Allowed }
            .map { it.id.text }
            .sorted()
        val answer = buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                names.forEach { name ->
                    addJsonObject {
                        put("id", name)
                        put("object", "model")
                    }
                }
            }
        }
        received.call.respondText(answer.toString(), ContentType.Application.Json)
    }

    private suspend fun admit(
        request: InferenceRequest,
        allowed: AccessDecision.Allowed,
        configuration: Configuration,
    ): Outcome<AdmittedInference> {
        val adapter = when (val chosen = chooseAdapter(request, allowed.route.target, configuration)) {
            is Outcome.Failed -> return chosen
            is Outcome.Success -> chosen.value
        }
        val baseModel = configuration.adapters.getValue(adapter.adapter).baseModel
        val fingerprint = request.fingerprint(allowed.team.text)
        val quarantine = dependencies.suspects.quarantineStatus(fingerprint)
        if (quarantine == QuarantineStatus.QUARANTINED) {
            return failed(
                ErrorKind.REQUEST_QUARANTINED,
                "the request is quarantined because backend servers failed while they ran it",
            )
        }
        val tokens = request.estimatedTokens(allowed.route.defaultMaximumTokens)
        val requestId = "req-${UUID.randomUUID()}"
        return when (val taken = quota.admit(allowed.team, requestId, tokens)) {
            is Outcome.Failed -> taken
            is Outcome.Success -> Outcome.Success(
                AdmittedInference(
                    requestId = requestId,
                    request = request,
                    route = allowed.route,
                    team = allowed.team,
                    baseModel = baseModel,
                    adapter = adapter,
                    fingerprint = fingerprint,
                    isSuspect = quarantine == QuarantineStatus.SUSPECT,
                    charge = taken.value,
                ),
            )
        }
    }

    private suspend fun run(
        received: CallerRequest,
        admitted: AdmittedInference,
        activeCall: ActiveCall,
        startedAt: Long,
    ) {
        val run = InferenceRun(admitted, dependencies, activeCall, metrics)
        var hasEnded = false
        try {
            val first = run.next()
            if (first is RunEvent.Part) metrics.firstToken(dependencies.now() - startedAt)
            val last = when {
                first is RunEvent.Failed -> first
                admitted.request.stream -> streamToCaller(received, run, first)
                else -> assemble(received, admitted, run, first)
            }
            hasEnded = true
            when (last) {
                is RunEvent.Failed -> refuse(received, last.failure)
                else -> metrics.finished(run.usage, run.loadWaitMillis, dependencies.now() - startedAt)
            }
        } finally {
            withContext(NonCancellable) {
                if (!hasEnded) run.cancel()
                quota.settle(admitted.charge, if (run.mayHaveStarted) run.usage.totalTokens else 0)
            }
        }
    }

    /** Streams the events to the caller as they arrive; returns the last one. */
    private suspend fun streamToCaller(received: CallerRequest, run: InferenceRun, first: RunEvent): RunEvent {
        var event = first
        received.call.respondBytesWriter(ContentType.Text.EventStream) {
            while (event is RunEvent.Part) {
                writeEvent((event as RunEvent.Part).data)
                event = run.next()
            }
            when (val last = event) {
                is RunEvent.Failed -> writeStringUtf8(last.failure.streamEvent())
                else -> writeEvent("[DONE]")
            }
            flush()
        }
        return event
    }

    private suspend fun ByteWriteChannel.writeEvent(data: String) {
        writeStringUtf8("data: $data\n\n")
        flush()
    }

    /** Assembles the events into one response; returns the last event. */
    private suspend fun assemble(
        received: CallerRequest,
        admitted: AdmittedInference,
        run: InferenceRun,
        first: RunEvent,
    ): RunEvent {
        val assembler = CompletionAssembler(admitted.request.form, admitted.requestId, admitted.adapter.engineName)
        var event = first
        while (event is RunEvent.Part) {
            assembler.add(event.chunk)
            event = run.next()
        }
        if (event is RunEvent.Done) {
            val seconds = System.currentTimeMillis() / MILLIS_PER_SECOND
            received.call.respondText(assembler.toJson(seconds).toString(), ContentType.Application.Json)
        }
        return event
    }

    /** Counts the failure, and responds with it unless a response has been started. */
    private suspend fun refuse(received: CallerRequest, failure: Failure) {
        metrics.failed(failure.kind)
        if (!received.call.response.isCommitted) received.call.respondFailure(failure)
    }
}

private fun chooseAdapter(
    request: InferenceRequest,
    target: RouteTarget,
    configuration: Configuration,
): Outcome<AdapterVersion> {
    if (target !is RouteTarget.AdapterTarget) {
        return failed(
            ErrorKind.MODEL_UNKNOWN,
            "route ${request.routeName} leads to a service; call /services/${request.routeName}/",
        )
    }
    val adapter = configuration.adapters[target.adapter]
        ?: return failed(ErrorKind.MODEL_UNKNOWN, "adapter ${target.adapter} does not exist")
    val pinned = target.version
    val version = request.version ?: pinned ?: adapter.current
    val isOffered = version in adapter.versions && (pinned == null || pinned == version)
    return if (isOffered) {
        Outcome.Success(AdapterVersion(adapter.name, version))
    } else {
        failed(ErrorKind.MODEL_UNKNOWN, "route ${request.routeName} does not offer version $version")
    }
}

private const val MILLIS_PER_SECOND = 1000L
