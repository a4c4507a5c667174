/*
 * Decides whether this VM may rely on its configuration. The configuration is current while the VM has confirmed the
 * head revision with the table service, or with a peer that did so, within the last 3 s. Without the table service, a
 * VM keeps serving only in a strict majority of members none of which reaches the table service. Confirming a plan
 * requires half of the members, so every accepted change reaches each VM that keeps serving. Times are monotonic
 * milliseconds of this VM. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.coordination.configuration

/** How long a confirmation of the head revision is valid. */
const val FRESHNESS_BOUND_MILLIS: Long = 3_000

/**
 * How long a VM keeps serving after the first peer reaches the table service again, so that it can confirm the head
 * itself. Without this grace period, every VM but the first refused keyed requests and aborted keyed streams at the end
 * of each outage.
 */
const val RECOVERY_MILLIS: Long = 1_000

/** Whether this VM may serve requests with keys. */
enum class FreshnessState {
    /** The configuration was confirmed within the freshness bound. */
    CURRENT,

    /**
     * No reachable member reaches the table service, and the reachable members are a strict majority, so that no change
     * can be accepted elsewhere. The state lasts [RECOVERY_MILLIS] longer once a peer reaches the table service.
     */
    OUTAGE,

    /** Changes may have been accepted elsewhere: requests with keys are refused and their streams are aborted. */
    ISOLATED,
}

/**
 * The members that this VM reaches. [members] counts every member that is not permanently gone, including dead ones,
 * because both sides of a partition must count from the same total. Both counts include this VM.
 */
data class Reachability(
    val members: Int,
    val reachable: Int,
    /** Whether a reachable peer reports that it reaches the table service. */
    val tableReachableByPeer: Boolean,
    /** The highest revision that a reachable peer reports. */
    val highestRevision: Long = 0,
) {
    /** The condition for serving without the table service. */
    val isStrictMajority: Boolean get() = reachable * 2 > members

    /** The condition for confirming a plan. */
    val isAtLeastHalf: Boolean get() = reachable * 2 >= members
}

/**
 * Tracks confirmations of the head revision. Each is dated by the time at which the query was *sent*, because the
 * answer may describe any moment after that.
 */
class FreshnessTracker(private val boundMillis: Long = FRESHNESS_BOUND_MILLIS) {
    private class Confirmation(val head: Long, val sentAt: Long)

    private val byTable = ArrayDeque<Confirmation>()
    private val byPeer = ArrayDeque<Confirmation>()
    private var tableAnsweredAt: Long? = null
    private var tableFailedAt: Long? = null
    private var outageSeenAt: Long? = null

    /** Records that the table service answered [head] to a query sent at [sentAt]. */
    fun tableConfirmed(head: Long, sentAt: Long) {
        add(byTable, head, sentAt)
        tableAnsweredAt = maxOf(tableAnsweredAt ?: sentAt, sentAt)
    }

    /** Records that the table service did not answer a query sent at [sentAt]. */
    fun tableFailed(sentAt: Long) {
        tableFailedAt = maxOf(tableFailedAt ?: sentAt, sentAt)
    }

    /** Records the answer to a probe sent at [sentAt], by a peer that confirmed [head] with the table service. */
    fun peerConfirmed(head: Long, sentAt: Long) = add(byPeer, head, sentAt)

    /** Whether the table service answered within the bound and its last answer is later than its last failure. */
    fun isTableReachable(now: Long): Boolean {
        val answered = tableAnsweredAt ?: return false
        return now - answered <= boundMillis && answered >= (tableFailedAt ?: answered)
    }

    /**
     * The value of `revisionCurrent` in probe answers. Confirmations by peers do not count, so that they cannot keep
     * each other current.
     */
    fun isConfirmedByTable(now: Long, revision: Long): Boolean = isCovered(byTable, now, revision)

    /** The state at [now] with [revision] in force; [loaded] is false until the VM has a configuration. */
    fun state(now: Long, revision: Long, reachability: Reachability, loaded: Boolean = true): FreshnessState = when {
        !loaded -> FreshnessState.ISOLATED
        isCovered(byTable, now, revision) || isCovered(byPeer, now, revision) -> FreshnessState.CURRENT
        mayContinueWithoutTable(now, revision, reachability) -> FreshnessState.OUTAGE
        else -> FreshnessState.ISOLATED
    }

    private fun mayContinueWithoutTable(now: Long, revision: Long, reachability: Reachability): Boolean {
        val isPossible = reachability.isStrictMajority && revision >= reachability.highestRevision
        if (!isPossible || isTableReachable(now)) return false
        if (!reachability.tableReachableByPeer) outageSeenAt = now
        return outageSeenAt.let { it != null && now - it <= RECOVERY_MILLIS }
    }

    /** A confirmation counts if its head is in force here and its query was sent within the bound. */
    private fun isCovered(confirmations: ArrayDeque<Confirmation>, now: Long, revision: Long): Boolean =
        confirmations.any { it.head <= revision && now - it.sentAt <= boundMillis }

    private fun add(confirmations: ArrayDeque<Confirmation>, head: Long, sentAt: Long) {
        confirmations.removeAll { sentAt - it.sentAt > boundMillis || (it.head == head && it.sentAt <= sentAt) }
        confirmations.addLast(Confirmation(head, sentAt))
    }
}
