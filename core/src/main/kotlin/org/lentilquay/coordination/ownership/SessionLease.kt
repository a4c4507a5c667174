/*
 * The session lease of this VM, renewed by writes of its session record. The lease counts from the time at which the
 * last successful renewal was sent, never from its answer, so it ends here before any observer considers it expired. A
 * lost answer is resolved by reading the record back and comparing the nonce. Single-threaded use; times are monotonic
 * milliseconds.
 */
package org.lentilquay.coordination.ownership

import kotlinx.serialization.json.Json
import org.lentilquay.coordination.WriteResult
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.DomainId
import org.lentilquay.state.Incarnation
import org.lentilquay.state.SessionRecord
import org.lentilquay.state.VmId
import org.lentilquay.state.sessionKey

/** The interval between renewals while the lease is in use, and after a renewal that did not succeed. */
const val SESSION_RENEWAL_MILLIS: Long = 1_000

/** The interval between renewals while nothing depends on the lease. */
const val IDLE_SESSION_RENEWAL_MILLIS: Long = 2_000

/** Half the interval between ticks, so that a tick that is 1 ms early does not delay a renewal by a whole tick. */
const val TICK_TOLERANCE_MILLIS: Long = 100

/** How long the lease is valid after a successful renewal was sent. */
const val SESSION_LEASE_MILLIS: Long = 3_000

/** How much longer than the lease an observer waits, because of the rounding and drift of both clocks. */
const val SESSION_MARGIN_MILLIS: Long = 1_000

/** A longer gap between ticks means that the process was paused. */
const val PAUSE_THRESHOLD_MILLIS: Long = 1_000

/** A renewal without an answer for this time is given up, and the record is read back. */
const val RENEWAL_TIMEOUT_MILLIS: Long = 1_000

/** The next step of the caller. */
sealed interface SessionStep {
    data object Nothing : SessionStep

    /** Sends [operations] and reports to [SessionLease.renewed] with [nonce]. */
    data class Renew(val nonce: String, val operations: List<TableOperation>) : SessionStep

    /** Reads the session record and reports to [SessionLease.readBack]. */
    data object ReadBack : SessionStep

    /** Another process with this VM id has a newer incarnation; this one must stop. */
    data object Superseded : SessionStep
}

/** A tick's result: the next [step], and whether the process was paused or the lease expired since the last tick. */
data class SessionTick(val step: SessionStep, val resumedAfterPause: Boolean, val leaseExpired: Boolean)

class SessionLease(
    private val own: VmId,
    private val incarnation: Incarnation,
    private val address: String,
    private val domain: DomainId,
    private val idleRenewalMillis: Long = IDLE_SESSION_RENEWAL_MILLIS,
    private val newNonce: () -> String,
) {
    private class Renewal(val nonce: String, val sentAt: Long, val version: Long)

    private var counter = 0L
    private var version: Long? = null
    private var pendingRenewal: Renewal? = null
    private var needsReadBack = true
    private var isSuperseded = false
    private var validUntil = Long.MIN_VALUE
    private var lastSentAt: Long? = null
    private var hasLastSucceeded = false
    private var lastTick: Long? = null
    private var wasValid = false
    private var hasExpired = false

    /** Whether the lease is valid at [now]. */
    fun isValid(now: Long): Boolean = !isSuperseded && now < validUntil

    /**
     * Decides on the next step at [now]; to be called several times a second. [isInUse] is whether this VM owns a
     * server that ignores fencing numbers. While [isStepPending], the last step has not ended and no other one is
     * returned.
     */
    fun tick(now: Long, isInUse: Boolean = true, isStepPending: Boolean = false): SessionTick {
        val resumed = lastTick?.let { now - it > PAUSE_THRESHOLD_MILLIS } ?: false
        lastTick = now
        val expired = hasExpired || (wasValid && !isValid(now))
        hasExpired = false
        wasValid = isValid(now)
        return SessionTick(if (isStepPending) SessionStep.Nothing else step(now, isInUse), resumed, expired)
    }

    /** Handles the [result] of the renewal [nonce], received at [now]. */
    fun renewed(nonce: String, result: WriteResult, now: Long) {
        val renewal = pendingRenewal?.takeIf { it.nonce == nonce } ?: return
        when (result) {
            WriteResult.COMMITTED -> succeeded(renewal, renewal.version + 1, now)
            WriteResult.NOT_SENT -> pendingRenewal = null
            WriteResult.CONFLICT, WriteResult.UNKNOWN -> needsReadBack = true
        }
    }

    /**
     * Handles the session record as read, null if absent. After a stale read, the renewal conflicts and is read back.
     */
    fun readBack(record: SessionRecord?, readVersion: Long, now: Long) {
        val renewal = pendingRenewal
        if (record != null && record.vm == own && record.incarnation > incarnation) isSuperseded = true
        if (renewal != null && record?.nonce == renewal.nonce) {
            succeeded(renewal, readVersion, now)
        } else {
            pendingRenewal = null
            needsReadBack = false
            version = if (record == null) 0 else readVersion
            counter = maxOf(counter, record?.counter ?: 0)
        }
    }

    private fun step(now: Long, isInUse: Boolean): SessionStep {
        val renewal = pendingRenewal
        val knownVersion = version
        return when {
            isSuperseded -> SessionStep.Superseded
            needsReadBack || knownVersion == null -> SessionStep.ReadBack
            renewal != null && now - renewal.sentAt < RENEWAL_TIMEOUT_MILLIS -> SessionStep.Nothing
            renewal != null -> {
                needsReadBack = true
                SessionStep.ReadBack
            }
            !isRenewalDue(now, isInUse) -> SessionStep.Nothing
            else -> renew(now, knownVersion)
        }
    }

    private fun isRenewalDue(now: Long, isInUse: Boolean): Boolean {
        val last = lastSentAt ?: return true
        val isIdle = !isInUse && hasLastSucceeded
        val interval = if (isIdle) idleRenewalMillis - TICK_TOLERANCE_MILLIS else SESSION_RENEWAL_MILLIS
        return now - last >= interval
    }

    private fun renew(now: Long, knownVersion: Long): SessionStep {
        val nonce = newNonce()
        counter++
        pendingRenewal = Renewal(nonce, now, knownVersion)
        lastSentAt = now
        hasLastSucceeded = false
        val record = SessionRecord(own, incarnation, counter, address, domain, nonce)
        val put = TableOperation.Put(sessionKey(own), Json.encodeToString(record), knownVersion)
        return SessionStep.Renew(nonce, listOf(put))
    }

    private fun succeeded(renewal: Renewal, newVersion: Long, now: Long) {
        // The lease can expire and be renewed between two ticks; another owner may have acted in between.
        if (wasValid && !isValid(now)) hasExpired = true
        pendingRenewal = null
        needsReadBack = false
        hasLastSucceeded = true
        version = newVersion
        validUntil = maxOf(validUntil, renewal.sentAt + SESSION_LEASE_MILLIS)
        wasValid = isValid(now)
    }
}
