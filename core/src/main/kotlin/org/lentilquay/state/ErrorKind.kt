/*
 * All errors that callers and operators can get. The table is the single source of HTTP status, error code, execution
 * state and retry advice; a test generates the documentation of errors from it.
 */
package org.lentilquay.state

import kotlinx.serialization.Serializable

/** Whether a refused or failed request was executed, as far as is known. */
@Serializable
enum class RunState(val text: String) {
    /** No byte of the request was written to a backend server, or the server answered that it refused the request. */
    NOT_RUN("not_run"),
    RAN("ran"),
    UNKNOWN("unknown"),
}

/** Whether and when a caller should retry. */
@Serializable
enum class RetryAdvice(val text: String) {
    DO_NOT_RETRY("do_not_retry"),
    RETRY_AFTER("retry_after"),

    /** Retry only with the same `Idempotency-Key`. */
    RETRY_SAME_KEY("retry_same_key"),
}

/** A kind of error: its HTTP [status], the [code] in the response, the execution state, and the retry advice. */
@Serializable
enum class ErrorKind(val status: Int, val code: String, val run: RunState, val advice: RetryAdvice) {
    MALFORMED_REQUEST(400, "malformed_request", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    KEY_IN_REQUEST(400, "key_in_request", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    IDEMPOTENCY_KEY_REQUIRED(400, "idempotency_key_required", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    REQUEST_EXCEEDS_BURST(400, "request_exceeds_burst", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    KEY_MISSING(401, "key_missing", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    KEY_INVALID(401, "key_invalid", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),

    /** Ends a stream whose key was revoked while the stream was running. */
    KEY_WITHDRAWN(401, "key_withdrawn", RunState.RAN, RetryAdvice.DO_NOT_RETRY),
    ROUTE_FORBIDDEN(403, "route_forbidden", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    ROUTE_UNKNOWN(404, "route_unknown", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    MODEL_UNKNOWN(404, "model_unknown", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    REQUEST_TIMEOUT(408, "request_timeout", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    HEAD_TOO_LARGE(431, "head_too_large", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    BODY_TOO_LARGE(413, "body_too_large", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    OUTCOME_UNKNOWN(409, "outcome_unknown", RunState.UNKNOWN, RetryAdvice.RETRY_SAME_KEY),
    PLAN_CONFLICT(409, "plan_conflict", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    PLAN_EXPIRED(410, "plan_expired", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    IDEMPOTENCY_KEY_REUSED(422, "idempotency_key_reused", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    REQUEST_QUARANTINED(422, "request_quarantined", RunState.NOT_RUN, RetryAdvice.DO_NOT_RETRY),
    RATE_LIMITED(429, "rate_limited", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    OVERLOADED(503, "overloaded", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    NO_CAPACITY(503, "no_capacity", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    CONFIGURATION_STALE(503, "configuration_stale", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    PLATFORM_UNAVAILABLE(503, "platform_unavailable", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    SHUTTING_DOWN(503, "shutting_down", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    LOAD_FAILED(503, "load_failed", RunState.NOT_RUN, RetryAdvice.RETRY_AFTER),
    BACKEND_FAILED(502, "backend_failed", RunState.UNKNOWN, RetryAdvice.RETRY_AFTER),
    INTERNAL(500, "internal", RunState.UNKNOWN, RetryAdvice.DO_NOT_RETRY),
}

/** A failure that reaches a caller: its [kind], a human-readable [message], and the advised delay before a retry. */
@Serializable
data class Failure(val kind: ErrorKind, val message: String, val retryAfterMillis: Long? = null)

/** The result of an operation with expected failures. */
sealed interface Outcome<out T> {
    data class Success<T>(val value: T) : Outcome<T>

    data class Failed(val failure: Failure) : Outcome<Nothing>
}

/** Creates an [Outcome.Failed] of [kind]. */
fun failed(kind: ErrorKind, message: String, retryAfterMillis: Long? = null): Outcome.Failed =
    Outcome.Failed(Failure(kind, message, retryAfterMillis))
