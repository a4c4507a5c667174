/*
 * The label values of metrics. They are closed lists: no adapter, key, team or request becomes a label, so the number
 * of series does not grow with the number of adapters or callers.
 */
package org.lentilquay.daemon.metrics

/** What a request was for. */
enum class RouteKindLabel {
    ADAPTER,
    SERVICE,
    MODEL_LIST,

    /** The request was refused before its route was known. */
    UNRESOLVED,
}

/** Why a request was sent to a backend server again. */
enum class RetryReason {
    NOT_CONNECTED,
    ADAPTER_MISSING,
    SERVER_OVERLOADED,
    CONNECTION_LOST,
    WRONG_ANSWER,

    /** The stream was taken up again at its last chunk. */
    RESUMED,
}

/** Orders to engines. */
enum class OrderKindLabel { CLAIM, LOAD, UNLOAD, ROLE, CANCEL }

/** How a poll for a reservation ended. */
enum class ReservationOutcome { GRANTED, QUEUED, BUSY, NOT_OWNER, REFUSED, UNREACHABLE }

/** Whether this VM may rely on its configuration. */
enum class FreshnessLabel {
    /** Confirmed with the table service or with a peer that did so. */
    CURRENT,

    /** Nobody reaches the table service, and this VM reaches a strict majority of the members. */
    MAJORITY,
    ISOLATED,
}

/** Whether tokens were read from prompts or generated. */
enum class TokenKind { PROMPT, GENERATED }

/** The text of an enum value in a label. */
internal val Enum<*>.label: String get() = name.lowercase()
