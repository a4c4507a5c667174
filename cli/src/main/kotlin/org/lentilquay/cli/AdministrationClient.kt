/*
 * The HTTP client of the administration API. Results are sealed types; a refusal carries the code and message of the
 * error body.
 */
package org.lentilquay.cli

import io.ktor.client.HttpClient
import io.ktor.client.engine.cio.CIO
import io.ktor.client.request.HttpRequestBuilder
import io.ktor.client.request.header
import io.ktor.client.request.request
import io.ktor.client.request.setBody
import io.ktor.client.statement.bodyAsText
import io.ktor.http.ContentType
import io.ktor.http.HttpHeaders
import io.ktor.http.HttpMethod
import io.ktor.http.contentType
import io.ktor.http.encodeURLParameter
import io.ktor.http.isSuccess
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.builtins.ListSerializer
import kotlinx.serialization.json.Json
import org.lentilquay.protocol.ConfigurationLogEntry
import org.lentilquay.protocol.Confirmation
import org.lentilquay.protocol.ErrorBody
import org.lentilquay.protocol.Explanation
import org.lentilquay.protocol.Plan
import org.lentilquay.protocol.PlanRequest
import org.lentilquay.protocol.StatusReport
import org.lentilquay.state.Configuration
import org.lentilquay.state.ConfigurationChange
import java.io.IOException

/** The result of a call to the administration API. */
sealed interface AdministrationAnswer<out T> {
    data class Success<T>(val value: T) : AdministrationAnswer<T>

    /** The VM answered with an error, or with a body that cannot be parsed. */
    data class Refused(val code: String, val message: String) : AdministrationAnswer<Nothing>

    /** There was no response within the timeout. */
    data class Unreachable(val reason: String) : AdministrationAnswer<Nothing>
}

/** Calls the administration listener at [address], given as `ip:port`, with the operator's [token]. Calls block. */
class AdministrationClient(val address: String, private val token: String?) {
    private val json = Json { ignoreUnknownKeys = true }

    fun plan(change: ConfigurationChange): AdministrationAnswer<Plan> =
        send(HttpMethod.Post, "/admin/v1/plans", Plan.serializer(), json.encodeToString(PlanRequest(change)))

    fun confirm(plan: Plan): AdministrationAnswer<Confirmation> =
        send(HttpMethod.Post, "/admin/v1/plans/confirm", Confirmation.serializer(), json.encodeToString(plan))

    fun status(): AdministrationAnswer<StatusReport> =
        send(HttpMethod.Get, "/admin/v1/status", StatusReport.serializer())

    fun audit(afterRevision: Long, limit: Int): AdministrationAnswer<List<ConfigurationLogEntry>> = send(
        HttpMethod.Get,
        "/admin/v1/audit?after=$afterRevision&limit=$limit",
        ListSerializer(ConfigurationLogEntry.serializer()),
    )

    fun configuration(): AdministrationAnswer<Configuration> =
        send(HttpMethod.Get, "/admin/v1/configuration", Configuration.serializer())

    fun explain(route: String): AdministrationAnswer<Explanation> = send(
        HttpMethod.Get,
        "/admin/v1/explain?route=${route.encodeURLParameter()}",
        Explanation.serializer(),
    )

    private fun <T> send(
        method: HttpMethod,
        path: String,
        serializer: KSerializer<T>,
        body: String? = null,
    ): AdministrationAnswer<T> = runBlocking {
        HttpClient(CIO).use { client ->
            try {
                withTimeout(CALL_TIMEOUT_MILLIS) {
                    val response = client.request("http://$address$path") { prepare(method, body) }
                    parse(response.status.isSuccess(), response.bodyAsText(), serializer)
                }
            } catch (error: IOException) {
                AdministrationAnswer.Unreachable(error.message ?: error.javaClass.simpleName)
            } catch (error: kotlinx.coroutines.TimeoutCancellationException) {
                AdministrationAnswer.Unreachable(error.message ?: "timeout")
            }
        }
    }

    private fun HttpRequestBuilder.prepare(requestMethod: HttpMethod, requestBody: String?) {
        method = requestMethod
        token?.let { header(HttpHeaders.Authorization, "Bearer $it") }
        requestBody?.let {
            contentType(ContentType.Application.Json)
            setBody(it)
        }
    }

    private fun <T> parse(success: Boolean, text: String, serializer: KSerializer<T>): AdministrationAnswer<T> = try {
        if (success) {
            AdministrationAnswer.Success(json.decodeFromString(serializer, text))
        } else {
            val detail = json.decodeFromString<ErrorBody>(text).error
            AdministrationAnswer.Refused(detail.code, detail.message)
        }
    } catch (error: SerializationException) {
        AdministrationAnswer.Refused("unexpected_answer", "the response cannot be parsed: ${error.message}")
    }
}

/** The timeout of one call, connection included. */
private const val CALL_TIMEOUT_MILLIS = 10_000L
