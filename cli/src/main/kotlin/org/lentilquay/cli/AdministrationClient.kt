/*
 * The client of the administration API. Answers are sealed results; a refusal carries the code and message of the error
 * body.
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

/** The answer of the administration API. */
sealed interface AdministrationAnswer<out T> {
    data class Success<T>(val value: T) : AdministrationAnswer<T>

    data class Refused(val code: String, val message: String) : AdministrationAnswer<Nothing>

    data class Unreachable(val reason: String) : AdministrationAnswer<Nothing>
}

/** Talks to the administration listener at [address]. */
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
                withTimeout(TIMEOUT_MILLIS) {
                    val answer = client.request("http://$address$path") { prepare(method, body) }
                    read(answer.status.isSuccess(), answer.bodyAsText(), serializer)
                }
            } catch (fault: IOException) {
                AdministrationAnswer.Unreachable(fault.message ?: fault.javaClass.simpleName)
            } catch (fault: kotlinx.coroutines.TimeoutCancellationException) {
                AdministrationAnswer.Unreachable(fault.message ?: "timeout")
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

    private fun <T> read(success: Boolean, text: String, serializer: KSerializer<T>): AdministrationAnswer<T> = try {
        if (success) {
            AdministrationAnswer.Success(json.decodeFromString(serializer, text))
        } else {
            val detail = json.decodeFromString<ErrorBody>(text).error
            AdministrationAnswer.Refused(detail.code, detail.message)
        }
    } catch (fault: SerializationException) {
        AdministrationAnswer.Refused("unexpected_answer", "the answer could not be read: ${fault.message}")
    }
}

/** The longest time, in milliseconds, that one call may take. */
private const val TIMEOUT_MILLIS = 10_000L
