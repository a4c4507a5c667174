/*
 * Whether this VM may rely on its configuration. It is current while it has confirmed the head with the table service,
 * or with a peer that did, within the last 3 s. Without the table it goes on only inside a strict majority of members
 * of which none reaches the table. A confirm needs half of the members, so no accepted change can miss a VM that goes
 * on. Times are monotonic milliseconds of this VM. Docs: docs/design.md, section 4.5.
 */
package org.lentilquay.coordination.configuration

/** How long one confirmation of the head counts. */
const val FRESHNESS_BOUND_MILLIS: Long = 3_000

/**
 * How long a VM goes on after the first peer reaches the table again, so that it can confirm the head itself. Without
 * this time every VM but the first refused keyed requests and cut keyed streams at the end of each outage.
 */
const val RECOVERY_MILLIS: Long = 1_000

/** Whether this VM may serve keyed requests. */
enum class FreshnessState {
    /** The configuration was confirmed within the bound. */
    CURRENT,

    /**
     * Nobody reaches the table and a strict majority of members is here: no change can be accepted elsewhere. It lasts
     * [RECOVERY_MILLIS] longer once a peer reaches the table.
     */
    OUTAGE,

    /** Changes may have been accepted elsewhere: keyed requests are refused and keyed streams are cut. */
    ISOLATED,
}

/**
 * Which members this VM reaches. [members] counts all that are not certain to be gone, dead ones included, because both
 * sides of a partition must count from the same total. Both counts include this VM.
 */
data class Reachability(
    val members: Int,
    val reachable: Int,
    /** Whether a reachable peer said that it reaches the table service. */
    val tableReachableByPeer: Boolean,
    /** The highest revision that a reachable peer named. */
    val highestRevision: Long = 0,
) {
    /** Needed to go on without the table. */
    val isStrictMajority: Boolean get() = reachable * 2 > members

    /** Needed to accept a confirm. */
    val isAtLeastHalf: Boolean get() = reachable * 2 >= members
}

/**
 * Keeps the confirmations of the head. All times passed in are those at which the question was *sent*, because the
 * answer may describe any moment after that.
 */
class FreshnessTracker(private val boundMillis: Long = FRESHNESS_BOUND_MILLIS) {
    private class Confirmation(val head: Long, val sentAt: Long)

    private val byTable = ArrayDeque<Confirmation>()
    private val byPeer = ArrayDeque<Confirmation>()
    private var tableAnsweredAt: Long? = null
    private var tableFailedAt: Long? = null
    private var outageSeenAt: Long? = null

    /** The table answered a question about the head that was sent at [sentAt]. */
    fun tableConfirmed(head: Long, sentAt: Long) {
        add(byTable, head, sentAt)
        tableAnsweredAt = maxOf(tableAnsweredAt ?: sentAt, sentAt)
    }

    /** The table did not answer a question that was sent at [sentAt]. */
    fun tableFailed(sentAt: Long) {
        tableFailedAt = maxOf(tableFailedAt ?: sentAt, sentAt)
    }

    /** A peer that confirmed [head] with the table itself answered a probe sent at [sentAt]. */
    fun peerConfirmed(head: Long, sentAt: Long) = add(byPeer, head, sentAt)

    /** Whether the table answered within the bound and its last answer is later than its last failure. */
    fun isTableReachable(now: Long): Boolean {
        val answered = tableAnsweredAt ?: return false
        return now - answered <= boundMillis && answered >= (tableFailedAt ?: answered)
    }

    /** What this VM tells peers as `revisionCurrent`: only its own confirmation with the table is passed on. */
    fun isConfirmedByTable(now: Long, revision: Long): Boolean = isCovered(byTable, now, revision)

    /** The state at [now] of a VM that has [revision] in force; [loaded] is false until it has a configuration. */
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

    /** A confirmation counts once its head is in force here, for the time since its question was sent. */
    private fun isCovered(confirmations: ArrayDeque<Confirmation>, now: Long, revision: Long): Boolean =
        confirmations.any { it.head <= revision && now - it.sentAt <= boundMillis }

    private fun add(confirmations: ArrayDeque<Confirmation>, head: Long, sentAt: Long) {
        confirmations.removeAll { sentAt - it.sentAt > boundMillis || (it.head == head && it.sentAt <= sentAt) }
        confirmations.addLast(Confirmation(head, sentAt))
    }
}
