/*
 * The HTTP routes of the administration listener: plans, confirmations, audit trail, status, explanations,
 * configuration, health, readiness and metrics. Operators authenticate with a bearer token; the settings contain its
 * hash. Health, readiness and metrics need no token.
 */
package org.lentilquay.daemon.administration

import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import io.ktor.server.request.header
import io.ktor.server.response.respondText
import io.ktor.server.routing.Route
import io.ktor.server.routing.get
import io.ktor.server.routing.post
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.lentilquay.coordination.configuration.sha256Of
import org.lentilquay.daemon.metrics.Metrics
import org.lentilquay.daemon.requests.readBody
import org.lentilquay.daemon.requests.respondFailure
import org.lentilquay.daemon.settings.OperatorSettings
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.Explanation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.Configuration
import org.lentilquay.state.ErrorKind
import org.lentilquay.state.Failure
import org.lentilquay.state.Outcome
import org.lentilquay.state.RouteId
import org.lentilquay.state.failed
import java.security.MessageDigest

/** Installs the HTTP routes of the administration listener. */
fun Route.administrationRoutes(
    actions: AdministrationActions,
    operators: List<OperatorSettings>,
    metrics: Metrics,
) {
    get("/health") { call.respondText("ok\n") }
    get("/ready") {
        if (actions.isReady()) {
            call.respondText("ready\n")
        } else {
            call.respondText("not ready\n", status = HttpStatusCode.ServiceUnavailable)
        }
    }
    get("/metrics") { call.respondText(metrics.text(), ContentType.parse(Metrics.CONTENT_TYPE)) }
    val api = AuthenticatedApi(actions, operators)
    post("/admin/v1/plans") { api.plan(call) }
    post("/admin/v1/plans/confirm") { api.confirm(call) }
    get("/admin/v1/audit") { api.audit(call) }
    get("/admin/v1/status") { api.status(call) }
    get("/admin/v1/explain") { api.explain(call) }
    get("/admin/v1/configuration") { api.configuration(call) }
}

private class AuthenticatedApi(
    private val actions: AdministrationActions,
    private val operators: List<OperatorSettings>,
) {
    suspend fun plan(call: ApplicationCall) = withOperator(call) { operator ->
        answer(call, Plan.serializer(), body(call, PlanRequest.serializer()).then { actions.plan(it, operator) })
    }

    suspend fun confirm(call: ApplicationCall) = withOperator(call) { operator ->
        answer(call, Confirmation.serializer(), body(call, Plan.serializer()).then { actions.confirm(it, operator) })
    }

    suspend fun audit(call: ApplicationCall) = withOperator(call) {
        val after = call.request.queryParameters["after"]?.toLongOrNull() ?: 0
        val limit = call.request.queryParameters["limit"]?.toIntOrNull() ?: DEFAULT_AUDIT_ENTRIES
        val entries = actions.audit(after, limit.coerceIn(1, MAXIMUM_AUDIT_ENTRIES))
        answer(call, ListSerializer(ConfigurationLogEntry.serializer()), entries)
    }

    suspend fun status(call: ApplicationCall) = withOperator(call) {
        answer(call, StatusReport.serializer(), Outcome.Success(actions.status()))
    }

    suspend fun explain(call: ApplicationCall) = withOperator(call) {
        val route = RouteId(call.request.queryParameters["route"].orEmpty())
        answer(call, Explanation.serializer(), actions.explain(route))
    }

    suspend fun configuration(call: ApplicationCall) = withOperator(call) {
        answer(call, Configuration.serializer(), Outcome.Success(actions.configuration()))
    }

    private suspend fun withOperator(call: ApplicationCall, action: suspend (operator: String) -> Unit) {
        val token = call.request.header(HttpHeaders.Authorization)?.removePrefix("Bearer ")?.trim()
        val hash = token?.let(::sha256Of)?.encodeToByteArray()
        val operator = operators.firstOrNull {
            hash != null && MessageDigest.isEqual(hash, it.tokenSha256.lowercase().encodeToByteArray())
        }
        if (operator == null) {
            call.respondFailure(Failure(ErrorKind.KEY_INVALID, "the operator token is missing or unknown"))
        } else {
            action(operator.name)
        }
    }

    private suspend fun <T> body(call: ApplicationCall, serializer: KSerializer<T>): Outcome<T> {
        val bytes = when (val read = call.readBody(MAXIMUM_PLAN_BYTES)) {
            is Outcome.Failed -> return read
            is Outcome.Success -> read.value
        }
        return try {
            Outcome.Success(json.decodeFromString(serializer, bytes.decodeToString()))
        } catch (error: SerializationException) {
            failed(ErrorKind.MALFORMED_REQUEST, "the body is not valid: ${error.message?.lineSequence()?.first()}")
        }
    }

    private suspend fun <T> answer(call: ApplicationCall, serializer: KSerializer<T>, outcome: Outcome<T>) =
        when (outcome) {
            is Outcome.Failed -> call.respondFailure(outcome.failure)
            is Outcome.Success ->
                call.respondText(json.encodeToString(serializer, outcome.value), ContentType.Application.Json)
        }
}

private suspend fun <T, R> Outcome<T>.then(next: suspend (T) -> Outcome<R>): Outcome<R> = when (this) {
    is Outcome.Failed -> this
    is Outcome.Success -> next(value)
}

private val json = Json { encodeDefaults = true }

/** Longest body of a request to the administration listener; enough for a plan with several thousand adapters. */
internal const val MAXIMUM_PLAN_BYTES = 16 shl 20
private const val DEFAULT_AUDIT_ENTRIES = 100
private const val MAXIMUM_AUDIT_ENTRIES = 1_000
