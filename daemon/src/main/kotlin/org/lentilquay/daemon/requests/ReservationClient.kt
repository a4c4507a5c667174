/*
 * The interfaces through which request handling reserves a slot at a backend server, takes tokens of a team, and learns
 * which requests crash servers. The implementations ask the owners of backend servers and the other VMs.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.coordination.quota.Charge
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId

/** What a request has to run on. */
sealed interface ReservationTarget {
    /** Any engine with [baseModel] that holds or can load [adapter]. */
    data class Engine(val baseModel: String, val adapter: AdapterVersion) : ReservationTarget

    /** Any backend server of the plain service [service]. */
    data class Service(val service: String) : ReservationTarget
}

/** A wish for a reservation. */
data class ReservationRequest(
    /** Unique for each attempt, so that a late answer to an earlier attempt is not taken for this one. */
    val attemptId: String,
    val target: ReservationTarget,
    val team: TeamId,
    val estimatedTokens: Long,
    val priority: Priority,
    /** The longest time, in milliseconds, to wait for the reservation. */
    val waitMillis: Long,
    val fingerprint: String,
    val isSuspect: Boolean,
    /** Servers that failed this request before. */
    val excluded: Set<ServerId>,
)

/** A granted reservation. */
data class Reservation(
    val attemptId: String,
    val server: ServerId,
    val address: String,
    val fence: Long,
    val adapter: AdapterVersion?,
    val waitedForLoad: Boolean,
    /** Monotonic time, in milliseconds, until which the dispatch must have begun. */
    val dispatchDeadline: Long,
    /** The process of the server at the time of the grant, if the owner knew it. */
    val incarnation: Long? = null,
)

/** Finds places. */
interface ReservationClient {
    suspend fun reserve(request: ReservationRequest): Outcome<Reservation>

    /** The server began to answer. */
    fun progress(reservation: Reservation, incarnation: Long?)

    /** The run at [reservation] ended. Delivered in the background until the owner has taken it. */
    fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?)
}

/** Tokens of teams. */
interface Quota {
    /** Takes [tokens] for the request [requestId] of [team], or says why not. */
    suspend fun admit(team: TeamId, requestId: String, tokens: Long): Outcome<Charge>

    /** Corrects [charge] to the [actual] use. */
    fun settle(charge: Charge, actual: Long)
}

/** What is known about a request's content from earlier runs. */
enum class QuarantineStatus { CLEAR, SUSPECT, QUARANTINED }

/** Knowledge about requests that were running when a server was lost. */
interface SuspectRequests {
    suspend fun quarantineStatus(fingerprint: String): QuarantineStatus

    /** Tells all VMs that the server of [reservation] was lost while [fingerprint] ran; returns when all were told. */
    suspend fun serverLost(reservation: Reservation, incarnation: Long?, fingerprint: String)
}
