/*
 * Selects the request headers that are forwarded to backend servers and the response headers that are returned to
 * callers. Both are allow-lists: unknown headers are dropped, so a key in an unusual header cannot reach a backend
 * server.
 */
package org.lentilquay.transport.http

/**
 * Request headers that backend servers may need. `Idempotency-Key` is part of the contract of non-repeatable calls. The
 * content encoding is forwarded because the body is forwarded unchanged.
 */
private val FORWARDED_REQUEST_HEADERS = setOf(
    "accept",
    "accept-language",
    "content-encoding",
    "content-language",
    "content-type",
    "idempotency-key",
    "if-match",
    "if-modified-since",
    "if-none-match",
    "traceparent",
    "tracestate",
)

/** Response headers that callers may need. Hop-by-hop headers and cookies are not among them. */
private val RETURNED_RESPONSE_HEADERS = setOf(
    "cache-control",
    "content-disposition",
    "content-encoding",
    "content-language",
    "content-type",
    "etag",
    "last-modified",
    "retry-after",
)

/** The headers of [headers] to forward to a backend server. Values with control characters are dropped. */
fun forwardedRequestHeaders(headers: Iterable<Pair<String, String>>): List<Pair<String, String>> =
    headers.filter { (name, value) -> name.lowercase() in FORWARDED_REQUEST_HEADERS && isPlain(value) }

/** The headers of [headers] to return to the caller. */
fun returnedResponseHeaders(headers: Iterable<Pair<String, String>>): List<Pair<String, String>> =
    headers.filter { (name, value) -> name.lowercase() in RETURNED_RESPONSE_HEADERS && isPlain(value) }

private fun isPlain(value: String): Boolean = value.none { it.isISOControl() && it != '\t' }
