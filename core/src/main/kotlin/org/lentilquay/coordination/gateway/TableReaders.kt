/*
 * Decides which VMs read the table service themselves, and from which of these readers a follower gets its copies. In
 * each failure domain a few VMs are readers, so the number of calls to the table service does not grow with the fleet.
 * They are those with the fastest links, because a reader sends each change to all its followers; VMs with equal links
 * rank by rendezvous hashing. A VM without a reader that answers reads the table service itself.
 *
 * Single-threaded use; times are monotonic milliseconds.
 */
package org.lentilquay.coordination.gateway

import org.lentilquay.coordination.rendezvousRanking
import org.lentilquay.state.DomainId
import org.lentilquay.state.VmId

/**
 * Readers of one failure domain. Each one costs some three calls a second; if both fail at once, the other VMs read the
 * table service themselves until the members have changed.
 */
const val READERS_PER_DOMAIN: Int = 2

/** In failure domains with at most this many VMs, each VM is a reader. */
private const val SMALL_DOMAIN_MEMBERS = 3

/** A reader that did not answer is not asked again for this long: about two renewals of its member record. */
private const val FAILED_READER_MILLIS = 3_000L

class TableReaders(
    private val own: VmId,
    private val domain: DomainId,
    /** The speed of the link of this VM, in megabits a second; 0 if it is not known. */
    private val linkMegabits: Int = 0,
) {
    private var readers: List<VmId> = emptyList()

    /** The readers that failed to answer for a table; one that is late with a long table may have the others. */
    private val failedUntil = HashMap<Pair<VmId, String>, Long>()

    /** Calls so far, by table, for the round-robin over the readers; VMs begin at different readers. */
    private val turns = HashMap<String, Int>()

    /** Whether other VMs get their copies from this one. */
    var hasFollowers: Boolean = false
        private set

    /**
     * Selects the readers from the [members], given with their failure domains and the speeds of their links, as far as
     * these are known; this VM always counts as a member.
     */
    fun membersChanged(members: Map<VmId, DomainId>, linkMegabits: Map<VmId, Int> = emptyMap()) {
        val neighbours = (members.filterValues { it == domain }.keys + own).sorted()
        val count = if (neighbours.size <= SMALL_DOMAIN_MEMBERS) neighbours.size else READERS_PER_DOMAIN
        val links = linkMegabits + (own to this.linkMegabits)
        readers = rendezvousRanking("readers of $domain", neighbours) { it.text }
            .sortedByDescending { links[it] ?: 0 }.take(count)
        hasFollowers = own in readers && neighbours.size > readers.size
        failedUntil.keys.removeIf { (vm, _) -> vm !in readers }
    }

    /**
     * The reader to ask next for changes of [table], or null if this VM reads the table service itself. Readers are
     * asked in turn, so that one that has lost the table service without noticing delays a change by one call only.
     */
    fun readerFor(table: String, now: Long): VmId? {
        if (own in readers) return null
        val available = readers.filter { (failedUntil[it to table] ?: 0) <= now }
        if (available.isEmpty()) return null
        val turn = turns.merge(table, 1, Int::plus) ?: 0
        return available[(turn + own.text.hashCode()).mod(available.size)]
    }

    /** The reader [vm] did not answer for [table], or has no current copy of it. */
    fun readerFailed(vm: VmId, table: String, now: Long) {
        failedUntil[vm to table] = now + FAILED_READER_MILLIS
    }
}
