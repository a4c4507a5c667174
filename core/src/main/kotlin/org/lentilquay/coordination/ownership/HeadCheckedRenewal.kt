/*
 * The transaction that renews the session of this VM and checks the head of the configuration, and what each result
 * says about both. Times are monotonic milliseconds. Docs: docs/design.md, sections 4.1 and 4.5.
 */
package org.lentilquay.coordination.ownership

import org.lentilquay.coordination.WriteResult
import org.lentilquay.coordination.configuration.HEAD_KEY
import org.lentilquay.protocol.TableOperation
import org.lentilquay.state.SessionRecord

/** Is told what renewals show about the head of the configuration. */
interface HeadObserver {
    /** The head was at [revision] at some moment after [sentAt]. */
    fun headConfirmed(revision: Long, sentAt: Long)

    /** The table did not answer a question about the head that was sent at [sentAt]. */
    fun headUnanswered(sentAt: Long)
}

class HeadCheckedRenewal(private val lease: SessionLease, private val heads: HeadObserver) {
    private class Question(val nonce: String, val head: Long, val sentAt: Long)

    /** The last renewal with a check. Its nonce in the session record proves that the check held. */
    private var question: Question? = null

    /** The operations to send at [now] for [step]; the head is checked to be at [head], or not at all if it is null. */
    fun begin(step: SessionStep.Renew, head: Long?, now: Long): List<TableOperation> {
        question = head?.let { Question(step.nonce, it, now) }
        return step.operations + listOfNotNull(head?.let { TableOperation.Check(HEAD_KEY, it) })
    }

    /**
     * Takes in the [result] of [step]. If it returns true, nothing was written, because the session or the head
     * differed: the operations of [step] are to be sent again without the check, and the head is to be checked alone.
     */
    fun ended(step: SessionStep.Renew, result: WriteResult, now: Long): Boolean {
        val asked = question
        if (asked != null && result == WriteResult.CONFLICT) {
            question = null
            return true
        }
        when (result) {
            WriteResult.COMMITTED -> asked?.let { heads.headConfirmed(it.head, it.sentAt) }
            WriteResult.UNKNOWN, WriteResult.NOT_SENT -> asked?.let { heads.headUnanswered(it.sentAt) }
            WriteResult.CONFLICT -> Unit
        }
        lease.renewed(step.nonce, result, now)
        return false
    }

    /** Takes in the session record as read, null if absent. */
    fun readBack(record: SessionRecord?, version: Long, now: Long) {
        question?.takeIf { it.nonce == record?.nonce }?.let { heads.headConfirmed(it.head, it.sentAt) }
        lease.readBack(record, version, now)
    }
}
