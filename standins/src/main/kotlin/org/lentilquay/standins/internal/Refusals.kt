/*
 * Error responses of the stand-ins, in the OpenAI format that published engines use.
 */
package org.lentilquay.standins.internal

import io.ktor.http.HttpStatusCode
import io.ktor.server.application.ApplicationCall
import kotlinx.serialization.Serializable

@Serializable
internal data class ErrorBody(val error: ErrorDetail)

@Serializable
internal data class ErrorDetail(val message: String, val type: String, val code: String)

/** Responds with [status] and an error body with [code]. */
internal suspend fun ApplicationCall.refuse(status: HttpStatusCode, code: String, message: String = code) =
    respondJson(ErrorBody(ErrorDetail(message, "stand_in_error", code)), status)
