/*
 * The session record of this VM and the lease that it gives. The lease is valid from the sending time of the last
 * successful renewal, never from its answer, so the VM's own view ends before any observer's. Times are monotonic
 * milliseconds. A lost answer is resolved by a read-back that compares the nonce.
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

/** The interval between renewals while nothing relies on the lease. */
const val IDLE_SESSION_RENEWAL_MILLIS: Long = 2_000

/** Half the interval between ticks. Without it, a tick that comes 1 ms early would put a renewal off by a tick. */
const val TICK_TOLERANCE_MILLIS: Long = 100

/** How long after its sending a successful renewal is valid. */
const val SESSION_LEASE_MILLIS: Long = 3_000

/** How much longer than the lease an observer waits, for the rounding and drift of both clocks. */
const val SESSION_MARGIN_MILLIS: Long = 1_000

/** A gap between ticks over this time means that the process was paused. */
const val PAUSE_GAP_MILLIS: Long = 1_000

/** A renewal that has had no answer for this time is given up and read back. */
const val RENEWAL_TIMEOUT_MILLIS: Long = 1_000

/** What the lease wants done at a tick. */
sealed interface SessionStep {
    data object Nothing : SessionStep

    /** Sends [operations] and reports to [SessionLease.renewed] with [nonce]. */
    data class Renew(val nonce: String, val operations: List<TableOperation>) : SessionStep

    /** Reads the session record and reports to [SessionLease.readBack]. */
    data object ReadBack : SessionStep

    /** Another process with this VM id has a newer incarnation; this one must stop. */
    data object Superseded : SessionStep
}

/** A tick's result: the next [step], and whether the process was paused or the lease lapsed since the last tick. */
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
    private var underWay: Renewal? = null
    private var needsReadBack = true
    private var isSuperseded = false
    private var validUntil = Long.MIN_VALUE
    private var lastSentAt: Long? = null
    private var hasLastSucceeded = false
    private var lastTick: Long? = null
    private var wasValid = false
    private var hasLapsed = false

    /** Whether the lease holds at [now]. */
    fun isValid(now: Long): Boolean = !isSuperseded && now < validUntil

    /**
     * Decides what to do at [now]. It is called several times a second. [isInUse] says whether this VM owns a server
     * that ignores fencing numbers. While [isCallOpen], the last step has not ended and no other is given.
     */
    fun tick(now: Long, isInUse: Boolean = true, isCallOpen: Boolean = false): SessionTick {
        val resumed = lastTick?.let { now - it > PAUSE_GAP_MILLIS } ?: false
        lastTick = now
        val lapsed = hasLapsed || (wasValid && !isValid(now))
        hasLapsed = false
        wasValid = isValid(now)
        return SessionTick(if (isCallOpen) SessionStep.Nothing else step(now, isInUse), resumed, lapsed)
    }

    /** Notes the [result] of the renewal [nonce], received at [now]. */
    fun renewed(nonce: String, result: WriteResult, now: Long) {
        val renewal = underWay?.takeIf { it.nonce == nonce } ?: return
        when (result) {
            WriteResult.COMMITTED -> succeeded(renewal, renewal.version + 1, now)
            WriteResult.NOT_SENT -> underWay = null
            WriteResult.CONFLICT, WriteResult.UNKNOWN -> needsReadBack = true
        }
    }

    /** Takes in the session record as read, null if absent. A stale reading leads to a conflict and another read. */
    fun readBack(record: SessionRecord?, readVersion: Long, now: Long) {
        val renewal = underWay
        if (record != null && record.vm == own && record.incarnation > incarnation) isSuperseded = true
        if (renewal != null && record?.nonce == renewal.nonce) {
            succeeded(renewal, readVersion, now)
        } else {
            underWay = null
            needsReadBack = false
            version = if (record == null) 0 else readVersion
            counter = maxOf(counter, record?.counter ?: 0)
        }
    }

    private fun step(now: Long, isInUse: Boolean): SessionStep {
        val renewal = underWay
        val known = version
        return when {
            isSuperseded -> SessionStep.Superseded
            needsReadBack || known == null -> SessionStep.ReadBack
            renewal != null && now - renewal.sentAt < RENEWAL_TIMEOUT_MILLIS -> SessionStep.Nothing
            renewal != null -> {
                needsReadBack = true
                SessionStep.ReadBack
            }
            !isRenewalDue(now, isInUse) -> SessionStep.Nothing
            else -> renew(now, known)
        }
    }

    private fun isRenewalDue(now: Long, isInUse: Boolean): Boolean {
        val last = lastSentAt ?: return true
        val isIdle = !isInUse && hasLastSucceeded
        val interval = if (isIdle) idleRenewalMillis - TICK_TOLERANCE_MILLIS else SESSION_RENEWAL_MILLIS
        return now - last >= interval
    }

    private fun renew(now: Long, known: Long): SessionStep {
        val nonce = newNonce()
        counter++
        underWay = Renewal(nonce, now, known)
        lastSentAt = now
        hasLastSucceeded = false
        val record = SessionRecord(own, incarnation, counter, address, domain, nonce)
        val put = TableOperation.Put(sessionKey(own), Json.encodeToString(record), known)
        return SessionStep.Renew(nonce, listOf(put))
    }

    private fun succeeded(renewal: Renewal, newVersion: Long, now: Long) {
        // The lease can run out and return between two ticks; a successor may have acted in between.
        if (wasValid && !isValid(now)) hasLapsed = true
        underWay = null
        needsReadBack = false
        hasLastSucceeded = true
        version = newVersion
        validUntil = maxOf(validUntil, renewal.sentAt + SESSION_LEASE_MILLIS)
        wasValid = isValid(now)
    }
}
