/*
 * Renews the session of this VM and checks the head revision of the configuration in one transaction, and derives from
 * its result whether the lease was renewed and the head confirmed. Times are monotonic milliseconds. Docs:
 * docs/design.md, sections 4.1 and 4.5.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.coordination.WriteResult
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.SessionRecord

/** Receives what renewals show about the head revision of the configuration. */
interface HeadObserver {
    /** The head was at [revision] at some moment after [sentAt]. */
    fun headConfirmed(revision: Long, sentAt: Long)

    /** The head check that was sent at [sentAt] had no answer. */
    fun headUnanswered(sentAt: Long)
}

class HeadCheckedRenewal(private val lease: SessionLease, private val heads: HeadObserver) {
    private class HeadCheck(val nonce: String, val head: Long, val sentAt: Long)

    /** The head check of the last renewal. Its nonce in the session record proves that the check succeeded. */
    private var lastCheck: HeadCheck? = null

    /** The operations to send at [now] for [step], with a check that the head is [head] unless that is null. */
    fun begin(step: SessionStep.Renew, head: Long?, now: Long): List<TableOperation> {
        lastCheck = head?.let { HeadCheck(step.nonce, it, now) }
        return step.operations + listOfNotNull(head?.let { TableOperation.Check(HEAD_KEY, it) })
    }

    /**
     * Handles the [result] of [step]. Returns true if nothing was written because the session or the head differed: the
     * caller then sends the operations of [step] again without the head check, and checks the head separately.
     */
    fun ended(step: SessionStep.Renew, result: WriteResult, now: Long): Boolean {
        val check = lastCheck
        if (check != null && result == WriteResult.CONFLICT) {
            lastCheck = null
            return true
        }
        when (result) {
            WriteResult.COMMITTED -> check?.let { heads.headConfirmed(it.head, it.sentAt) }
            WriteResult.UNKNOWN, WriteResult.NOT_SENT -> check?.let { heads.headUnanswered(it.sentAt) }
            WriteResult.CONFLICT -> Unit
        }
        lease.renewed(step.nonce, result, now)
        return false
    }

    /** Handles the session record as read, null if absent. */
    fun readBack(record: SessionRecord?, version: Long, now: Long) {
        lastCheck?.takeIf { it.nonce == record?.nonce }?.let { heads.headConfirmed(it.head, it.sentAt) }
        lease.readBack(record, version, now)
    }
}
