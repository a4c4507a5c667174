/*
 * The label values of metrics: entries of closed enums, written in lower case. Adapters, keys, teams and requests never
 * become labels, so the number of time series does not grow with them.
 */
package org.lentilquay.daemon.metrics

/** The kind of target that a request asked for. */
enum class RouteKindLabel {
    ADAPTER,
    SERVICE,
    MODEL_LIST,

    /** The request was rejected before its route was resolved. */
    UNRESOLVED,
}

/** Reason for which a request was retried. */
enum class RetryReason {
    NOT_CONNECTED,
    ADAPTER_MISSING,
    SERVER_OVERLOADED,
    CONNECTION_LOST,
    WRONG_ANSWER,

    /** The stream was resumed after the last chunk that had arrived. */
    RESUMED,
}

/** The kind of an order to an engine. */
enum class OrderKindLabel { CLAIM, LOAD, UNLOAD, ROLE, CANCEL }

/** How the owner of a backend server answered a poll for a reservation, or that it could not be reached. */
enum class ReservationOutcome { GRANTED, QUEUED, BUSY, NOT_OWNER, REFUSED, UNREACHABLE }

/** How recently the configuration of this VM was confirmed to be current. */
enum class FreshnessLabel {
    /** Confirmed with the table service, or with a peer that has confirmed its own. */
    CURRENT,

    /** No VM reaches the table service, and this VM reaches a strict majority of the members. */
    MAJORITY,

    /** Neither of the two: the configuration may be out of date. */
    ISOLATED,
}

/** Whether tokens belong to prompts or to generated output. */
enum class TokenKind { PROMPT, GENERATED }

/** The label value of an enum entry. */
internal val Enum<*>.label: String get() = name.lowercase()
