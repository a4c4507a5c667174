/*
 * The interfaces through which request handling reserves a slot at a backend server, takes tokens of a team, and learns
 * which requests crash servers. The implementations ask the owners of backend servers and the other VMs.
 */
package org.lentilquay.daemon.requests

import org.lentilquay.coordination.quota.Charge
import org.lentilquay.coordination.quota.MAXIMUM_QUOTA_WAIT_MILLIS
import org.lentilquay.protocol.Priority
import org.lentilquay.protocol.RunOutcome
import org.lentilquay.state.AdapterVersion
import org.lentilquay.state.Outcome
import org.lentilquay.state.ServerId
import org.lentilquay.state.TeamId
import org.lentilquay.transport.http.AnswerNotice

/** The backend servers on which a request can run. */
sealed interface ReservationTarget {
    /** Any engine with [baseModel] that holds or can load [adapter]. */
    data class Engine(val baseModel: String, val adapter: AdapterVersion) : ReservationTarget

    /** Any backend server of the plain service [service]. */
    data class Service(val service: String) : ReservationTarget
}

/** A request for a slot at one of the backend servers of [target]. */
data class ReservationRequest(
    /** Unique for each attempt, so that a late response to an earlier attempt is not taken for this one. */
    val attemptId: String,
    val target: ReservationTarget,
    val team: TeamId,
    val estimatedTokens: Long,
    val priority: Priority,
    /** The maximum wait for the reservation. */
    val waitMillis: Long,
    val fingerprint: String,
    val isSuspect: Boolean,
    /** Servers at which earlier attempts of this request failed. */
    val excluded: Set<ServerId>,
)

/** A slot that the owner of [server] has granted. */
data class Reservation(
    val attemptId: String,
    val server: ServerId,
    val address: String,
    val fence: Long,
    val adapter: AdapterVersion?,
    val waitedForLoad: Boolean,
    /** Monotonic time, in milliseconds, by which the request must be sent to the server. */
    val dispatchDeadline: Long,
    /** The incarnation of the server at the time of the grant, or null if the owner did not know it. */
    val incarnation: Long? = null,
)

/** Reserves slots at backend servers and reports to their owners how the runs go. */
interface ReservationClient {
    /** Waits for a slot, up to the maximum wait of [request]. */
    suspend fun reserve(request: ReservationRequest): Outcome<Reservation>

    /** Reports that the server has started to answer. */
    fun progress(reservation: Reservation, incarnation: Long?)

    /** Reports what the answer of the process [incarnation] said of the server. */
    fun noticed(reservation: Reservation, incarnation: Long?, notice: AnswerNotice)

    /** Reports that the run ended with [outcome]. Sent in the background until the owner has received it. */
    fun release(reservation: Reservation, outcome: RunOutcome, incarnation: Long?)
}

/** Charges requests to the token buckets of teams. */
interface Quota {
    /**
     * Takes [tokens] for the request [requestId] of [team], or returns the failure with which it is rejected; waits for
     * tokens up to [maximumWaitMillis], so that the caller of a request that cannot run in time learns of it.
     */
    suspend fun admit(
        team: TeamId,
        requestId: String,
        tokens: Long,
        maximumWaitMillis: Long = MAXIMUM_QUOTA_WAIT_MILLIS,
    ): Outcome<Charge>

    /** Adjusts [charge] to the [actual] number of tokens used. */
    fun settle(charge: Charge, actual: Long)
}

/** Whether earlier runs of the same request crashed backend servers. */
enum class QuarantineStatus { CLEAR, SUSPECT, QUARANTINED }

/** Tracks the requests that were running when a backend server was lost. */
interface SuspectRequests {
    /** The status of the request with [fingerprint]. */
    suspend fun quarantineStatus(fingerprint: String): QuarantineStatus

    /**
     * Records that the server of [reservation] was lost while the request with [fingerprint] ran, and notifies all VMs
     * before it returns.
     */
    suspend fun serverLost(reservation: Reservation, incarnation: Long?, fingerprint: String)
}
